package replication

import (
	"testing"

	"woaddyke/internal/cluster/replicaset"
)

// newCore makes a core with the default configuration.
func newCore(name string, replicas ...string) *Core {
	config := Defaults()
	config.Name, config.Replicas = name, replicas
	return New(config, 0)
}

// decision is the result of the last claim that some effects decide on; 0: of none.
func decision(effects []Effect) (result ClaimResult) {
	for _, e := range effects {
		if decided, ok := e.(ClaimDecided); ok {
			result = decided.Result
		}
	}
	return result
}

// A replica of another set has no vote in this one, and no replica may be configured twice.
func TestReplicasOfAnotherSetDoNotCount(t *testing.T) {
	setID := func(names ...string) uint64 { return replicaset.Configured(names).ID() }
	if setID("a", "b", "c") != setID("c", "a", "b") || setID("a", "b", "c") == setID("a", "b", "d") {
		t.Error("a set's ID must be of its members, in any order")
	}
	c := newCore("x", "a", "b", "c")
	c.Step(1, Membership{Serving: true, Generation: 1})
	c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
	claim := c.claims.pending[1]
	for _, name := range []string{"a", "b", "c", "stranger"} {
		otherSet := grantFrom(c, name, Incarnation{})
		otherSet.SetID++
		c.Step(3, otherSet)
	}
	if c.Step(3, grantFrom(c, "stranger", Incarnation{})); len(claim.answers) > 0 {
		t.Errorf("counted %v", claim.answers)
	}
	config := Defaults()
	config.Name = "x"
	for _, bad := range [][]string{nil, {"a", "b"}, {"a", "a", "b"}, {"a", "", "b"}} {
		config.Replicas = bad
		if config.Validate() == nil {
			t.Errorf("%q are taken for replicas", bad)
		}
	}
}
