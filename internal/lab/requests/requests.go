// Package requests holds the requests that clients have sent, by ID. Workers compare each push with the
// request of its ID, so that the lab does not depend on what a scheduler writes.
package requests

import (
	"hash/fnv"
	"sync"

	"woaddyke/internal/lab/workermodel"
)

// Request is one attempt as its client sent it.
type Request struct {
	Job            workermodel.Job
	Target         string // path and query
	IdempotencyKey string // value of the Idempotency-Key header; empty for none
	BodyHash       uint64 // as returned by HashBody
}

// HashBody returns the hash by which request bodies are compared.
func HashBody(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64()
}

// Registry holds all requests of an experiment, one for each attempt.
type Registry struct {
	mu       sync.RWMutex
	requests map[string]Request
}

// New creates an empty registry.
func New() *Registry { return &Registry{requests: map[string]Request{}} }

// Put adds a request that is about to be sent.
func (r *Registry) Put(id string, request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = request
}

// Get returns the request that a client sent under an ID.
func (r *Registry) Get(id string) (Request, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	request, ok := r.requests[id]
	return request, ok
}
