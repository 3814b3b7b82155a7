package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddyke/internal/cluster/membership"
)

// Time is a moment in tenths of a millisecond on a clock that only goes forward.
type Time = membership.Time

// Stage is how far a claim has come. A later stage replaces an earlier one. The numbers are fixed by the
// wire.
type Stage uint8

// The stages. A claim stands in the stages Claimed and Abandoned: nobody else takes it for never pushed,
// however long its scheduler has been silent.
const (
	Claimed   Stage = iota + 1 // its scheduler may push, and may have pushed
	Released                   // its scheduler pushes no more, and has proved that nothing ran
	Abandoned                  // its scheduler pushes no more, and what it pushed may have run
	Ended                      // the op has its answer
)

var stages = [...]string{Claimed: "claimed", Released: "released", Abandoned: "given up", Ended: "ended"}

// String is the stage as operators see it; empty for an unknown one.
func (s Stage) String() string {
	if int(s) >= len(stages) {
		return ""
	}
	return stages[s]
}

// Claim is one scheduler's claim of one op. It is embedded in Outcome, so their CBOR keys are distinct.
type Claim struct {
	Scheduler string `cbor:"6,keyasint,omitzero"`
	Nonce     uint64 `cbor:"7,keyasint,omitzero"` // of this claim alone
}

func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Scheduler, b.Scheduler), cmp.Compare(a.Nonce, b.Nonce))
}

// Outcome is what is known of one claim.
type Outcome struct {
	Claim
	Stage          Stage  `cbor:"1,keyasint,omitzero"`
	Verdict        uint16 `cbor:"2,keyasint,omitzero"` // Ended: the HTTP status of the answer
	Result         []byte `cbor:"3,keyasint,omitzero"` // Ended: the answer, nil where it was not retained; Claimed: see process
	ResultRetained bool   `cbor:"4,keyasint,omitzero"` // Result is the complete answer
	Voted          bool   `cbor:"5,keyasint,omitzero"` // this replica has granted the claim
	Group          string `cbor:"8,keyasint,omitzero"` // in which it may have run; empty: unknown
	Age            uint64 `cbor:"9,keyasint,omitzero"` // on the wire: tenths of a ms since notBefore

	notBefore Time // the op did not run before, since the claim was not granted; 0: unknown
}

// conflictingGroups stands for the group of a claim for which two groups were reported.
const conflictingGroups = "\x00"

// valid reports whether an outcome from elsewhere is within bounds.
func (o *Outcome) valid() bool {
	return o.Stage >= Claimed && o.Stage <= Ended &&
		o.Scheduler != "" && len(o.Scheduler) <= maxNameBytes &&
		len(o.Group) <= maxNameBytes
}

// stands reports whether the op may have run under the claim, or may run yet, and has no answer.
func (o *Outcome) stands() bool { return o.Stage == Claimed || o.Stage == Abandoned }

// joinOutcomes merges two outcomes of one claim. Where both can't be true it reports a conflict, and keeps
// the one under which nothing is pushed.
func joinOutcomes(a, b Outcome) (joined Outcome, conflict bool) {
	conflict = stagesConflict(a, b)
	joined = a
	if compareOutcomes(a, b) < 0 {
		joined = b
	}
	joined.Voted = a.Voted || b.Voted
	joined.notBefore = max(a.notBefore, b.notBefore)
	joined.Age = min(a.Age, b.Age)
	if joined.Age == 0 {
		joined.Age = max(a.Age, b.Age)
	}
	joined.Group = max(a.Group, b.Group)
	if a.Group != "" && b.Group != "" && a.Group != b.Group {
		// The first push fixes the group. Of two reports nobody may rely on either.
		joined.Group, conflict = conflictingGroups, true
	}
	return joined, conflict
}

// stagesConflict reports whether one outcome says that nothing ran and the other that something may have, or
// whether both name an end with another status.
func stagesConflict(a, b Outcome) bool {
	if a.Stage == Ended && b.Stage == Ended {
		return a.Verdict != b.Verdict
	}
	return a.Stage != b.Stage && min(a.Stage, b.Stage) == Released
}

func compareOutcomes(a, b Outcome) int {
	return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Verdict, b.Verdict), compareResults(a, b))
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

