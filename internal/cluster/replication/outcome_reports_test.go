package replication

import "testing"

// reportsOn counts the reports of the request 1 among some effects, by replica.
func reportsOn(effects []Effect) map[string]int {
	sent := map[string]int{}
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.Kind == OutcomeReported && s.RequestID == 1 {
			sent[s.To]++
		}
	}
	return sent
}

// An outcome is reported until every replica has acknowledged it; a majority is enough after many attempts,
// since the others pull it.
func TestAnOutcomeIsReportedUntilItIsKnown(t *testing.T) {
	for _, x := range []struct {
		name         string
		acknowledged []string
		attempts     int
	}{
		{"all have it", []string{"a", "b", "c"}, 1},
		{"a majority has it", []string{"a", "b"}, maxReportAttempts},
		{"one has it", []string{"a"}, 4 * maxReportAttempts},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCore("x", "a", "b", "c")
			c.Step(1, Membership{Serving: true, Generation: 1})
			c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
			for _, name := range []string{"a", "b"} {
				c.Step(3, grantFrom(c, name, Incarnation{1, 1}))
			}
			silent := reportsOn(c.Step(4, OpEnded{RequestID: 1, Verdict: 200}))["c"]
			for _, name := range x.acknowledged {
				known := Message{Kind: OutcomeKnown, SetID: c.active.id, RequestID: 1}
				c.Step(5, MessageReceived{name, known})
			}
			for c.claims.reports[1] != nil {
				sent := reportsOn(c.Step(c.NextTick(), Tick{}))
				for _, name := range x.acknowledged {
					if sent[name] > 0 {
						t.Fatalf("%s is told again", name)
					}
				}
				silent += sent["c"]
			}
			if silent != x.attempts {
				t.Errorf("c was told %d times, want %d", silent, x.attempts)
			}
		})
	}
}

// A replica may have granted a request whose answer was lost, and refuse the next one. The claim stands there, and blocks the id, until it is
// told of the release.
func TestAReplicaThatWasAskedTwiceLearnsOfTheRelease(t *testing.T) {
	ownClaim := func(c *Core) Record {
		return c.claims.pending[1].record(Outcome{Claim: c.claims.pending[1].claim, Stage: Claimed})
	}
	other := Record{Key: "k", Outcomes: []Outcome{{Claim: Claim{"y", 1}, Stage: Claimed}}}
	for _, x := range []struct {
		name  string
		again bool                 // the replica is asked a second time before it refuses
		knows func(c *Core) Record // its refusal has this
		want  int
	}{
		{"asked once", false, func(*Core) Record { return other }, 0},
		{"asked twice", true, func(*Core) Record { return other }, 1},
		{"asked once, knows the claim from another replica", false, func(c *Core) Record {
			known, _ := Join(other, ownClaim(c))
			return known
		}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCore("x", "a", "b", "c")
			c.Step(1, Membership{Serving: true, Generation: 1})
			c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
			known := x.knows(c)
			if x.again {
				c.Step(2+c.config.RetryInterval, Tick{})
			}
			c.Step(c.now+1, refusalFrom(c, "a", known))
			effects := c.Step(c.now+1, refusalFrom(c, "b", known))
			if decision(effects) == 0 {
				t.Fatal("two refusals of three decide nothing")
			}
			sent := reportsOn(effects)
			if sent["a"] != x.want || sent["b"] != x.want || sent["c"] != 1 {
				t.Errorf("releases were sent to %v", sent)
			}
		})
	}
}
