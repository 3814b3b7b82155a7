// Package soak runs schedulers under overlapping faults that it draws from a seed: signals, takeovers,
// stepped clocks, failing system calls and disks, and misbehaving discovery, workers, links and clients. The
// run ends with a quiet period in which the schedulers must recover. The verdict comes from the lab's audit,
// the schedulers' own invariant checks, and their state at rest.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"woaddyke/internal/lab/experiment"
)

// Kinds of faults that occur only in a soak. Package runner passes them to the shims.
const (
	kindClock = "scheduler-clock" // the wall clock is ahead by Size seconds until the next step
	kindCalls = "scheduler-calls" // one in Size system calls on sockets fails
	kindLate  = "scheduler-late"  // connects are delayed by at most Size ms
	kindDisk  = "scheduler-disk"  // writes and syncs of files fail
)

// Shares of a soak's duration, and the least quiet time.
const (
	faultsFrom = 0.06
	faultsTo   = 0.6 // no faults after this share of the time
	minQuiet   = 5 * time.Second
)

// faultTemplate is a kind of fault that may be drawn, with its range of durations.
type faultTemplate struct {
	kind                   string
	minSeconds, maxSeconds float64 // range of the duration
	ofProcess              bool    // affects the process: at most one at a time for a scheduler
	size                   func(*rand.Rand) float64
	workerShare            float64 // share of the workers, for faults of workers
}

func noSize(*rand.Rand) float64 { return 0 }

func uniform(low, high float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return low + (high-low)*r.Float64() }
}

// clockStep draws a step of a wall clock: an hour or some seconds forward or back, or the correct time.
func clockStep(r *rand.Rand) float64 {
	return []float64{3600, -3600, 7, -7, 40, 0}[r.IntN(6)]
}

var faultTemplates = []faultTemplate{
	{"scheduler-kill", 0.5, 2, true, noSize, 0},
	{"scheduler-term", 4, 6, true, noSize, 0},
	{"scheduler-takeover", 5, 6, true, noSize, 0},
	{"scheduler-terms", 4, 6, true, noSize, 0},
	{"scheduler-hup-term", 4, 6, true, noSize, 0},
	{"takeover-hups", 5, 6, true, noSize, 0},
	{"scheduler-hups", 0.5, 1, false, noSize, 0},
	{"scheduler-stop", 0.15, 3, true, noSize, 0},
	{"scheduler-starve", 1, 3, true, uniform(0.4, 0.8), 0},
	{"scheduler-reload", 1, 2, false, noSize, 0},
	{"settings-change", 1, 3, false, noSize, 0},
	{"scheduler-blind", 0.5, 4, false, noSize, 0},
	{kindClock, 0, 0, false, clockStep, 0},
	{kindCalls, 0.5, 3, false, uniform(3, 30), 0},
	{kindLate, 1, 4, false, uniform(300, 900), 0},
	{kindDisk, 0.3, 2, false, noSize, 0},
	{"discovery-silent", 0.5, 3, false, noSize, 0},
	{"discovery-broken", 0.5, 3, false, noSize, 0},
	{"kill", 1, 3, false, noSize, 0.3},
	{"hang", 1, 4, false, noSize, 0.3},
	{"vanish", 0.5, 3, false, noSize, 0.3},
	{"cut", 0.5, 2, false, noSize, 0.4},
	{"drain", 1, 3, false, noSize, 0.25},
	{"drain-told", 1, 3, false, noSize, 0.25},
	{"replace", 1.5, 3, false, noSize, 0.4},
	{"refuses", 0.5, 3, false, noSize, 0.4},
	{"mute", 0.5, 3, false, uniform(0.2, 0.8), 0.5},
	{"fails", 0.5, 3, false, uniform(0.2, 0.8), 0.5},
}

var memberFaults = []faultTemplate{
	{"mesh-cut", 0.5, 4, false, noSize, 0},
	{"mesh-loss", 0.5, 4, false, uniform(0.05, 0.3), 0},
	{"mesh-delay", 0.5, 4, false, uniform(5, 60), 0},
}

// crowdFaults are drawn in one of seedsPerCrowd runs.
var crowdFaults = []faultTemplate{
	{"scheduler-crowd", 1, 4, false, noSize, 0},
}

const seedsPerCrowd = 3

