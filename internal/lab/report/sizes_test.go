package report

import (
	"math"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/audit"
)

// A void run must not change a slope. The verdict on all sizes must include the breaches of each size.
func TestVoidRunsAreLeftOutOfSlopesAndKeptInTheVerdict(t *testing.T) {
	at := func(workers int, mb float64, void string, breaches int, unmet ...string) SizeResult {
		return SizeResult{workers, &Results{Name: "x", Void: void, Unmet: unmet, Figures: map[string]float64{"scheduler_mb": mb},
			Audit: audit.Judgement{Ops: 10, Answers: 9, Breaches: make([]audit.Breach, breaches)}}}
	}
	of := []SizeResult{at(1000, 30, "", 1), at(2000, 900, "late", 0), at(4000, 45, "", 0, "y")}
	if a, b, ok := slope(of, "scheduler_mb"); !ok || math.Abs(a-25) > 1e-9 || math.Abs(b-5) > 1e-9 {
		t.Errorf("%g at zero workers, %g for each thousand, %v", a, b, ok)
	}
	if _, _, ok := slope(of[:2], "scheduler_mb"); ok {
		t.Error("a slope from a single valid size")
	}
	j := CombineSizes(of)
	if j.Audit.Ops != 30 || j.Audit.Answers != 27 || len(j.Audit.Breaches) != 1 || len(j.Unmet) != 1 || j.Void != "x: late" || j.Held() {
		t.Errorf("%+v", j)
	}
	if j := CombineSizes(of[2:]); len(j.Audit.Breaches) != 0 || j.Void != "" || j.Held() {
		t.Errorf("%+v", j)
	}
	var out strings.Builder
	PrintSizes(&out, of)
	if !strings.Contains(out.String(), "2000 void") || !strings.Contains(out.String(), "scheduler_mb") {
		t.Error(out.String())
	}
}

// The figures must be those of the slowest change, and changes that never came into force must be counted.
func TestTheSlowestAndMissingSettingsChangesAreReported(t *testing.T) {
	var ten []time.Duration
	for k := 10; k > 0; k-- {
		ten = append(ten, time.Duration(k)*time.Millisecond)
	}
	r := &Results{Figures: map[string]float64{}}
	r.AddSettingsChanges([]SettingsChange{{Took: ten}, {Took: []time.Duration{7 * time.Millisecond}, Missing: 2}, {}})
	f := r.Figures
	if f["settings_changes"] != 3 || f["in_force_p50_ms"] != 7 || f["in_force_p99_ms"] != 10 || f["in_force_last_ms"] != 10 || f["settings_missing"] != 2 || len(r.Unmet) != 1 {
		t.Errorf("%v, %v", f, r.Unmet)
	}
}

// Different views at rest are an unmet expectation. The run is void if members were late by more than
// pause_ms, because hundreds of them share a processor.
func TestDifferentViewsAtRestAreUnmetAndLateMembersVoidTheRun(t *testing.T) {
	for _, c := range []struct {
		views  int
		late   float64
		void   bool
		passed bool
	}{{1, 0, false, true}, {1, 2001, true, true}, {2, 1999, false, false}, {2, 2001, true, false}} {
		r := &Results{Figures: map[string]float64{}}
		if r.AddViewCounts(1, c.views, c.late, 2000); (r.Void != "") != c.void || r.Held() != c.passed {
			t.Errorf("%+v: void %q, passed %v", c, r.Void, r.Held())
		}
	}
}
