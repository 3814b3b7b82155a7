package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

// One seed is one experiment, and another seed another one; troubles overlap, and the last part of each is quiet.
func TestASeedIsAnExperiment(t *testing.T) {
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
			b.WriteString(strings.Join([]string{f.Kind, time.Duration(f.At * 1e9).String(), time.Duration(f.For * 1e9).String()}, " ") + "\n")
		}
		return b.String()
	}
	first, again, other := text(draw(7)), text(draw(7)), text(draw(8))
	if first != again || first == other {
		t.Error("the troubles are not the seed's")
	}
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		e := draw(seed)
		overlap := 0
		for i, f := range e.Faults {
			kinds[f.Kind] = true
			if end := f.At + f.For; end > troubledTo*e.Seconds+6 {
				t.Errorf("seed %d: %s ends at %.1f s of %.1f", seed, f.Kind, end, e.Seconds)
			}
			for _, g := range e.Faults[:i] {
				if g.At < f.At+f.For && f.At < g.At+g.For {
					overlap++
				}
			}
		}
		if overlap < len(e.Faults)/2 {
			t.Errorf("seed %d: %d of %d troubles overlap", seed, overlap, len(e.Faults))
		}
	}
	for _, k := range slices.Concat(troubles, ofMembers, ofCrowds) {
		if !kinds[k.kind] {
			t.Errorf("%s is never drawn", k.kind)
		}
	}
}

// What the oracle is given decides: breaches the programs logged, what is held at rest, a scheduler that serves no more, a crash.
func TestTheOracleCountsWhatItIsGiven(t *testing.T) {
	e := &experiment.Experiment{Schedulers: experiment.Schedulers{Count: 2}}
	ack := func(at ledger.Time, n int) ledger.Event {
		return ledger.Event{At: at, Kind: ledger.Answer, Verdict: ledger.Acked, Scheduler: n}
	}
	well := []ledger.Event{{At: 5, Kind: ledger.Fault}, ack(9, 1), ack(25, 2)}
	fine := map[int]held{0: {Goroutines: 9, files: 9}, 1: {Goroutines: 9, files: 9}}
	for name, c := range map[string]struct {
		log    string
		after  map[int]held
		events []ledger.Event
		want   int
	}{
		"all is well":           {`{"message":"stopped"}`, fine, well, 0},
		"a guard":               {`{"message":"a rule is broken","rule":"sending","why":"x","id":"a"}` + "\n" + `{"message":"a rule is broken","rule":"closing"}`, fine, well, 2},
		"an invariant":          {`{"message":"invariant violated","rule":"sending","why":"x","id":"a"}` + "\n" + `{"message":"invariant violated","rule":"closing"}`, fine, well, 2},
		"a crash":               {"panic: index out of range\n", fine, well, 1},
		"an op that stays":      {"", map[int]held{0: {InFlight: 1}, 1: {}}, well, 1},
		"descriptors":           {"", map[int]held{0: {files: 9 + moreFiles + 1}, 1: {}}, well, 1},
		"goroutines":            {"", map[int]held{0: {Goroutines: 9 + moreGoroutines + 1}, 1: {}}, well, 1},
		"one that is not there": {"", map[int]held{0: {}}, well, 1},
		"one that serves none":  {"", fine, well[:2], 1},
	} {
		v := &Verdict{Processes: 2}
		v.rest(fine, c.after)
		v.recovered(e, c.events)
		if err := v.readLog("n1.log", strings.NewReader(c.log)); err != nil {
			t.Fatal(err)
		}
		if v.Violations != c.want || v.Held() != (c.want == 0) || len(v.Found) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", name, v.Violations, c.want, v.Found)
		}
	}
}
