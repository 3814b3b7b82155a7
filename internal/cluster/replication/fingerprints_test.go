package replication

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// A record keeps the request of each unresolved claim, and the process that made it, on its way to another replica
// or to the disk. Otherwise a released claim would leave its fingerprint to another request's op.
func TestAnEncodedRecordKeepsTheRequestsOfItsClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t, "record")
		for i := range r.Outcomes {
			if o := &r.Outcomes[i]; o.Stage == Claimed && rapid.Bool().Draw(t, "states its process") {
				o.Result = encodeProcess(Incarnation{1, o.Nonce})
			}
		}
		c := newTestCore("a", "a")
		decoded := c.withAges(&r).decodeFingerprints()
		decoded.Age = r.Age
		for i := range r.Outcomes {
			if r.Outcomes[i].unresolved() {
				continue
			}
			decoded.Outcomes[i].fingerprint = r.Outcomes[i].fingerprint // may be lost
		}
		if len(r.Outcomes) > 0 && !reflect.DeepEqual(decoded, r) {
			t.Fatalf("%+v was decoded as %+v", r, decoded)
		}
	})
}

// The key belongs to the request that has ended, else to the one that is unresolved, and to none while several
// are. A claim that was released does not count.
func TestTheHolderOfAKey(t *testing.T) {
	outcome := func(nonce uint64, stage Stage, fingerprint uint64) Outcome {
		return Outcome{Claim: Claim{"n1", nonce}, Stage: stage, fingerprint: fingerprint}
	}
	for _, x := range []struct {
		name     string
		outcomes []Outcome
		want     keyHolder
	}{
		{"no claim", nil, keyHolder{}},
		{"released", []Outcome{outcome(1, Released, 9)}, keyHolder{}},
		{
			"unresolved beside a release",
			[]Outcome{outcome(1, Claimed, 5), outcome(2, Released, 9)},
			keyHolder{held: true, fingerprint: 5},
		},
		{
			"two requests unresolved",
			[]Outcome{outcome(1, Claimed, 5), outcome(2, Abandoned, 9)},
			keyHolder{held: true, contended: true, fingerprint: 9},
		},
		{
			"ended beside an unresolved request",
			[]Outcome{outcome(1, Ended, 5), outcome(2, Claimed, 9)},
			keyHolder{held: true, ended: true, fingerprint: 5},
		},
	} {
		r := Record{Outcomes: x.outcomes}
		if got := r.holder(Claim{}); got != x.want {
			t.Errorf("%s: %+v", x.name, got)
		}
	}
	own := Record{Outcomes: []Outcome{outcome(1, Claimed, 5)}}
	if got := own.holder(Claim{"n1", 1}); got.held {
		t.Errorf("the own claim: %+v", got)
	}
}

// A release must leave the fingerprint of an unresolved claim as it is, in whatever order the two arrive.
func TestAReleaseLeavesTheFingerprintOfAnOp(t *testing.T) {
	running := Record{Key: "k", Fingerprint: 5, Outcomes: []Outcome{{Claim: Claim{"x", 1}, Stage: Claimed}}}
	released := Record{Key: "k", Fingerprint: 9, Outcomes: []Outcome{{Claim: Claim{"y", 2}, Stage: Released}}}
	for _, order := range [][]Record{{running, released}, {released, running}} {
		c := newTestCore("a", "a")
		for _, r := range order {
			c.mergeRecord(r, 0)
		}
		if r, _ := c.Lookup("k"); r.Fingerprint != running.Fingerprint || r.digestSum != c.Digest() {
			t.Errorf("the fingerprint is %d", r.Fingerprint)
		}
	}
}
