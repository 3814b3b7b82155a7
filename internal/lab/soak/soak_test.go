package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

// A seed must draw the same experiment each time, and another seed a different one. Faults must overlap and
// leave the last part of the run quiet.
func TestASeedDrawsTheSameOverlappingFaultsEachTime(t *testing.T) {
	draw := func(seed uint64) *experiment.Experiment {
		e, err := Draw(nil, seed, 12, 45*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	text := func(e *experiment.Experiment) string {
		var b strings.Builder
		for _, f := range e.Faults {
			b.WriteString(strings.Join([]string{f.Kind, time.Duration(f.StartS * 1e9).String(), time.Duration(f.DurationS * 1e9).String()}, " ") + "\n")
		}
		return b.String()
	}
	first, again, other := text(draw(7)), text(draw(7)), text(draw(8))
	if first != again || first == other {
		t.Error("the faults don't depend on the seed alone")
	}
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		e := draw(seed)
		overlap := 0
		for i, f := range e.Faults {
			kinds[f.Kind] = true
			if end := f.StartS + f.DurationS; end > faultsTo*e.Seconds+6 {
				t.Errorf("seed %d: %s ends at %.1f s of %.1f", seed, f.Kind, end, e.Seconds)
			}
			for _, g := range e.Faults[:i] {
				if g.StartS < f.StartS+f.DurationS && f.StartS < g.StartS+g.DurationS {
					overlap++
				}
			}
		}
		if overlap < len(e.Faults)/2 {
			t.Errorf("seed %d: %d of %d faults overlap", seed, overlap, len(e.Faults))
		}
	}
	for _, k := range slices.Concat(faultTemplates, memberFaults, crowdFaults) {
		if !kinds[k.kind] {
			t.Errorf("%s is never drawn", k.kind)
		}
	}
}

// Checks that each violation is counted: invariants and panics in logs, resources at rest, and a scheduler
// that does not serve after the last fault.
func TestViolationsInLogsAndAtRestAreCounted(t *testing.T) {
	e := &experiment.Experiment{Schedulers: experiment.Schedulers{Count: 2}}
	ack := func(at ledger.Time, n int) ledger.Event {
		return ledger.Event{At: at, Kind: ledger.Answer, Verdict: ledger.Acked, Scheduler: n}
	}
	recovered := []ledger.Event{{At: 5, Kind: ledger.Fault}, ack(9, 1), ack(25, 2)}
	normal := map[int]schedulerState{0: {Goroutines: 9, files: 9}, 1: {Goroutines: 9, files: 9}}
	for name, c := range map[string]struct {
		log    string
		after  map[int]schedulerState
		events []ledger.Event
		want   int
	}{
		"no violation":                       {`{"message":"stopped"}`, normal, recovered, 0},
		"an invariant in an old build's log": {`{"message":"a rule is broken","rule":"sending","why":"x","id":"a"}` + "\n" + `{"message":"a rule is broken","rule":"closing"}`, normal, recovered, 2},
		"an invariant in the log":            {`{"message":"invariant violated","rule":"sending","why":"x","id":"a"}` + "\n" + `{"message":"invariant violated","rule":"closing"}`, normal, recovered, 2},
		"a panic in the log":                 {"panic: index out of range\n", normal, recovered, 1},
		"an op in flight at rest":            {"", map[int]schedulerState{0: {InFlight: 1}, 1: {}}, recovered, 1},
		"descriptors":                        {"", map[int]schedulerState{0: {files: 9 + extraFiles + 1}, 1: {}}, recovered, 1},
		"goroutines":                         {"", map[int]schedulerState{0: {Goroutines: 9 + extraGoroutines + 1}, 1: {}}, recovered, 1},
		"a scheduler that does not answer":   {"", map[int]schedulerState{0: {}}, recovered, 1},
		"a scheduler that serves nothing":    {"", normal, recovered[:2], 1},
	} {
		v := &Verdict{Processes: 2}
		v.checkAtRest(normal, c.after)
		v.checkRecovery(e, c.events)
		if err := v.readLog("n1.log", strings.NewReader(c.log)); err != nil {
			t.Fatal(err)
		}
		if v.Violations != c.want || v.Passed() != (c.want == 0) || len(v.Findings) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", name, v.Violations, c.want, v.Findings)
		}
	}
}
