package replication

import "testing"

// A claim that is bound to a group is granted beside others only where all of them ran in that one.
func TestAKeeperGrantsBesideOthersInTheirGroupAlone(t *testing.T) {
	c := newCore("a", "a")
	c.Step(1, Membership{Serving: true, Generation: 1})
	c.Step(2, Tick{})
	recordOf := func(nonce uint64, group string) Record {
		outcome := Outcome{Claim: Claim{"x", nonce}, Stage: Claimed, Group: group}
		return Record{Key: "k", Fingerprint: 1, Outcomes: []Outcome{outcome}}
	}
	claim := func(nonce uint64, group string) Kind {
		request := Message{
			Kind:      ClaimRequested,
			SetID:     c.active.id,
			RequestID: nonce,
			Record:    recordOf(nonce, group),
		}
		for _, e := range c.Step(c.now+1, MessageReceived{"x", request}) {
			if s, ok := e.(Send); ok {
				return s.Kind
			}
		}
		return 0
	}
	if claim(1, "") != ClaimGranted || claim(2, "zone east") != ClaimRefused {
		t.Error("beside one that ran nobody knows where")
	}
	report := Message{Kind: OutcomeReported, SetID: c.active.id, Record: recordOf(1, "zone east")}
	c.Step(c.now+1, MessageReceived{"x", report})
	unbound, elsewhere, same := claim(3, ""), claim(4, "zone west"), claim(5, "zone east")
	if unbound != ClaimRefused || elsewhere != ClaimRefused || same != ClaimGranted {
		t.Error("beside one that ran in the east")
	}
}
