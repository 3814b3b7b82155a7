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

func parseExperiment(t *testing.T, moreTOML string) *experiment.Experiment {
	e, err := experiment.Parse([]byte(
		"seconds = 20\n[[workers]]\ncount = 9\nspeed_spread = 0.2\n[[categories]]\nname = \"a\"\n" + moreTOML))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func workloadHash(t *testing.T, e *experiment.Experiment) string {
	s, err := Generate(e)
	if err != nil {
		t.Fatal(err)
	}
	return s.Hash()
}

// Two builds can only be compared with the same arrivals, work and faults, so a seed must always give the
// same workload.
func TestTheSeedDeterminesTheWorkload(t *testing.T) {
	chaos := "[chaos]\nkinds = [\"slow\", \"kill\", \"pauses\", \"replace\"]\nevery_s = 2\n"
	a, b, c := parseExperiment(t, chaos), parseExperiment(t, chaos), parseExperiment(t, chaos)
	if c.Seed++; workloadHash(t, a) != workloadHash(t, b) || workloadHash(t, a) == workloadHash(t, c) {
		t.Error("equal seeds give different workloads, or different seeds equal ones")
	}
	// A further fault must not change the arrivals, since runs with and without the fault are compared.
	plain, faulty := parseExperiment(t, ""), parseExperiment(t, "[[faults]]\nkind = \"hang\"\nat_s = 3\n")
	x, _ := Generate(plain)
	y, _ := Generate(faulty)
	if len(x.Requests) != len(y.Requests) || x.Requests[99] != y.Requests[99] || len(y.FaultEvents) != 1 {
		t.Error("a fault changed the arrivals")
	}
}

func TestEachDistributionHasTheConfiguredMean(t *testing.T) {
	for _, dist := range []string{"fixed", "exponential", "lognormal", "pareto"} {
		r, sum := rand.New(rand.NewPCG(1, 1)), 0.0
		const n = 200_000
		for range n {
			sum += DrawWork(r, dist, 100, 1.5)
		}
		if mean := sum / n; math.Abs(mean-100) > 4 {
			t.Errorf("%s: mean %.1f, want 100", dist, mean)
		}
	}
}

func TestStepsAndRampsScaleTheArrivalRate(t *testing.T) {
	count := func(moreTOML string, from, to float64) (n int) {
		s, err := Generate(parseExperiment(t, "[arrivals]\nrate = 200\nsteps = [[0, 1], [10, 3]]\n"+moreTOML))
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range s.Requests {
			if at := float64(w.ArrivalTime) / 10_000; at >= from && at < to {
				n++
			}
		}
		return n
	}
	if a, b := count("", 0, 10), count("", 10, 20); math.Abs(float64(a)-2000) > 200 || math.Abs(float64(b)-6000) > 350 {
		t.Errorf("a step: %d and %d requests, want about 2000 and 6000", a, b)
	}
	if a := count("ramp = true\n", 4, 6); math.Abs(float64(a)-800) > 120 {
		t.Errorf("the middle of a ramp: %d requests, want about 800", a)
	}
}

func TestATraceIsReadInOrderAndAnInvalidLineIsNamed(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{"# ms\n0.5 a\n7 a\n": "", "7 a\n6 a\n": ":2:",
		"1 b\n": ":1: category \"b\" does not exist", "1\n": ":1:"} {
		if err := os.WriteFile(filepath.Join(dir, "trace"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		e := parseExperiment(t, "[arrivals]\nkind = \"trace\"\ntrace = \"trace\"\n")
		e.Dir = dir
		s, err := Generate(e)
		if want == "" && (err != nil || len(s.Requests) != 2 || s.Requests[1].ArrivalTime != 70) ||
			want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The kills must be spread evenly over the duration of the fault. Each worker must start again after the
// time in size.
func TestRestartsAreSpreadOverTheFaultDuration(t *testing.T) {
	e, err := experiment.Parse([]byte("seconds = 20\n[[workers]]\ncount = 40\n[[categories]]\nname = \"a\"\n" +
		"[[faults]]\nkind = \"restarts\"\nat_s = 1\nfor_s = 10\npart = 0.5\nsize = 700\n"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Generate(e)
	if err != nil {
		t.Fatal(err)
	}
	down := map[int]ledger.Time{}
	next := experiment.FromSeconds(1)
	for _, event := range s.FaultEvents {
		n := event.Targets[0]
		if len(event.Targets) != 1 || event.Kind != "kill" {
			t.Fatalf("%+v", event)
		}
		if event.Begins {
			if event.At != next || down[n] != 0 {
				t.Errorf("worker %d is killed at %d, want once at %d", n, event.At, next)
			}
			down[n], next = event.At, next+5000
		} else if event.At != down[n]+7000 {
			t.Errorf("worker %d is back at %d, want 7000 after its kill at %d", n, event.At, down[n])
		}
	}
	if len(down) != 20 || len(s.FaultEvents) != 40 {
		t.Errorf("%d workers, %d events, want 20 and 40", len(down), len(s.FaultEvents))
	}
}
