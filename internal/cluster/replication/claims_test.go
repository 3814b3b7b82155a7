package replication

import "testing"

// grantFrom is a grant of the request 1.
func grantFrom(c *Core, replica string, incarnation Incarnation, voters ...Voter) MessageReceived {
	return MessageReceived{replica, Message{
		Kind:        ClaimGranted,
		SetID:       c.active.id,
		RequestID:   1,
		Incarnation: incarnation,
		Voters:      voters,
	}}
}

// refusalFrom is a refusal of the request 1, since another claim stands.
func refusalFrom(c *Core, replica string, known Record) MessageReceived {
	return MessageReceived{replica, Message{
		Kind:      ClaimRefused,
		SetID:     c.active.id,
		RequestID: 1,
		Reason:    AlreadyClaimed,
		Record:    known,
	}}
}

// claimsIn reports whether some effects ask for a claim that is bound to a worker group.
func claimsIn(effects []Effect, group string) bool {
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.Kind == ClaimRequested && s.Record.Outcomes[0].Group == group {
			return true
		}
	}
	return false
}

// The vote of a process that was replaced must not count beside that of a replica that knows its successor.
func TestAnEarlierProcessesVoteDoesNotCount(t *testing.T) {
	for _, later := range []bool{true, false} {
		c := newCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		c.Step(3, grantFrom(c, "a", Incarnation{1, 1}))
		known := Incarnation{1, 1}
		if later {
			known = Incarnation{2, 7}
		}
		got := decision(c.Step(4, grantFrom(c, "b", Incarnation{1, 2}, Voter{"a", known})))
		if (got == Granted) == later {
			t.Errorf("later %v: %v", later, got)
		}
	}
}

// A replica that claims an op grants it to itself, and its disk fails in that round: the vote would be
// forgotten, and does not count, however the others answer after it.
func TestAnOwnVoteThatDoesNotLastDoesNotCount(t *testing.T) {
	for _, lasts := range []bool{true, false} {
		c := newCore("a", "a", "b", "c")
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
			t.Fatal("it has no vote: this test proves nothing")
		}
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
		if !lasts {
			c.Step(4, PersistFailed{Keys: []string{"k"}})
		}
		got := decision(c.Step(5, grantFrom(c, "b", Incarnation{1, 1})))
		if (got == Granted) != lasts {
			t.Errorf("its own vote lasts %v: %v", lasts, got)
		}
	}
}

// Another request under an id that may have run must not be taken for its repeat, and gets neither its
// answer nor its place.
func TestAnotherRequestUnderAnID(t *testing.T) {
	config := Defaults()
	config.Name, config.Replicas, config.AmnesiaHoldOff = "a", []string{"a"}, 0
	c := New(config, 0)
	c.Step(1, Membership{Serving: true, Generation: 1})
	claim := func(id, fingerprint uint64) ClaimResult {
		request := ClaimRequest{RequestID: id, Key: "k", Fingerprint: fingerprint, Timeout: second}
		return decision(c.Step(Time(10+id), request))
	}
	if got := claim(1, 7); got != Granted {
		t.Fatalf("%v", got)
	}
	if got := claim(2, 8); got != FingerprintMismatch {
		t.Errorf("while the first one runs: %v", got)
	}
	c.Step(20, OpEnded{RequestID: 1, Verdict: 200, Result: []byte("r"), ResultRetained: true})
	if got := claim(3, 8); got != FingerprintMismatch {
		t.Errorf("after its end: %v", got)
	}
	if got := claim(4, 7); got != AlreadyAnswered {
		t.Errorf("its repeat: %v", got)
	}
}

// An op that ran for a scheduler that is dead is claimed again only where its age is known; and what was
// granted to the claim before the bound one is not granted to that.
func TestAnAskerBindsItself(t *testing.T) {
	for _, age := range []uint64{0, 10} {
		c := newCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, PeerStatus{Name: "y", Dead: true})
		c.Step(3, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, Window: second})
		other := Outcome{Claim: Claim{"y", 1}, Stage: Claimed, Group: "all", Age: age}
		known := Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{other}}
		var effects []Effect
		for _, replica := range []string{"a", "b"} {
			effects = c.Step(c.now+1, refusalFrom(c, replica, known))
		}
		if bound := claimsIn(effects, "all"); bound != (age > 0) {
			t.Errorf("age %d: bound %v", age, bound)
		}
		for _, replica := range []string{"a", "b", "c"} {
			if decision(c.Step(c.now+1, grantFrom(c, replica, Incarnation{}))) == Granted {
				t.Error("by grants to the claim before")
			}
		}
	}
}

// What its scheduler has abandoned is repeated in its group while that scheduler is alive, and waited for
// where another one has it.
func TestWhatIsAbandonedIsRepeated(t *testing.T) {
	for _, x := range []struct {
		stages []Stage
		bound  bool
	}{
		{[]Stage{Abandoned}, true},
		{[]Stage{Claimed}, false},
		{[]Stage{Abandoned, Claimed}, false},
		{[]Stage{Abandoned, Abandoned}, true},
	} {
		c := newCore("x", "a", "b", "c")
		c.Step(1, Membership{Serving: true, Generation: 1})
		c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Fingerprint: 1, Timeout: second, Window: second})
		known := Record{Key: "k", Fingerprint: 1}
		for n, stage := range x.stages {
			outcome := Outcome{Claim: Claim{"y", uint64(n)}, Stage: stage, Group: "all", Age: 10}
			known.Outcomes = append(known.Outcomes, outcome)
		}
		bound := false
		for _, replica := range []string{"a", "b"} {
			bound = claimsIn(c.Step(c.now+1, refusalFrom(c, replica, known)), "all") || bound
		}
		if bound != x.bound {
			t.Errorf("%v: bound %v", x.stages, bound)
		}
	}
}