// baseConfig is the part of the experiment file that all drawn soaks share.
const baseConfig = `
settle_s = 1
[rules]
slack_ms = 400
drain_grace_ms = 1500
[discovery]
late_ms = [20, 300]
[schedulers]
cores = 0.5
memory_mb = 160
sockets = 512
connect_timeout_ms = 1000
log = "info"
[clients]
retries = 3
wait_ms = 60
leave = 0.08
trickle = 0.05
stall = 0.04
ask_again = 0.03
pipeline = 0.3
go_on = true
[[workers]]
kind = "quick"
count = 5
speed = 1.3
conn_work_ms = 0.3
probe_work_ms = 0.3
progress_ms = 200
[[workers]]
kind = "normal"
count = 5
conn_work_ms = 0.3
probe_work_ms = 0.3
progress_ms = 200
[[categories]]
name = "look"
share = 35
work_ms = 15
ttl_ms = 2500
body_bytes = 900
[[categories]]
name = "note"
effect = "deduplicated"
scope = "zone"
window_ms = 1200
share = 30
work_ms = 15
ttl_ms = 2500
[[categories]]
name = "pay"
effect = "at-most-once"
share = 35
work_ms = 15
ttl_ms = 2500
[[links]]
between = "workers"
delay_ms = 0.3
jitter_ms = 0.2
reset_before = 0.003
reset_after = 0.003
mute = 0.002
`

// Draw draws an experiment from a seed, with a number of scheduler processes and a duration. If base is nil,
// it also sets the load, the members and the replicas.
func Draw(base *experiment.Experiment, seed uint64, processes int, duration time.Duration) (*experiment.Experiment, error) {
	e := base
	if e == nil {
		var err error
		if e, err = experiment.Parse([]byte(baseConfig)); err != nil {
			return nil, err
		}
	}
	r := rand.New(rand.NewPCG(seed, 0x736f616b))
	e.Seed, e.Name, e.Seconds = seed, fmt.Sprintf("soak, seed %d", seed), duration.Seconds()
	e.Schedulers.Count = processes
	e.Schedulers.Cancel, e.Schedulers.Probes = r.IntN(3) > 0, r.IntN(4) > 0
	e.Schedulers.MaxPushes = 2 + r.IntN(4)
	if base == nil {
		e.Arrivals.Rate, e.Clients.Count = 12*float64(processes), 3*processes
		e.Members.On = true
		e.Replication.On = r.IntN(3) > 0
		e.Replication.ConsensusMembership, e.Replication.Replicas = e.Replication.On, 3
		e.Clients.RetrySameID = e.Replication.On && r.IntN(2) == 0
		e.Replication.Operator = "hold_off = \"3s\""
	}
	drawFaults(e, r)
	return e, nil
}

// drawFaults draws overlapping faults in bursts of two or three, and their targets.
func drawFaults(e *experiment.Experiment, r *rand.Rand) {
	from, to := faultsFrom*e.Seconds, min(faultsTo*e.Seconds, e.Seconds-minQuiet.Seconds())
	kinds := slices.Concat(faultTemplates, memberFaults)
	if r.IntN(seedsPerCrowd) == 0 {
		for range 3 { // three times, so that a run with crowd faults draws several of them
			kinds = append(kinds, crowdFaults...)
		}
	}
	busyUntil := make([]float64, e.Schedulers.Count)
	// drawn holds the kinds drawn so far. A kind of worker fault that is drawn again is dropped half of the
	// time.
	drawn := map[string]bool{}
	for at := from; at < to; at += 0.4 + 1.6*r.Float64() {
		burstScheduler := r.IntN(e.Schedulers.Count) // some faults of a burst hit this scheduler
		for range 2 + r.IntN(2) {
			t := kinds[r.IntN(len(kinds))]
			f := experiment.Fault{Kind: t.kind, StartS: at + 0.3*r.Float64(), DurationS: t.minSeconds + (t.maxSeconds-t.minSeconds)*r.Float64(), Magnitude: t.size(r), Direction: "both"}
			f.DurationS = min(f.DurationS, max(to-f.StartS, t.minSeconds))
			if !chooseTarget(e, r, t, &f, burstScheduler, busyUntil) || drawn[f.Kind] && !strings.Contains(f.Kind, "-") && r.IntN(2) > 0 {
				continue
			}
			drawn[f.Kind] = true
			e.Faults = append(e.Faults, f)
		}
	}
}

// chooseTarget sets the target of a fault. It returns false if the fault affects a scheduler's process and
// starts during another such fault of that scheduler or less than 3 s after the end of that fault.
func chooseTarget(e *experiment.Experiment, r *rand.Rand, t faultTemplate, f *experiment.Fault, burstScheduler int, busyUntil []float64) bool {
	if !experiment.TargetsSchedulers(t.kind) {
		f.Fraction = t.workerShare
		return true
	}
	i := burstScheduler
	if r.IntN(2) == 0 {
		i = r.IntN(e.Schedulers.Count)
	}
	if t.ofProcess {
		if busyUntil[i] > f.StartS {
			return false
		}
		busyUntil[i] = f.StartS + f.DurationS + 3
	}
	if t.kind == "settings-change" {
		f.EveryS = 0.3
	}
	f.Indices = []int{i}
	return true
}

// FaultKinds returns the kinds of faults in an experiment, in alphabetical order.
func FaultKinds(e *experiment.Experiment) []string {
	var kinds []string
	for _, f := range e.Faults {
		kinds = append(kinds, f.Kind)
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}
