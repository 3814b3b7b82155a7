package replication

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawRecord draws a record with a fixed key and up to four outcomes, of six possible claims.
func drawRecord(t *rapid.T, label string) Record {
	r := Record{Key: "k", Age: rapid.Uint64Range(0, 3).Draw(t, label)}
	for range rapid.IntRange(0, 4).Draw(t, label) {
		r.join(drawOutcome(t, label))
	}
	r.updateFingerprint()
	return r
}

func drawOutcome(t *rapid.T, label string) Outcome {
	scheduler := fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, label))
	o := Outcome{
		Claim: Claim{scheduler, rapid.Uint64Range(1, 2).Draw(t, label)},
		Stage: Stage(rapid.IntRange(int(Claimed), int(Ended)).Draw(t, label)),
		Voted: rapid.Bool().Draw(t, label),
	}
	o.fingerprint = 10*o.Nonce + uint64(len(scheduler)) // one request to a claim
	if o.Stage != Ended {
		return o
	}
	o.HTTPStatus = rapid.SampledFrom([]uint16{200, 502}).Draw(t, label)
	o.ResultRetained = rapid.Bool().Draw(t, label)
	if o.ResultRetained {
		o.Result = []byte(rapid.SampledFrom([]string{"0", "1"}).Draw(t, label))
	}
	return o
}

func joinedRecord(a, b Record) Record {
	c, _ := Join(a, b)
	if len(c.Outcomes) == 0 {
		c.Outcomes = nil
	}
	return c
}

// Replicas that have merged the same records in any order must have the same result. Otherwise they would
// never converge.
func TestJoinIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if !reflect.DeepEqual(joinedRecord(a, b), joinedRecord(b, a)) {
			t.Fatalf("not commutative: %+v, %+v", joinedRecord(a, b), joinedRecord(b, a))
		}
		if !reflect.DeepEqual(joinedRecord(a, joinedRecord(a, a)), joinedRecord(a, a)) {
			t.Fatal("not idempotent")
		}
		if !reflect.DeepEqual(joinedRecord(joinedRecord(a, b), c), joinedRecord(a, joinedRecord(b, c))) {
			t.Fatal("not associative")
		}
	})
}

// A later stage replaces an earlier one, and an outcome with a result replaces one without. Contradicting
// outcomes are reported as a conflict.
func TestALaterStageReplacesAnEarlierOne(t *testing.T) {
	outcome := func(stage Stage, verdict uint16, result string) Outcome {
		o := Outcome{Claim: Claim{"n1", 1}, Stage: stage, HTTPStatus: verdict}
		if result != "" {
			o.Result, o.ResultRetained = []byte(result), true
		}
		return o
	}
	claimed, released := outcome(Claimed, 0, ""), outcome(Released, 0, "")
	ended, answered, failed := outcome(Ended, 200, ""), outcome(Ended, 200, "r"), outcome(Ended, 502, "")
	for _, x := range []struct {
		name       string
		a, b, want Outcome
		conflict   bool
	}{
		{"an end replaces a claim", claimed, ended, ended, false},
		{"a release replaces a claim", claimed, released, released, false},
		{"a result replaces no result", ended, answered, answered, false},
		{"an end conflicts with a release", released, ended, ended, true},
		{"two HTTP statuses conflict", failed, ended, failed, true},
	} {
		got, conflict := joinOutcomes(x.a, x.b)
		if !reflect.DeepEqual(got, x.want) || conflict != x.conflict {
			t.Errorf("%s: joining %+v and %+v gives %+v, conflict %v", x.name, x.a, x.b, got, conflict)
		}
	}
}
