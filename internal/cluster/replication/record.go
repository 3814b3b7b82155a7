package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddyke/internal/cluster/membership"
)

// Time is a point on a monotonic clock, in tenths of a millisecond.
type Time = membership.Time

// Stage is the progress of a claim. A later stage replaces an earlier one. The wire format fixes the numbers.
type Stage uint8

// The stages. A claim is unresolved in the stages Claimed and Abandoned: other schedulers must assume that
// the op may have run, however long the claim's scheduler has been silent.
const (
	Claimed   Stage = iota + 1 // the scheduler may push the op, and may have pushed it
	Released                   // the scheduler does not push the op, and has proved that it did not run
	Abandoned                  // the scheduler no longer pushes the op, and the op may have run
	Ended                      // the op has an answer
)

var stages = [...]string{Claimed: "claimed", Released: "released", Abandoned: "given up", Ended: "ended"}

// String returns the stage as operators see it, and "" for an unknown stage.
func (s Stage) String() string {
	if int(s) >= len(stages) {
		return ""
	}
	return stages[s]
}

// Claim identifies one claim of an op by a scheduler. Claim is embedded in Outcome, so the CBOR keys of both
// types are distinct.
type Claim struct {
	Scheduler string `cbor:"6,keyasint,omitzero"`
	Nonce     uint64 `cbor:"7,keyasint,omitzero"` // unique to this claim
}

func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Scheduler, b.Scheduler), cmp.Compare(a.Nonce, b.Nonce))
}

// Outcome is the known state of one claim.
type Outcome struct {
	Claim
	Stage          Stage  `cbor:"1,keyasint,omitzero"`
	HTTPStatus     uint16 `cbor:"2,keyasint,omitzero"` // Ended: the HTTP status of the answer
	Result         []byte `cbor:"3,keyasint,omitzero"` // Ended: the answer, if retained; Claimed: the process
	ResultRetained bool   `cbor:"4,keyasint,omitzero"` // Result is the complete answer
	Voted          bool   `cbor:"5,keyasint,omitzero"` // this replica has granted the claim
	Group          string `cbor:"8,keyasint,omitzero"` // group in which the op may have run; "": unknown
	Age            uint64 `cbor:"9,keyasint,omitzero"` // encoded: tenths of a ms since notRunBefore; 0: unknown

	notRunBefore Time   // the op did not run before this time, as the claim was not granted yet; 0: unknown
	fingerprint  uint64 // of the request that made the claim; of no use once the claim is released
}

// conflictingGroups replaces the group of a claim for which two groups were reported.
const conflictingGroups = "\x00"

// valid reports whether an outcome from a message or the store is within the limits.
func (o *Outcome) valid() bool {
	return o.Stage >= Claimed && o.Stage <= Ended &&
		o.Scheduler != "" && len(o.Scheduler) <= maxNameBytes &&
		len(o.Group) <= maxNameBytes
}

// unresolved reports whether the op may have run, or may still run, under the claim and has no answer.
func (o *Outcome) unresolved() bool { return o.Stage == Claimed || o.Stage == Abandoned }

// joinOutcomes merges two outcomes of one claim. If the outcomes contradict each other, it reports a conflict
// and uses the outcome with the later stage, in which the op is no longer pushed.
func joinOutcomes(a, b Outcome) (joined Outcome, conflict bool) {
	conflict = stagesConflict(a, b)
	joined = a
	if compareOutcomes(a, b) < 0 {
		joined = b
	}
	joined.Voted = a.Voted || b.Voted
	joined.fingerprint = max(a.fingerprint, b.fingerprint)
	if a.fingerprint != b.fingerprint && a.fingerprint != 0 && b.fingerprint != 0 && joined.Stage != Released {
		conflict = true // a claim is made by one request
	}
	joined.notRunBefore = max(a.notRunBefore, b.notRunBefore)
	joined.Age = min(a.Age, b.Age)
	if joined.Age == 0 {
		joined.Age = max(a.Age, b.Age)
	}
	joined.Group = max(a.Group, b.Group)
	if a.Group != "" && b.Group != "" && a.Group != b.Group {
		// The first push determines the group. If two groups are reported, neither can be trusted.
		joined.Group, conflict = conflictingGroups, true
	}
	return joined, conflict
}

