package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T, label string) MemberRecord {
	return MemberRecord{
		Name: "x",
		Addr: fmt.Sprint("a", rapid.IntRange(0, 1).Draw(t, label)),
		Incarnation: Incarnation{
			Generation: rapid.Uint64Range(1, 3).Draw(t, label),
			Nonce:      rapid.Uint64Range(1, 2).Draw(t, label),
		},
		Refutations: rapid.Uint64Range(0, 2).Draw(t, label),
		State:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, label)),
		ReportedBy:  fmt.Sprint("b", rapid.IntRange(0, 2).Draw(t, label)),
		Age:         rapid.Uint64Range(0, 3).Draw(t, label),
	}
}

// Views converge after a network partition only if the order in which records arrive, and how often,
// makes no difference.
func TestJoinRecordsIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if JoinRecords(a, b) != JoinRecords(b, a) {
			t.Fatal("not commutative")
		}
		if JoinRecords(a, a) != a {
			t.Fatal("not idempotent")
		}
		if JoinRecords(JoinRecords(a, b), c) != JoinRecords(a, JoinRecords(b, c)) {
			t.Fatal("not associative")
		}
	})
}
