package runner

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/baseline"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

// An experiment that exceeds the machine must be rejected before the run creates a folder or starts a
// process.
func TestAnExperimentThatExceedsTheMachineStartsNothing(t *testing.T) {
	e, err := experiment.Parse([]byte("[schedulers]\ncount = 400\n[[workers]]\ncount = 16000\n[[categories]]\nname = \"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "out")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := Run(ctx, e, Options{OutputDir: dir}); err == nil || !strings.Contains(err.Error(), "6400000 of them workers' listeners") {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("the output folder exists, or can't be checked: %v", err)
	}
}

// A region cut must block pushes in both directions between the region and the others, and none inside the
// region. The figures of a run with such a fault depend on this.
func TestARegionCutBlocksPushesInBothDirections(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	runExperiment(t, `
seconds = 2.5
settle_s = 0.2
zones = ["a", "b", "c"]
regions = [{ name = "far", zones = ["b", "c"] }]
[rules]
slack_ms = 1000
[schedulers]
count = 3
[discovery]
late_ms = [10, 20]
[arrivals]
rate = 150
[[workers]]
count = 6
hollow = true
[[categories]]
name = "a"
work_ms = 5
ttl_ms = 1500
[[faults]]
kind = "region-cut"
zone = "far"
at_s = 0.5
for_s = 1.2
`, "random", baseline.Violations{}, dir)
	events, err := ledger.ReadFile(filepath.Join(dir, "ledger.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	zone := map[string]string{}
	var cutBegin, cutEnd ledger.Time
	across, within := [3]int{}, [3]int{} // pushes before, during and after the cut
	for _, e := range events {
		switch {
		case e.Kind == ledger.Boot:
			zone[e.Worker] = e.Zone
		case e.Kind == ledger.Fault && e.Text == "region-cut on far":
			cutBegin = e.At
		case e.Kind == ledger.Fault && e.Text == "region-cut over on far":
			cutEnd = e.At
		case e.Kind == ledger.Reached:
			phase := 0
			if cutEnd > 0 {
				phase = 2
			} else if cutBegin > 0 {
				phase = 1
				if e.At < cutBegin+3000 { // the push may have been read before the cut
					continue
				}
			}
			if (e.Scheduler == 1) != (zone[e.Worker] == "a") {
				across[phase]++
			} else {
				within[phase]++
			}
		}
	}
	if across[0] == 0 || across[1] != 0 || across[2] == 0 || within[0] == 0 || within[1] == 0 || within[2] == 0 {
		t.Errorf("pushes before, during and after the cut: across %v, within %v", across, within)
	}
}