// stagesConflict reports whether two outcomes of one claim contradict each other. They do if one states that
// the op did not run and the other that it may have run, or if both have ended with different HTTP statuses.
func stagesConflict(a, b Outcome) bool {
	if a.Stage == Ended && b.Stage == Ended {
		return a.HTTPStatus != b.HTTPStatus
	}
	return a.Stage != b.Stage && min(a.Stage, b.Stage) == Released
}

func compareOutcomes(a, b Outcome) int {
	return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.HTTPStatus, b.HTTPStatus), compareResults(a, b))
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

// Record is the known state of one op: the outcomes of all its known claims.
type Record struct {
	Key         string    `cbor:"1,keyasint,omitzero"`
	Fingerprint uint64    `cbor:"2,keyasint,omitzero"` // of the request that holds the key, see fingerprints.go
	Age         uint64    `cbor:"3,keyasint,omitzero"` // on the wire: seconds since the record was first seen
	Outcomes    []Outcome `cbor:"4,keyasint,omitzero"` // sorted by claim

	firstSeen Time
	position  uint64 // position of the latest change in the log
	digestSum uint64 // the digest that is included in the digest of the log
}

// find returns the index of a claim's outcome, or the index at which it would be inserted.
func (r *Record) find(c Claim) (index int, found bool) {
	compare := func(o Outcome, c Claim) int { return compareClaims(o.Claim, c) }
	return slices.BinarySearchFunc(r.Outcomes, c, compare)
}

// join merges an outcome into the record. It reports whether the record changed in a way that other replicas
// must learn, and whether the outcome conflicts with the known one.
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
		after.ResultRetained != before.ResultRetained || after.HTTPStatus != before.HTTPStatus
	return changed, conflict
}

// findUnresolved returns the first unresolved outcome of a claim other than except, and false if there is
// none.
func (r *Record) findUnresolved(except Claim) (Outcome, bool) {
	for _, o := range r.Outcomes {
		if o.unresolved() && o.Claim != except {
			return o, true
		}
	}
	return Outcome{}, false
}

// unresolvedOnlyIn reports whether the op may have run only in the given worker group under all unresolved
// claims other than except. That group drops a repeat.
func (r *Record) unresolvedOnlyIn(except Claim, group string) bool {
	for _, o := range r.Outcomes {
		if o.unresolved() && o.Claim != except && o.Group != group {
			return false
		}
	}
	return group != "" && group != conflictingGroups
}

// endedOutcome returns the outcome of a claim that has ended, preferably one whose result was retained.
func (r *Record) endedOutcome() (end Outcome, ended bool) {
	for _, o := range r.Outcomes {
		if o.Stage == Ended && (!ended || o.ResultRetained && !end.ResultRetained) {
			end, ended = o, true
		}
	}
	return end, ended
}

// Estimated sizes of a record and of an outcome without their strings.
const (
	recordOverheadBytes  = 64
	outcomeOverheadBytes = 48
)

// size estimates the size of the record in bytes, in memory and in a message.
func (r *Record) size() int {
	n := len(r.Key) + recordOverheadBytes
	for _, o := range r.Outcomes {
		n += len(o.Scheduler) + len(o.Result) + len(o.Group) + outcomeOverheadBytes
	}
	return n
}

// digest returns the digest of the record. The digest of the log is the XOR of all record digests.
func (r *Record) digest() (sum uint64) {
	buffer := make([]byte, 0, 128)
	for _, o := range r.Outcomes {
		buffer = append(buffer[:0], r.Key...)
		buffer = append(buffer, 0)
		buffer = append(buffer, o.Scheduler...)
		buffer = append(buffer, 0)
		for _, n := range []uint64{r.fingerprintOf(&o), o.Nonce, uint64(o.Stage), uint64(o.HTTPStatus)} {
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

// Join merges two versions of a record, and reports whether they conflict. The merge is commutative,
// associative and idempotent.
func Join(a, b Record) (joined Record, conflict bool) {
	joined = Record{Key: a.Key, Age: max(a.Age, b.Age), Outcomes: slices.Clone(a.Outcomes)}
	for _, o := range b.Outcomes {
		_, outcomeConflict := joined.join(o)
		conflict = conflict || outcomeConflict
	}
	joined.updateFingerprint()
	return joined, conflict
}
