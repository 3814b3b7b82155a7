package membership

import (
	"cmp"
	"fmt"
)

// State is what is held of one process of a member.
type State uint8

// The states, in the order in which a later one stands over an earlier one of the same process and turn.
const (
	Joining  State = iota // it has not yet heard what the others know of its name
	Alive                 // it answers
	Suspect               // somebody got no answer; it alone can refute that
	Dead                  // nobody got an answer for as long as a doubt may last
	Left                  // it said that it leaves
	Replaced              // another process has its name
)

var stateNames = [...]string{"joining", "here", "doubted", "gone", "left", "superseded"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText is for those who show a view.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended tells whether a process in this state is held to be no more.
func (s State) Ended() bool { return s >= Dead }

// Incarnation is one process of a member, or a process and those that took over from it. A later one has a
// greater incarnation; two that took the same one at once are told apart by a nonce.
type Incarnation struct {
	Generation uint64 `json:"incarnation"`
	Nonce      uint64 `json:"-"`
}

func (a Incarnation) compare(b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Nonce, b.Nonce))
}

// MemberRecord is what is said of a member. Turn grows each time that the member refutes what is said of
// its present life, and nobody else may raise it.
type MemberRecord struct {
	Name   string
	Addr   string // where it is told things
	Number int    // among the schedulers of the settings; -1 for none
	Incarnation
	Refutations uint64
	State       State
	ReportedBy  string // who says so
	Age         uint64 // seconds since a process ended; it is no part of what is compared
}

// Compare orders claims of one name. What is greater is newer, or worse of the same life and turn; the rest
// only makes the order total, so that equal views are the same to the letter.
func Compare(a, b MemberRecord) int {
	return cmp.Or(compareState(a, b), cmp.Compare(a.ReportedBy, b.ReportedBy), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Number, b.Number))
}

func compareState(a, b MemberRecord) int {
	return cmp.Or(a.Incarnation.compare(b.Incarnation), cmp.Compare(a.Refutations, b.Refutations), cmp.Compare(a.State, b.State))
}

// Join is the rule for claims of one name that differ: the greater one, and of equal ones the longer age.
// It is commutative, associative and idempotent, so that views that have heard the same claims in any order
// are the same.
func Join(a, b MemberRecord) MemberRecord {
	age := max(a.Age, b.Age)
	switch c := Compare(a, b); {
	case c < 0:
		return b
	case c == 0:
		a.Age = age
	}
	return a
}
