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

// Views converge after a network partition only if neither the order nor the repetition of records makes a
// difference.
func TestGreaterRecordIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if GreaterRecord(a, b) != GreaterRecord(b, a) {
			t.Fatal("not commutative")
		}
		if GreaterRecord(a, a) != a {
			t.Fatal("not idempotent")
		}
		if GreaterRecord(GreaterRecord(a, b), c) != GreaterRecord(a, GreaterRecord(b, c)) {
			t.Fatal("not associative")
		}
	})
}
