package replication

import (
	"fmt"
	"maps"
)

// Status is the state that operators see.
type Status struct {
	SetID            string            `json:"epoch"`
	Epoch            uint64            `json:"turn"` // epoch of the agreed set; 0: configured set
	Replicas         []string          `json:"keepers"`
	PreviousReplicas []string          `json:"before,omitempty"` // in a joint set: the old part
	Ready            bool              `json:"ready,omitempty"`  // in a joint set: knows what the old part knew
	IsReplica        bool              `json:"keeper"`
	Voting           bool              `json:"voting"`
	Records          int               `json:"records"`
	Bytes            int               `json:"bytes"`
	PendingClaims    int               `json:"asking"` // claims without a decision
	GrantedClaims    int               `json:"mine"`   // granted claims whose ops have not ended
	PendingReports   int               `json:"telling"`
	Peers            []PeerProgress    `json:"looks"`
	Digest           string            `json:"digest"`
	Counts           map[string]uint64 `json:"counts"`
}

// PeerProgress is the progress of catching up with another replica.
type PeerProgress struct {
	Replica  string `json:"keeper"`
	Position uint64 `json:"since"`
	Voting   bool   `json:"voting"`
	CaughtUp bool   `json:"caught_up"`
}

// Status returns the state after the last input.
func (c *Core) Status() Status {
	s := Status{
		SetID:            fmt.Sprintf("%016x", c.active.id),
		Epoch:            c.active.set.Epoch,
		Replicas:         c.active.set.New,
		PreviousReplicas: c.active.set.Old,
		Ready:            c.registration.ready,
		IsReplica:        c.active.isReplica,
		Voting:           c.registration.voting && c.registration.serving,
		Records:          len(c.records.byKey),
		Bytes:            c.records.bytes,
		PendingClaims:    len(c.claims.pending),
		GrantedClaims:    len(c.claims.granted),
		PendingReports:   len(c.claims.reports),
		Peers:            []PeerProgress{},
		Digest:           fmt.Sprintf("%016x", c.Digest()),
		Counts:           maps.Clone(c.counts),
	}
	for _, name := range c.active.members {
		if peer := c.catchUp.peers[name]; peer != nil {
			s.Peers = append(s.Peers, PeerProgress{name, peer.position, peer.voting, peer.upToDate()})
		}
	}
	return s
}

// Digest returns a digest of all records. It is equal for replicas with the same outcomes.
func (c *Core) Digest() uint64 { return c.records.digest }

// Lookup returns the record of a key, and false if there is none.
func (c *Core) Lookup(key string) (Record, bool) {
	r, ok := c.records.byKey[key]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Page returns up to limit records after a key, sorted by key.
func (c *Core) Page(after string, limit int) []Record { return c.records.page(after, limit) }