// Record is all that is known of one op: the outcome of every claim of it that anybody has heard of.
type Record struct {
	Key         string    `cbor:"1,keyasint,omitzero"`
	Fingerprint uint64    `cbor:"2,keyasint,omitzero"` // of the request that came first under this id
	Age         uint64    `cbor:"3,keyasint,omitzero"` // on the wire: seconds since it was first seen
	Outcomes    []Outcome `cbor:"4,keyasint,omitzero"` // in the order of their claims

	firstSeen Time
	position  uint64 // of its latest change
	digestSum uint64 // its digest, as it is part of the log's
}

// find returns the index of a claim's outcome, or where it would be inserted.
func (r *Record) find(c Claim) (index int, found bool) {
	compare := func(o Outcome, c Claim) int { return compareClaims(o.Claim, c) }
	return slices.BinarySearchFunc(r.Outcomes, c, compare)
}

// join merges an outcome, and reports whether that changed what other replicas must learn.
func (r *Record) join(o Outcome) (changed, conflict bool) {
	i, known := r.find(o.Claim)
	if !known {
		r.Outcomes = slices.Insert(r.Outcomes, i, o)
		return true, false
	}
	before := r.Outcomes[i]
	after, conflict := joinOutcomes(before, o)
	r.Outcomes[i] = after
	changed = after.Group != before.Group || after.Stage != before.Stage ||
		after.ResultRetained != before.ResultRetained || after.Verdict != before.Verdict
	return changed, conflict
}

// standing returns the first outcome of another claim that stands; false where there is none.
func (r *Record) standing(except Claim) (Outcome, bool) {
	for _, o := range r.Outcomes {
		if o.stands() && o.Claim != except {
			return o, true
		}
	}
	return Outcome{}, false
}

// standsOnlyIn reports whether all other claims that stand may have run in one worker group alone: that group
// drops a repeat.
func (r *Record) standsOnlyIn(except Claim, group string) bool {
	for _, o := range r.Outcomes {
		if o.stands() && o.Claim != except && o.Group != group {
			return false
		}
	}
	return group != "" && group != conflictingGroups
}

// ending returns the end of the op, of several one with a result.
func (r *Record) ending() (end Outcome, ended bool) {
	for _, o := range r.Outcomes {
		if o.Stage == Ended && (!ended || o.ResultRetained && !end.ResultRetained) {
			end, ended = o, true
		}
	}
	return end, ended
}

// protects reports whether the op could run twice if the record were forgotten.
func (r *Record) protects() bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool { return o.Stage != Released })
}

// Estimated bytes of a record and of an outcome beside their strings.
const (
	recordOverheadBytes  = 64
	outcomeOverheadBytes = 48
)

// size estimates the record's bytes, in memory and in a message.
func (r *Record) size() int {
	n := len(r.Key) + recordOverheadBytes
	for _, o := range r.Outcomes {
		n += len(o.Scheduler) + len(o.Result) + len(o.Group) + outcomeOverheadBytes
	}
	return n
}

// digest is the record's part in the digest of all records, which are joined by exclusive or.
func (r *Record) digest() (sum uint64) {
	buffer := make([]byte, 0, 128)
	for _, o := range r.Outcomes {
		buffer = append(buffer[:0], r.Key...)
		buffer = append(buffer, 0)
		buffer = append(buffer, o.Scheduler...)
		buffer = append(buffer, 0)
		for _, n := range []uint64{r.Fingerprint, o.Nonce, uint64(o.Stage), uint64(o.Verdict)} {
			buffer = binary.LittleEndian.AppendUint64(buffer, n)
		}
		if o.ResultRetained {
			buffer = append(buffer, 1)
		}
		buffer = append(buffer, o.Group...)
		sum ^= xxhash.Sum64(buffer)
	}
	return sum
}

// Join merges two copies of a record, and reports whether they conflict. It is commutative, associative and
// idempotent.
func Join(a, b Record) (joined Record, conflict bool) {
	joined = Record{
		Key:         a.Key,
		Fingerprint: max(a.Fingerprint, b.Fingerprint),
		Age:         max(a.Age, b.Age),
		Outcomes:    slices.Clone(a.Outcomes),
	}
	conflict = a.Fingerprint != b.Fingerprint
	for _, o := range b.Outcomes {
		_, outcomeConflict := joined.join(o)
		conflict = conflict || outcomeConflict
	}
	return joined, conflict
}
