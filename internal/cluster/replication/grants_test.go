package replication

import "testing"

// A claim bound to a worker group is granted while other claims are unresolved only if all of them ran in
// that group. Only that group drops the repeat, so a grant in another group could run the op twice.
func TestABoundClaimIsGrantedOnlyInTheGroupOfTheOthers(t *testing.T) {
	c := newTestCore("a", "a")
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
		t.Error("a bound claim is granted while another one ran in an unknown group")
	}
	report := Message{Kind: OutcomeReported, SetID: c.active.id, Record: recordOf(1, "zone east")}
	c.Step(c.now+1, MessageReceived{"x", report})
	unbound, otherGroup, sameGroup := claim(3, ""), claim(4, "zone west"), claim(5, "zone east")
	if unbound != ClaimRefused || otherGroup != ClaimRefused || sameGroup != ClaimGranted {
		t.Error("after a run in zone east, a claim is granted outside that group, or refused in it")
	}
}
