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
	Joining  State = iota // it does not know yet which incarnation it will be
	Alive                 // it answers
	Suspect               // somebody got no answer from it; it alone can refute that
	Dead                  // nobody got an answer until the suspicion's deadline
	Left                  // it has notified others that it leaves
	Replaced              // another process has its name
)

// stateNames are the states as the console shows them.
var stateNames = [...]string{"joining", "here", "doubted", "gone", "left", "superseded"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText returns the state as the console shows it.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended tells whether a process in this state is held to have ended.
func (s State) Ended() bool { return s >= Dead }

// Incarnation identifies one process of a member, or a process and its successors by hot restart. A later
// one has a greater generation; the nonce tells apart two processes that chose the same one at once.
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

// MemberRecord is what somebody reports of a member.
type MemberRecord struct {
	Name   string
	Addr   string // where it receives datagrams and streams
	Number int    // among the schedulers of the settings; -1 for none
	Incarnation
	Refutations uint64 // of the present incarnation; the member alone may raise it
	State       State
	ReportedBy  string
	Age         uint64 // seconds since the process ended; records are compared without it
}

// Compare orders the records of one name. The greater one is newer, or reports a worse state of the same
// incarnation and refutations; the other fields make the order total, so that equal views are equal in
// every field.
func Compare(a, b MemberRecord) int {
	return cmp.Or(
		compareState(a, b),
		cmp.Compare(a.ReportedBy, b.ReportedBy),
		cmp.Compare(a.Addr, b.Addr),
		cmp.Compare(a.Number, b.Number),
	)
}

// compareState compares what two views must agree on.
func compareState(a, b MemberRecord) int {
	return cmp.Or(
		a.Incarnation.compare(b.Incarnation),
		cmp.Compare(a.Refutations, b.Refutations),
		cmp.Compare(a.State, b.State),
	)
}

// Join returns the greater of two records of one name, or of equal ones the one with the greater age. It is
// commutative, associative and idempotent, so that views that have received the same records in any order
// are equal.
func Join(a, b MemberRecord) MemberRecord {
	switch order := Compare(a, b); {
	case order < 0:
		return b
	case order == 0:
		a.Age = max(a.Age, b.Age)
	}
	return a
}
