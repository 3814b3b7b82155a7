// Package requests holds what clients have asked for, by the ids that they sent: workers look up there what a push is
// about, so that nothing a scheduler writes is taken on trust.
package requests

import (
	"hash/fnv"
	"sync"

	"woaddyke/internal/lab/workermodel"
)

// Ask is one try as its client wrote it.
type Ask struct {
	Job    workermodel.Job
	Target string // path and query
	Key    string // Idempotency-Key
	Body   uint64 // its sum
}

// Sum names a body.
func Sum(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64()
}

// Desk is all asks of an experiment; it holds as many as the script has tries.
type Desk struct {
	mu  sync.RWMutex
	ask map[string]Ask
}

// New makes an empty desk.
func New() *Desk { return &Desk{ask: map[string]Ask{}} }

// Put notes what is about to be sent.
func (d *Desk) Put(id string, a Ask) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ask[id] = a
}

// Get is what a client has sent under an id.
func (d *Desk) Get(id string) (Ask, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	a, ok := d.ask[id]
	return a, ok
}
