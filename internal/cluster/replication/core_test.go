package replication

import (
	"testing"

	"woaddyke/internal/cluster/replicaset"
)

// newTestCore returns a core with the default configuration.
func newTestCore(name string, replicas ...string) *Core {
	config := Defaults()
	config.Name, config.Replicas = name, replicas
	return New(config, 0)
}

// fromPeer returns a message of the replica b or c under the set in force. If it is an answer to a registration,
// it states the incarnation of the core.
func fromPeer(c *Core, name string, m Message) MessageReceived {
	peer := map[string]Incarnation{"b": {1, 2}, "c": {1, 3}}[name]
	m.SetID, m.Incarnation, m.LogIncarnation = c.active.id, peer, peer
	if m.Kind == Registered {
		m.LogIncarnation = c.registration.incarnation
	}
	return MessageReceived{name, m}
}

// lastResult returns the result of the last claim that the effects decide, or 0 if they decide none.
func lastResult(effects []Effect) (result ClaimResult) {
	for _, e := range effects {
		if decided, ok := e.(ClaimDecided); ok {
			result = decided.Result
		}
	}
	return result
}

// Grants under another replica set, or from a member that is not a replica, must not count. Invalid lists of
// replicas must be rejected.
func TestGrantsUnderAnotherSetDoNotCount(t *testing.T) {
	setID := func(names ...string) uint64 { return replicaset.ConfiguredSet(names).ID() }
	if setID("a", "b", "c") != setID("c", "a", "b") || setID("a", "b", "c") == setID("a", "b", "d") {
		t.Error("the ID of a set must depend on its members and not on their order")
	}
	c := newTestCore("x", "a", "b", "c")
	c.Step(1, Membership{Serving: true, Generation: 1})
	c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
	claim := c.claims.pending[1]
	for _, name := range []string{"a", "b", "c", "stranger"} {
		otherSet := grantFrom(c, name, Incarnation{})
		otherSet.SetID++
		c.Step(3, otherSet)
	}
	if c.Step(3, grantFrom(c, "stranger", Incarnation{})); len(claim.answers) > 0 {
		t.Errorf("answers that must not count: %v", claim.answers)
	}
	config := Defaults()
	config.Name = "x"
	for _, invalid := range [][]string{nil, {"a", "b"}, {"a", "a", "b"}, {"a", "", "b"}} {
		config.Replicas = invalid
		if config.Validate() == nil {
			t.Errorf("the replicas %q are accepted", invalid)
		}
	}
}
