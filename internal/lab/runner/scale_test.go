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

// What can't fit is not begun: no folder, no process.
func TestAnExperimentBeyondTheMachineStartsNothing(t *testing.T) {
	e, err := experiment.Parse([]byte("[schedulers]\ncount = 400\n[[workers]]\ncount = 16000\n[[categories]]\nname = \"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "out")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := Run(ctx, e, Stage{Out: dir}); err == nil || !strings.Contains(err.Error(), "6400000 of them workers' listeners") {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("its folder: %v", err)
	}
}

// A region that parts is cut off in both ways, and from nobody within it: what the figures of such a run say rests on that.
func TestBetweenARegionAndTheOthersNothingPassesWhileItIsCut(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	live(t, `
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
`, "random", baseline.Wrongs{}, dir)
	events, err := ledger.ReadFile(filepath.Join(dir, "ledger.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	zone := map[string]string{}
	var from, to ledger.Time
	across, within := [3]int{}, [3]int{} // before, while and after it is cut
	for _, e := range events {
		switch {
		case e.Kind == ledger.Boot:
			zone[e.Worker] = e.Zone
		case e.Kind == ledger.Fault && e.Text == "region-cut on far":
			from = e.At
		case e.Kind == ledger.Fault && e.Text == "region-cut over on far":
			to = e.At
		case e.Kind == ledger.Reached:
			when := 0
			if to > 0 {
				when = 2
			} else if from > 0 {
				when = 1
				if e.At < from+3000 { // it may have been read before
					continue
				}
			}
			if (e.Scheduler == 1) != (zone[e.Worker] == "a") {
				across[when]++
			} else {
				within[when]++
			}
		}
	}
	if across[0] == 0 || across[1] != 0 || across[2] == 0 || within[0] == 0 || within[1] == 0 || within[2] == 0 {
		t.Errorf("pushes before, while and after it was cut: across %v, within %v", across, within)
	}
}
