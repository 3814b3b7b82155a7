package membership

import (
	"cmp"
	"fmt"
)

// State is the state of one incarnation of a member.
type State uint8

// The states. Of two records of the same incarnation and refutations, the one with the later state is the
// greater.
const (
	Joining  State = iota // the process has not chosen its incarnation yet
	Alive                 // the process answers
	Suspect               // a probe of the process failed; only the process itself can refute the suspicion
	Dead                  // the process did not refute the suspicion before the deadline
	Left                  // the process has notified other members that it leaves
	Replaced              // another process has this process's name
)

// stateNames are the states as the console shows them. Most differ from the names of the constants.
var stateNames = [...]string{"joining", "here", "doubted", "gone", "left", "superseded"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText returns the state as the console shows it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended reports whether a process in this state has ended, as far as is known.
func (s State) Ended() bool { return s >= Dead }

// Incarnation identifies one process of a member, or a process and its successors by hot restart. A
// later incarnation has a greater generation. The nonce distinguishes two processes that chose the same
// generation concurrently.
type Incarnation struct {
	Generation uint64 `json:"incarnation"`
	Nonce      uint64 `json:"-"`
}

func (a Incarnation) compare(b Incarnation) int {
	return cmp.Or(
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.Nonce, b.Nonce),
	)
}

// MemberRecord is the state of a member as another member, or the member itself, reports it.
type MemberRecord struct {
	Name   string
	Addr   string // at which the member receives datagrams and streams
	Number int    // scheduler number in the settings; -1 for none
	Incarnation
	Refutations uint64 // of the present incarnation; only the member itself may increase it
	State       State
	ReportedBy  string
	Age         uint64 // seconds since the process ended; CompareRecords ignores it
}

// CompareRecords orders the records of one name. The greater record is newer, or reports a later state of
// the same incarnation and refutations. ReportedBy, Addr and Number make the order total, so that equal
// views are equal in every field.
func CompareRecords(a, b MemberRecord) int {
	return cmp.Or(
		compareState(a, b),
		cmp.Compare(a.ReportedBy, b.ReportedBy),
		cmp.Compare(a.Addr, b.Addr),
		cmp.Compare(a.Number, b.Number),
	)
}

// compareState compares the fields that two views must agree on.
func compareState(a, b MemberRecord) int {
	return cmp.Or(
		a.Incarnation.compare(b.Incarnation),
		cmp.Compare(a.Refutations, b.Refutations),
		cmp.Compare(a.State, b.State),
	)
}

// GreaterRecord returns the greater of two records of one name. If they are equal, the result has the
// greater age. The function is commutative, associative and idempotent, so views that have received the
// same records are equal, whatever the order.
func GreaterRecord(a, b MemberRecord) MemberRecord {
	switch order := CompareRecords(a, b); {
	case order < 0:
		return b
	case order == 0:
		a.Age = max(a.Age, b.Age)
	}
	return a
}
