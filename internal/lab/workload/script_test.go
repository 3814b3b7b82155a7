package workload

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

func parseExperiment(t *testing.T, more string) *experiment.Experiment {
	e, err := experiment.Parse([]byte("seconds = 20\n[[workers]]\ncount = 9\nspeed_spread = 0.2\n[[categories]]\nname = \"a\"\n" + more))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func hash(t *testing.T, e *experiment.Experiment) string {
	s, err := Of(e)
	if err != nil {
		t.Fatal(err)
	}
	return s.Hash()
}

// Two builds are only comparable on the same arrivals, work and troubles.
func TestASeedIsAScriptAndAnotherSeedAnother(t *testing.T) {
	more := "[chaos]\nkinds = [\"slow\", \"kill\", \"pauses\", \"replace\"]\nevery_s = 2\n"
	a, b, c := parseExperiment(t, more), parseExperiment(t, more), parseExperiment(t, more)
	if c.Seed++; hash(t, a) != hash(t, b) || hash(t, a) == hash(t, c) {
		t.Error("a seed does not make one script")
	}
	// A trouble more must not move the arrivals: runs with and without it are compared.
	plain, troubled := parseExperiment(t, ""), parseExperiment(t, "[[faults]]\nkind = \"hang\"\nat_s = 3\n")
	x, _ := Of(plain)
	y, _ := Of(troubled)
	if len(x.Wishes) != len(y.Wishes) || x.Wishes[99] != y.Wishes[99] || len(y.Turns) != 1 {
		t.Error("a trouble moved the arrivals")
	}
}

func TestWorkHasTheMeanThatIsStated(t *testing.T) {
	for _, dist := range []string{"fixed", "exponential", "lognormal", "pareto"} {
		r, sum := rand.New(rand.NewPCG(1, 1)), 0.0
		const n = 200_000
		for range n {
			sum += Draw(r, dist, 100, 1.5)
		}
		if mean := sum / n; math.Abs(mean-100) > 4 {
			t.Errorf("%s: %.1f in the mean", dist, mean)
		}
	}
}

func TestStepsAndRampsMakeTheRate(t *testing.T) {
	count := func(more string, from, to float64) (n int) {
		s, err := Of(parseExperiment(t, "[arrivals]\nrate = 200\nsteps = [[0, 1], [10, 3]]\n"+more))
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range s.Wishes {
			if at := float64(w.Due) / 10_000; at >= from && at < to {
				n++
			}
		}
		return n
	}
	if a, b := count("", 0, 10), count("", 10, 20); math.Abs(float64(a)-2000) > 200 || math.Abs(float64(b)-6000) > 350 {
		t.Errorf("a step: %d and %d", a, b)
	}
	if a := count("ramp = true\n", 4, 6); math.Abs(float64(a)-800) > 120 {
		t.Errorf("the middle of a ramp: %d", a)
	}
}

func TestATraceIsPlayedAsItStandsAndABadOneNamed(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{"# ms\n0.5 a\n7 a\n": "", "7 a\n6 a\n": ":2:", "1 b\n": "no category", "1\n": ":1:"} {
		if err := os.WriteFile(filepath.Join(dir, "trace"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		e := parseExperiment(t, "[arrivals]\nkind = \"trace\"\ntrace = \"trace\"\n")
		e.Dir = dir
		s, err := Of(e)
		if want == "" && (err != nil || len(s.Wishes) != 2 || s.Wishes[1].Due != 70) ||
			want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Restarts at a pace are one after another over the whole span, each back after its own time.
func TestRestartsAreSpreadOverTheirSpan(t *testing.T) {
	e, err := experiment.Parse([]byte("seconds = 20\n[[workers]]\ncount = 40\n[[categories]]\nname = \"a\"\n[[faults]]\nkind = \"restarts\"\nat_s = 1\nfor_s = 10\npart = 0.5\nsize = 700\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Of(e)
	if err != nil {
		t.Fatal(err)
	}
	down := map[int]ledger.Time{}
	next := experiment.S(1)
	for _, turn := range s.Turns {
		n := turn.Targets[0]
		if len(turn.Targets) != 1 || turn.Kind != "kill" {
			t.Fatalf("%+v", turn)
		}
		if turn.On {
			if turn.At != next || down[n] != 0 {
				t.Errorf("worker %d is killed at %d, not at %d, or twice", n, turn.At, next)
			}
			down[n], next = turn.At, next+5000
		} else if turn.At != down[n]+7000 {
			t.Errorf("worker %d is back at %d, was killed at %d", n, turn.At, down[n])
		}
	}
	if len(down) != 20 || len(s.Turns) != 40 {
		t.Errorf("%d workers, %d turns", len(down), len(s.Turns))
	}
}
