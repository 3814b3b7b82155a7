package replication

import "testing"

// countReports counts the reports of request 1 in the effects, by replica.
func countReports(effects []Effect) map[string]int {
	sent := map[string]int{}
	for _, e := range effects {
		if s, ok := e.(Send); ok && s.Kind == OutcomeReported && s.RequestID == 1 {
			sent[s.To]++
		}
	}
	return sent
}

// An outcome is reported until every replica has acknowledged it. After maxReportAttempts, the
// acknowledgements of a majority suffice, since the other replicas pull the outcome. Without a limit, a dead
// replica would keep reports pending forever.
func TestAnOutcomeIsReportedUntilItIsKnown(t *testing.T) {
	for _, x := range []struct {
		name         string
		acknowledged []string
		attempts     int
	}{
		{"all acknowledge", []string{"a", "b", "c"}, 1},
		{"a majority acknowledges", []string{"a", "b"}, maxReportAttempts},
		{"one acknowledges", []string{"a"}, 4 * maxReportAttempts},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestCore("x", "a", "b", "c")
			c.Step(1, Membership{Serving: true, Generation: 1})
			c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
			for _, name := range []string{"a", "b"} {
				c.Step(3, grantFrom(c, name, Incarnation{1, 1}))
			}
			sentToC := countReports(c.Step(4, OpEnded{RequestID: 1, HTTPStatus: 200}))["c"]
			for _, name := range x.acknowledged {
				known := Message{Kind: OutcomeKnown, SetID: c.active.id, RequestID: 1}
				c.Step(5, MessageReceived{name, known})
			}
			for c.claims.reports[1] != nil {
				sent := countReports(c.Step(c.NextTick(), Tick{}))
				for _, name := range x.acknowledged {
					if sent[name] > 0 {
						t.Fatalf("the report is sent again to %s, which acknowledged it", name)
					}
				}
				sentToC += sent["c"]
			}
			if sentToC != x.attempts {
				t.Errorf("%d reports were sent to c, want %d", sentToC, x.attempts)
			}
		})
	}
}

// A replica may have granted a first request whose answer was lost, and refuse the second one. Its record
// then contains the claim, which blocks the key until the replica receives the release.
func TestAReplicaThatGotTwoRequestsLearnsOfTheRelease(t *testing.T) {
	ownClaim := func(c *Core) Record {
		return c.claims.pending[1].record(Outcome{Claim: c.claims.pending[1].claim, Stage: Claimed})
	}
	other := Record{Key: "k", Outcomes: []Outcome{{Claim: Claim{"y", 1}, Stage: Claimed}}}
	for _, x := range []struct {
		name  string
		retry bool                 // the replica gets a second request before it refuses
		knows func(c *Core) Record // the record in its refusal
		want  int
	}{
		{"one request", false, func(*Core) Record { return other }, 0},
		{"two requests", true, func(*Core) Record { return other }, 1},
		{"one request, claim known from another replica", false, func(c *Core) Record {
			known, _ := Join(other, ownClaim(c))
			return known
		}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestCore("x", "a", "b", "c")
			c.Step(1, Membership{Serving: true, Generation: 1})
			c.Step(2, ClaimRequest{RequestID: 1, Key: "k", Timeout: second})
			known := x.knows(c)
			if x.retry {
				c.Step(2+c.config.RetryInterval, Tick{})
			}
			c.Step(c.now+1, refusalFrom(c, "a", known))
			effects := c.Step(c.now+1, refusalFrom(c, "b", known))
			if lastResult(effects) == 0 {
				t.Fatal("two refusals of three replicas did not decide the claim")
			}
			sent := countReports(effects)
			if sent["a"] != x.want || sent["b"] != x.want || sent["c"] != 1 {
				t.Errorf("releases were sent to %v", sent)
			}
		})
	}
}
