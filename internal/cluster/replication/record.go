package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddyke/internal/cluster/membership"
)

// Time is a moment in tenths of a millisecond on a clock that only goes forward, as members take it.
type Time = membership.Time

// Stage is how far a claim has come. A later one stands over an earlier one.
type Stage uint8

// The stages. A claim that stands may be used: nobody else takes it for unsent, however long its scheduler has been silent.
const (
	Claimed   Stage = iota + 1 // its scheduler may push, and may have pushed
	Released                   // its scheduler has proved that nothing was pushed, or that what was did not run, and pushes no more
	Abandoned                  // its scheduler pushes no more, and what it pushed may have run
	Ended                      // the op has its answer
)

func (s Stage) String() string {
	return map[Stage]string{Claimed: "claimed", Released: "released", Abandoned: "given up", Ended: "ended"}[s]
}

// Claim is one scheduler's claim of one op. Its keys in CBOR are none of Fate's, which it is part of.
type Claim struct {
	Scheduler string `cbor:"6,keyasint,omitzero"` // the scheduler
	Nonce     uint64 `cbor:"7,keyasint,omitzero"` // of this claim alone
}

// Outcome is what is known of one claim.
type Outcome struct {
	Claim
	Stage          Stage  `cbor:"1,keyasint,omitzero"`
	Verdict        uint16 `cbor:"2,keyasint,omitzero"` // Ended: the status that its client was answered
	Result         []byte `cbor:"3,keyasint,omitzero"` // Ended: what its client was answered; nil where it was not held
	ResultRetained bool   `cbor:"4,keyasint,omitzero"` // the result is all of the answer
	Voted          bool   `cbor:"5,keyasint,omitzero"` // here: this keeper has granted it
	Group          string `cbor:"8,keyasint,omitzero"` // the group that drops repeats, in which it may have run; empty where nothing is known
	Age            uint64 `cbor:"9,keyasint,omitzero"` // on the wire: it has not run for longer, in tenths of a millisecond; 0 where nobody knows

	notBefore Time // it can't have run before that, since it was not granted; 0 where nobody knows
}

// stands tells whether what the claim was for may have run, or may run yet, and has no end.
func (f *Outcome) stands() bool { return f.Stage == Claimed || f.Stage == Abandoned }

// conflictingGroups is where a claim ran of which two groups are told.
const conflictingGroups = "\x00"

// joinOutcomes is the rule for two words of one claim. Of two that can't both be true the one that sends nothing stands.
func joinOutcomes(a, b Outcome) (c Outcome, breach bool) {
	breach = a.Stage != b.Stage && min(a.Stage, b.Stage) == Released || a.Stage == Ended && b.Stage == Ended && a.Verdict != b.Verdict
	c = a
	if cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Verdict, b.Verdict), compareResults(a, b)) < 0 {
		c = b
	}
	c.Voted = a.Voted || b.Voted
	c.notBefore = max(a.notBefore, b.notBefore)
	if c.Age = min(a.Age, b.Age); c.Age == 0 {
		c.Age = max(a.Age, b.Age)
	}
	if c.Group = max(a.Group, b.Group); a.Group != "" && b.Group != "" && a.Group != b.Group {
		c.Group, breach = conflictingGroups, true // one push fixes the group; of two words nobody may be bound by either
	}
	return c, breach
}

func compareResults(a, b Outcome) int {
	switch {
	case a.ResultRetained == b.ResultRetained:
		return slices.Compare(a.Result, b.Result)
	case a.ResultRetained:
		return 1
	}
	return -1
}

// Record is all that is known of one op: every claim of it that anybody has heard of. Two records join claim by claim.
type Record struct {
	Key         string    `cbor:"1,keyasint,omitzero"`
	Fingerprint uint64    `cbor:"2,keyasint,omitzero"` // of the request that came first under this id
	Age         uint64    `cbor:"3,keyasint,omitzero"` // seconds since it was first heard of, on the wire
	Outcomes    []Outcome `cbor:"4,keyasint,omitzero"` // in order of claims

	firstSeen Time
	position  uint64 // in the order of changes here
	digestSum uint64 // its digest, as it stands in that of all
}

func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Scheduler, b.Scheduler), cmp.Compare(a.Nonce, b.Nonce))
}

// find is where a claim stands, or would.
func (r *Record) find(c Claim) (int, bool) {
	return slices.BinarySearchFunc(r.Outcomes, c, func(f Outcome, c Claim) int { return compareClaims(f.Claim, c) })
}

// join takes in a fate; it tells whether that changed anything that others should hear.
func (r *Record) join(f Outcome) (changed, breach bool) {
	i, ok := r.find(f.Claim)
	if !ok {
		r.Outcomes = slices.Insert(r.Outcomes, i, f)
		return true, false
	}
	before := r.Outcomes[i]
	r.Outcomes[i], breach = joinOutcomes(before, f)
	after := r.Outcomes[i]
	return after.Group != before.Group || after.Stage != before.Stage || after.ResultRetained != before.ResultRetained || after.Verdict != before.Verdict, breach
}

// standing is the claim that may still be used, other than one; false where there is none.
func (r *Record) standing(but Claim) (Outcome, bool) {
	for _, f := range r.Outcomes {
		if f.stands() && f.Claim != but {
			return f, true
		}
	}
	return Outcome{}, false
}

// standsOnlyIn tells whether all claims that stand beside one may have run in a group, and nowhere else: a repeat there is dropped.
func (r *Record) standsOnlyIn(but Claim, where string) bool {
	for _, f := range r.Outcomes {
		if f.stands() && f.Claim != but && f.Group != where {
			return false
		}
	}
	return where != "" && where != conflictingGroups
}

// ending is the end of the op, of several the one with a result.
func (r *Record) ending() (end Outcome, ok bool) {
	for _, f := range r.Outcomes {
		if f.Stage == Ended && (!ok || f.ResultRetained && !end.ResultRetained) {
			end, ok = f, true
		}
	}
	return end, ok
}

// protects tells whether forgetting the record could have an op run twice.
func (r *Record) protects() bool {
	return slices.ContainsFunc(r.Outcomes, func(f Outcome) bool { return f.Stage != Released })
}

func (r *Record) size() int {
	n := len(r.Key) + 64
	for _, f := range r.Outcomes {
		n += len(f.Scheduler) + len(f.Result) + len(f.Group) + 48
	}
	return n
}

// digest is the record's part in the digest of all: what is put in twice is taken out.
func (r *Record) digest() (sum uint64) {
	room := make([]byte, 0, 128)
	for _, f := range r.Outcomes {
		room = append(append(append(append(room[:0], r.Key...), 0), f.Scheduler...), 0)
		for _, n := range []uint64{r.Fingerprint, f.Nonce, uint64(f.Stage), uint64(f.Verdict)} {
			room = binary.LittleEndian.AppendUint64(room, n)
		}
		if f.ResultRetained {
			room = append(room, 1)
		}
		sum ^= xxhash.Sum64(append(room, f.Group...))
	}
	return sum
}

// Join is the rule for two copies of a record.
func Join(a, b Record) (Record, bool) {
	c := Record{Key: a.Key, Fingerprint: max(a.Fingerprint, b.Fingerprint), Age: max(a.Age, b.Age), Outcomes: slices.Clone(a.Outcomes)}
	breach := a.Fingerprint != b.Fingerprint
	for _, f := range b.Outcomes {
		_, bad := c.join(f)
		breach = breach || bad
	}
	return c, breach
}
