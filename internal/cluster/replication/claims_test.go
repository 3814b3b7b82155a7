package replication

import "testing"

// grantFrom returns a grant for request 1 from a replica.
func grantFrom(c *Core, replica string, incarnation Incarnation, voters ...Voter) MessageReceived {
	return MessageReceived{replica, Message{
		Kind:        ClaimGranted,
		SetID:       c.active.id,
		RequestID:   1,
		Incarnation: incarnation,
		Voters:      voters,
	}}
}

// refusalFrom returns a refusal for request 1 from a replica, with the record that forbids the claim.
func refusalFrom(c *Core, replica string, known Record) MessageReceived {
	return MessageReceived{replica, Message{
		Kind:      ClaimRefused,
		SetID:     c.active.id,
		RequestID: 1,
		Reason:    AlreadyClaimed,
		Record:    known,
	}}
}

// requestsClaimIn reports whether the effects request grants for a claim that is bound to a worker group.
func requestsClaimIn(effects []Effect, group string) bool {
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.Kind == ClaimRequested && s.Record.Outcomes[0].Group == group {
			return true
		}
	}
	return false
}

// A process of replica a grants a claim and is replaced. The grant must not count if another granting replica
// already knows the later process of a. The replaced process does not know the grants of the later one, so
// two claims could get a majority.
func TestAGrantOfAReplacedProcessDoesNotCount(t *testing.T) {
	for _, replaced := range []bool{true, false} {
		c := newTestCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		c.Step(3, grantFrom(c, "a", Incarnation{1, 1}))
		known := Incarnation{1, 1}
		if replaced {
			known = Incarnation{2, 7}
		}
		got := lastResult(c.Step(4, grantFrom(c, "b", Incarnation{1, 2}, Voter{"a", known})))
		if (got == Granted) == replaced {
			t.Errorf("replaced %v: result %v", replaced, got)
		}
	}
}

// A replica claims an op and grants the claim itself, but its disk fails in the same step. The replica could
// forget this grant, so the grant must not count towards the majority.
func TestAnUnpersistedOwnVoteDoesNotCount(t *testing.T) {
	for _, persisted := range []bool{true, false} {
		c := newTestCore("a", "a", "b", "c")
		c.Restore(nil, Incarnation{1, 1}, nil)
		c.Step(1, Membership{Serving: true, Generation: 2, Nonce: 1})
		for _, replica := range []string{"b", "c"} {
			c.Step(2, MessageReceived{replica, Message{
				Kind:           Registered,
				SetID:          c.active.id,
				Incarnation:    Incarnation{1, 1},
				LogIncarnation: c.registration.incarnation,
				Voting:         true,
			}})
		}
		if !c.registration.voting {
			t.Fatal("the replica has no vote, so this test checks nothing")
		}
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		if !persisted {
			c.Step(4, PersistFailed{Keys: []string{"k"}})
		}
		got := lastResult(c.Step(5, grantFrom(c, "b", Incarnation{1, 1})))
		if (got == Granted) != persisted {
			t.Errorf("own grant persisted %v: result %v", persisted, got)
		}
	}
}

// A different request with the key of an op that may have run must be rejected. It must neither get the
// answer of the first request nor run in its place.
func TestAnotherRequestUnderTheSameIDIsRejected(t *testing.T) {
	config := Defaults()
	config.Name, config.Replicas, config.AmnesiaHoldOff = "a", []string{"a"}, 0
	c := New(config, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	claim := func(id, fingerprint uint64) ClaimResult {
		request := ClaimRequest{RequestID: id, Key: "k", Fingerprint: fingerprint, Timeout: second}
		return lastResult(c.Step(Time(10+id), request))
	}
	if got := claim(1, 7); got != Granted {
		t.Fatalf("the first request: %v", got)
	}
	if got := claim(2, 8); got != FingerprintMismatch {
		t.Errorf("another request while the first one runs: %v", got)
	}
	c.Step(20, OpEnded{RequestID: 1, HTTPStatus: 200, Result: []byte("r"), ResultRetained: true})
	if got := claim(3, 8); got != FingerprintMismatch {
		t.Errorf("another request after the first one has ended: %v", got)
	}
	if got := claim(4, 7); got != AlreadyAnswered {
		t.Errorf("a repeat of the first request: %v", got)
	}
}

// The op of a dead scheduler is claimed again in its worker group only if its age is known, since the group
// drops repeats only for a limited time. Grants of the unbound claim must not count for the bound one.
func TestAClaimIsBoundToAGroupOnlyWithAKnownAge(t *testing.T) {
	for _, age := range []uint64{0, 10} {
		c := newTestCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, PeerStatus{Name: "y", Dead: true})
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, DedupWindow: second})
		other := Outcome{Claim: Claim{"y", 1}, Stage: Claimed, Group: "all", Age: age}
		known := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{other}}
		var effects []Effect
		for _, replica := range []string{"a", "b"} {
			effects = c.Step(c.now+1, refusalFrom(c, replica, known))
		}
		if bound := requestsClaimIn(effects, "all"); bound != (age > 0) {
			t.Errorf("age %d: bound %v", age, bound)
		}
		for _, replica := range []string{"a", "b", "c"} {
			if lastResult(c.Step(c.now+1, grantFrom(c, replica, Incarnation{}))) == Granted {
				t.Error("the bound claim is granted by grants of the unbound claim")
			}
		}
	}
}

// An op that its living scheduler has abandoned is repeated in its worker group. It must not be repeated
// while another claim of the op is in progress.
func TestAnAbandonedOpIsRepeatedInItsGroup(t *testing.T) {
	for _, x := range []struct {
		stages []Stage
		bound  bool
	}{
		{[]Stage{Abandoned}, true},
		{[]Stage{Claimed}, false},
		{[]Stage{Abandoned, Claimed}, false},
		{[]Stage{Abandoned, Abandoned}, true},
	} {
		c := newTestCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, DedupWindow: second})
		known := Record{Key: "k", Fingerprint: 1}
		for i, stage := range x.stages {
			outcome := Outcome{Claim: Claim{"y", uint64(i)}, Stage: stage, Group: "all", Age: 10}
			known.Outcomes = append(known.Outcomes, outcome)
		}
		bound := false
		for _, replica := range []string{"a", "b"} {
			bound = requestsClaimIn(c.Step(c.now+1, refusalFrom(c, replica, known)), "all") || bound
		}
		if bound != x.bound {
			t.Errorf("%v: bound %v", x.stages, bound)
		}
	}
}
