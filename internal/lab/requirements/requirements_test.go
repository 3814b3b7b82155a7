package requirements

import (
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/lab/experiment"
)

func needsOf(t *testing.T, workers, schedulers int, hollow bool) Needs {
	t.Helper()
	e, err := experiment.Parse([]byte(fmt.Sprintf(`seconds = 60
[schedulers]
count = %d
memory_mb = 128
keepalive_ms = 1000
[arrivals]
rate = 1300
[[workers]]
count = %d
hollow = %v
[[categories]]
name = "a"
work_ms = 1500
`, schedulers, workers, hollow)))
	if err != nil {
		t.Fatal(err)
	}
	return Of(e)
}

// An experiment that needs more than the machine has must be rejected before any process starts. The error is
// a line that names the resource and both figures.
func TestAnExperimentBeyondTheMachineIsRejectedWithTheFigure(t *testing.T) {
	machine := Limits{Descriptors: 20_000, MemoryMB: 24_000}
	if n := needsOf(t, 6300, 20, true); n.CheckFits(machine) != nil || n.Listeners != 6300 || n.Descriptors < 6300+1300*3/2 {
		t.Errorf("the documented size: %+v, %v", n, n.CheckFits(machine))
	}
	for name, c := range map[string]struct {
		needs Needs
		limit Limits
		want  string
	}{
		"a listener for each pair":    {needsOf(t, 6300, 20, false), machine, "126000 of them workers' listeners"},
		"twice the workers":           {needsOf(t, 12_600, 20, true), machine, "and 20000 is the limit here"},
		"connections that close late": {needsOf(t, 11_700, 4, true), machine, "(11700 of them workers' listeners) and 20000"},
		"400 scheduler processes":     {needsOf(t, 6300, 400, true), Limits{Descriptors: 1 << 20, MemoryMB: 24_000}, "more than half of this machine's 24000 MB"},
	} {
		if err := c.needs.CheckFits(c.limit); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %+v: %v; want %q", name, c.needs, err, c.want)
		}
	}
	if l, err := Machine(); err != nil || l.Descriptors < 64 || l.MemoryMB < 64 {
		t.Errorf("this machine: %+v, %v", l, err)
	}
}
