// Package runner runs an experiment. It starts workers, discovery emulators and schedulers, sends the
// requests of the workload, injects its faults and checks the ledger against the rules at the end.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/lab/clients"
	"woaddyke/internal/lab/discovery"
	"woaddyke/internal/lab/duplicates"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/faultproxy"
	"woaddyke/internal/lab/fleet"
	"woaddyke/internal/lab/hollow"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/membershipcheck"
	"woaddyke/internal/lab/meter"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/requests"
	"woaddyke/internal/lab/requirements"
	"woaddyke/internal/lab/schedulers"
	"woaddyke/internal/lab/workermodel"
	"woaddyke/internal/lab/workload"
)

// Options holds the options of a run.
type Options struct {
	OutputDir     string // output folder; empty for a temporary one that is removed
	Launch        schedulers.Launcher
	Progress      func(Progress) // called every sampleInterval; may be nil
	SkipResults   bool           // write no results file
	HollowProgram string         // path of the program that runs hollow members
	Injector      Shims          // may be nil if the experiment has no faults that need it
	// Inspect is called twice: when all schedulers are ready, before the first op; and after the last op, before
	// the schedulers are terminated. Ended is true in the second call. The function may be nil.
	Inspect func(ended bool, all []*schedulers.Scheduler)
}

// Shims injects faults inside a scheduler's process that can't be caused from outside.
type Shims interface {
	Turn(kind string, scheduler int, begins bool, magnitude float64)
}

// Progress reports the state of a run: the seconds since the start of the arrivals and their configured
// duration (Of), the number of attempts without an outcome (Open) and the number of ledger events.
type Progress struct {
	Second, Of float64
	Open       int64
	Events     int
	Last       string // the latest fault
}

// run holds the state of a running experiment.
type run struct {
	experiment      *experiment.Experiment
	workload        *workload.Workload
	ledger          *ledger.Writer
	fleet           *fleet.Fleet
	emulators       []*discovery.Agent
	schedulers      []*schedulers.Scheduler
	clients         *clients.LoadGenerator
	background      sync.WaitGroup // restarts and other faults that take a while
	mu              sync.Mutex
	lastFault       string
	errs            []error
	usages          []schedulers.Usage
	queueSamples    []report.Queue
	dir             string
	maxLag          time.Duration // the maximum delay in the lab itself
	options         Options
	mesh            *faultproxy.Net // nil if the schedulers aren't members of a cluster
	meter           *meter.Meter
	usageSnapshots  [2]report.UsageSnapshot // resource usage before the first arrival and after the last
	hollow          *hollow.Process         // the process of the hollow members, nil for none
	firstHollow     int                     // mesh index of the first hollow member
	distinctViews   int                     // number of different membership views after the run
	maxHollowLateMS float64                 // maximum delay of a hollow member
	initialViews    int                     // distinctViews before the first arrival
	settingsChanges []report.SettingsChange
	firstExtra      int // mesh index of the first extra scheduler
	extraCount      int
	replicaChanges  []time.Duration // duration of each change of the replica set
	replicaSets     int             // number of different replica sets in use after the run
	digests         []string        // digests of the replicas' records after the run
	withoutMajority int             // number of ops for which no majority could be reached
	votes           []duplicates.Vote
	cuts            map[[2]int]map[int]faultproxy.CutMode // by source, target and fault; only used by applyFaults
	extras          []*schedulers.Scheduler
}

const (
	sampleInterval = 250 * time.Millisecond
	startLead      = 300 * time.Millisecond // between the end of the setup and the start of the arrivals
)

// CheckCapacity checks that this machine has the resources for an experiment, at each of its sizes.
func CheckCapacity(e *experiment.Experiment) error {
	limits, err := requirements.Machine()
	if err != nil {
		return err
	}
	if len(e.Sizes) == 0 {
		if err := requirements.Of(e).CheckFits(limits); err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
	}
	for _, factor := range e.Sizes {
		s, err := e.Scaled(factor)
		if err != nil {
			return err
		}
		if err := CheckCapacity(s); err != nil {
			return err
		}
	}
	return nil
}

// Run runs an experiment with the workload of its seed and returns the results.
func Run(ctx context.Context, e *experiment.Experiment, options Options) (*report.Results, error) {
	if err := CheckCapacity(e); err != nil {
		return nil, err
	}
	w, err := workload.Generate(e)
	if err != nil {
		return nil, err
	}
	r := &run{experiment: e, workload: w, dir: options.OutputDir, options: options}
	r.meter = meter.New(r.meshSize())
	if r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "lab-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(r.dir)
	} else if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return nil, err
	}
	if r.ledger, err = ledger.Create(filepath.Join(r.dir, "ledger.jsonl"), time.Now()); err != nil {
		return nil, err
	}
	r.ledger.Add(ledger.Event{Kind: ledger.Header, Name: e.Name, Seed: e.Seed, Rules: e.LedgerRules(), Text: w.Hash()})
	err = r.execute(ctx, options)
	if err == nil {
		err = errors.Join(r.errs...)
	}
	if r.mesh != nil && err == nil {
		err = r.readMemberLogs()
	}
	text := ""
	if ctx.Err() != nil {
		text = "stopped before its time"
	}
	r.ledger.Add(ledger.Event{Kind: ledger.Finished, Text: text})
	events := r.ledger.Events()
	if err = errors.Join(err, r.ledger.Close()); err != nil {
		return nil, err
	}
	result, err := report.Of(e, events, r.usages, r.queueSamples)
	if err != nil {
		return nil, err
	}
	if r.mesh != nil {
		result.AddMembership(membershipcheck.Judge(events, viewLimits(e)))
		result.AddDuplicates(duplicates.Judge(events, r.digests, r.withoutMajority, r.votes, e.Members.ShareDrains))
		result.AddVoterChanges(r.replicaChanges, r.replicaSets)
		if n := r.mesh.OverflowDrops(); n > 0 {
			result.Void = fmt.Sprintf("the links between schedulers lost %d datagrams for want of room", n)
		}
	}
	result.AddUsage(r.usageSnapshots[0], r.usageSnapshots[1], events, e.Schedulers.Count, e.Members.Hollow)
	if r.hollow != nil {
		result.AddViewCounts(r.initialViews, r.distinctViews, r.maxHollowLateMS, e.Members.PauseMS)
	}
	for _, s := range r.schedulers {
		result.AddStartTimes(s.ReadyTimes())
	}
	result.AddSettingsChanges(r.settingsChanges)
	result.CheckExpectations(e)
	if n := r.fleet.DescriptorShortages(); n > 0 {
		result.Void = fmt.Sprintf("the lab had no descriptor for %d connections to workers", n)
	}
	result.Script = w.Hash()
	result.SetLabLag(float64(r.maxLag)/float64(time.Millisecond), e.Rules.SlackMS)
	if options.OutputDir != "" && !options.SkipResults {
		err = writeJSON(filepath.Join(r.dir, "results.json"), result)
	}
	return result, err
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// setUp starts discovery emulators, workers, schedulers, hollow members and clients.
func (r *run) setUp(options Options) error {
	e := r.experiment
	delay := [2]time.Duration{time.Duration(e.Discovery.DelayMS[0] * float64(time.Millisecond)),
		time.Duration(e.Discovery.DelayMS[1] * float64(time.Millisecond))}
	for n := range e.Schedulers.Count {
		a, err := discovery.New(n, r.ledger, func(slot, scheduler int) string { return r.fleet.Addr(slot, scheduler) }, delay,
			fleet.LinkConditions(e, "discovery", "", e.Zones[n%len(e.Zones)]), e.Seed, r.meter)
		if err != nil {
			return err
		}
		r.emulators = append(r.emulators, a)
	}
	desk := requests.New()
	var started bool
	var err error
	r.fleet, err = fleet.New(e, r.workload, r.ledger, desk, r.meter, func(entry fleet.Entry) {
		for _, a := range r.emulators {
			a.Update(entry, !started)
		}
	})
	if err != nil {
		return err
	}
	if err := r.setUpMesh(); err != nil {
		return err
	}
	var servers []clients.Server
	var addrs []string
	for n := range e.Schedulers.Count {
		s, err := schedulers.New(n, e, r.ledger, options.Launch, r.emulators[n], r.dir)
		if err != nil {
			return err
		}
		if err := r.setOperatorConfig(s, n, "lab"); err != nil {
			return err
		}
		r.schedulers = append(r.schedulers, s)
		servers, addrs = append(servers, s), append(addrs, s.Listen)
	}
	started = true
	errs := make(chan error, len(r.schedulers))
	semaphore := make(chan struct{}, maxParallelStarts)
	for _, s := range r.schedulers {
		go func() {
			semaphore <- struct{}{}
			errs <- s.Start(false)
			<-semaphore
		}()
	}
	for range r.schedulers {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	if err := r.startHollow(); err != nil {
		return err
	}
	r.clients = clients.New(e, r.workload, r.ledger, desk, servers, addrs)
	return nil
}

// maxParallelCuts bounds the workers whose links are cut or restored at the same time.
const maxParallelCuts = 32

// maxParallelStarts bounds the processes that start at the same time. With hundreds of parallel starts none
// becomes ready in time.
const maxParallelStarts = 32

// tearDown stops everything that setUp started.
func (r *run) tearDown() {
	r.stopMesh()
	if r.mesh != nil {
		defer r.mesh.Close()
	}
	var all sync.WaitGroup
	for _, s := range r.schedulers {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := s.Terminate(r.experiment.LongestTTL() + 3*time.Second); err != nil {
				r.addError(err)
			}
		}()
	}
	all.Wait()
	for _, a := range r.emulators {
		a.Stop()
	}
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// execute runs the experiment, from the start of its first process to the exit of the last one.
func (r *run) execute(ctx context.Context, options Options) error {
	defer r.tearDown()
	if err := r.setUp(options); err != nil {
		return err
	}
	if err := r.awaitVoters(); err != nil {
		return err
	}
	if options.Inspect != nil {
		options.Inspect(false, r.schedulers)
	}
	start := time.Now().Add(startLead)
	injecting, stop := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	helpers.Add(3)
	go func() {
		defer helpers.Done()
		lag, err := measureLag(injecting)
		if r.maxLag = lag; err != nil {
			r.addError(err)
		}
	}()
	go func() {
		defer helpers.Done()
		r.applyFaults(injecting, start)
	}()
	go func() {
		defer helpers.Done()
		r.sampleUsage(injecting, start, options.Progress)
	}()
	r.usageSnapshots[0] = r.takeUsageSnapshot()
	r.clients.Run(ctx, start)
	if remaining := time.Until(start.Add(time.Duration(r.experiment.Seconds * float64(time.Second)))); remaining > 0 {
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
		}
	}
	r.usageSnapshots[1] = r.takeUsageSnapshot()
	settle := time.After(time.Duration(r.experiment.Settle * float64(time.Second)))
	r.clients.Wait()
	select {
	case <-settle:
	case <-ctx.Done():
	}
	stop()
	helpers.Wait()
	r.background.Wait()
	for n := range r.schedulers { // a process stopped by SIGSTOP can't exit
		r.schedulers[n].Signal(syscall.SIGCONT)
		r.emulators[n].Silence(false)
	}
	for slot := range r.workload.Workers {
		r.fleet.Cut(slot, false)
	}
	err := errors.Join(r.awaitReplicaSet(), r.awaitEqualViews())
	if options.Inspect != nil {
		options.Inspect(true, r.schedulers)
	}
	return err
}

// takeUsageSnapshot returns the resources that the schedulers used and the traffic that they sent so far.
func (r *run) takeUsageSnapshot() report.UsageSnapshot {
	e := report.UsageSnapshot{At: r.ledger.Now(), Sent: r.meter.Now()}
	for _, s := range r.schedulers {
		if u, ok := s.Usage(); ok {
			e.Uses = append(e.Uses, u)
		}
	}
	if r.hollow != nil {
		e.Hollow, _ = schedulers.ProcessUsage(r.hollow.PID(), e.At, 0)
	}
	return e
}

// sampleUsage samples resource usage and queue lengths every sampleInterval and reports the progress.
func (r *run) sampleUsage(ctx context.Context, start time.Time, onProgress func(Progress)) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range r.schedulers {
			if u, ok := s.Usage(); ok {
				r.usages = append(r.usages, u)
			}
		}
		q := report.Queue{At: r.ledger.Now()}
		for _, d := range r.fleet.QueueDepths() {
			q.Jobs, q.Waiting = append(q.Jobs, d.Running+d.Waiting), append(q.Waiting, d.Waiting)
		}
		r.queueSamples = append(r.queueSamples, q)
		if onProgress != nil {
			r.mu.Lock()
			lastFault := r.lastFault
			r.mu.Unlock()
			onProgress(Progress{Second: time.Since(start).Seconds(), Of: r.experiment.Seconds, Open: r.clients.OpenAttempts(),
				Events: len(r.ledger.Events()), Last: lastFault})
		}
	}
}

// applyFaults applies the fault events of the workload at their times.
func (r *run) applyFaults(ctx context.Context, start time.Time) {
	for _, t := range r.workload.FaultEvents {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(t.At) * ledger.Tenth))):
		}
		text := " on "
		if !t.Begins {
			text = " over on "
		}
		text = t.Kind + text
		if t.Kind == "region-cut" {
			text += t.Zone
		} else {
			text += fmt.Sprint(t.Targets)
		}
		r.ledger.Add(ledger.Event{Kind: ledger.Fault, Text: text})
		r.mu.Lock()
		r.lastFault = text
		r.mu.Unlock()
		if t.Kind == "region-cut" {
			r.setRegionCut(t)
			continue
		}
		if t.Kind == "settings-change" {
			r.changeSettings(t)
			continue
		}
		if t.Kind == "keepers-change" {
			if t.Begins {
				r.inBackground(func() error { return r.changeReplicas(t, time.Duration(t.Duration)*ledger.Tenth) })
			}
			continue
		}
		var all sync.WaitGroup
		semaphore := make(chan struct{}, maxParallelCuts)
		for _, n := range t.Targets {
			if t.Kind != "cut" && t.Kind != "vanish" {
				r.applyFault(t, n)
				continue
			}
			all.Add(1) // in parallel: each cut takes a few ms, and a zone has hundreds of workers
			semaphore <- struct{}{}
			go func() {
				defer all.Done()
				r.applyFault(t, n)
				<-semaphore
			}()
		}
		all.Wait()
	}
}

// setRegionCut cuts a region off from the other zones, or ends the cut. It affects links between schedulers
// and workers and links between schedulers, if one end is inside the region and the other outside.
func (r *run) setRegionCut(t workload.FaultEvent) {
	e := r.experiment
	inside := func(scheduler int) bool { return e.ZoneMatches(t.Zone, e.Zones[scheduler%len(e.Zones)]) }
	for slot, w := range r.workload.Workers {
		for n := range e.Schedulers.Count {
			if inside(n) != e.ZoneMatches(t.Zone, w.Zone) {
				r.fleet.CutFrom(slot, n, t.Begins)
			}
		}
	}
	if r.mesh == nil {
		return
	}
	var members []int // mesh indices
	for n := range e.Schedulers.Count {
		members = append(members, n)
	}
	for i := range e.Members.Hollow {
		members = append(members, r.firstHollow+i)
	}
	for _, from := range members {
		for _, to := range members {
			if e.ZoneMatches(t.Zone, r.zoneOf(from)) != e.ZoneMatches(t.Zone, r.zoneOf(to)) {
				r.setLinkCut(from, to, t)
			}
		}
	}
}

// applyFault begins or ends a fault at one worker or scheduler.
func (r *run) applyFault(t workload.FaultEvent, n int) {
	if experiment.TargetsSchedulers(t.Kind) {
		if !r.applyMeshFault(t, n) {
			r.applySchedulerFault(t, n)
		}
		return
	}
	duration := time.Duration(t.Duration) * ledger.Tenth
	impair := func(change func(*workermodel.Faults)) { r.fleet.SetFaults(n, change) }
	magnitude := t.Magnitude
	if !t.Begins {
		magnitude = 0
	}
	switch t.Kind {
	case "slow":
		impair(func(a *workermodel.Faults) { a.Slow = magnitude })
	case "hang":
		impair(func(a *workermodel.Faults) { a.Hung = t.Begins })
	case "taken":
		impair(func(a *workermodel.Faults) { a.StolenShare = magnitude })
	case "mute":
		impair(func(a *workermodel.Faults) { a.SilentRate = magnitude })
	case "fails":
		impair(func(a *workermodel.Faults) { a.FailureRate = magnitude })
	case "unfit":
		impair(func(a *workermodel.Faults) { a.UnfitRate = magnitude })
	case "lies":
		impair(func(a *workermodel.Faults) { a.ReportsIdle = t.Begins })
	case "stale":
		impair(func(a *workermodel.Faults) { a.ExtraReportAge = experiment.FromMilliseconds(magnitude) })
	case "refuses":
		impair(func(a *workermodel.Faults) { a.RejectsAll = t.Begins })
	case "vanish", "cut":
		r.fleet.Cut(n, t.Begins)
	case "kill":
		if t.Begins {
			r.fleet.Kill(n)
		} else if err := r.fleet.Restart(n); err != nil {
			r.addError(err)
		}
	case "drain-told":
		if t.Begins {
			r.fleet.AnnounceDrain(n, duration)
		}
	case "drain":
		if t.Begins {
			r.fleet.Drain(n, duration)
		}
	case "discovery-silent":
		for _, a := range r.emulators {
			a.Silence(t.Begins)
		}
	case "discovery-broken":
		for _, a := range r.emulators {
			a.Break(t.Begins)
		}
	case "discovery-moved":
		r.moveDiscovery(n)
	}
}

// moveDiscovery moves a scheduler's discovery emulator to another address and makes the scheduler reload its
// configuration.
func (r *run) moveDiscovery(n int) {
	if n >= len(r.emulators) {
		return
	}
	if err := r.emulators[n].Move(); err != nil {
		r.addError(err)
		return
	}
	if err := r.schedulers[n].Signal(syscall.SIGHUP); err != nil {
		r.addError(err)
	}
}

// applySchedulerFault begins or ends a fault of a scheduler's process. Faults that take a while, such as
// restarts, run in the background.
func (r *run) applySchedulerFault(t workload.FaultEvent, n int) {
	s := r.schedulers[n]
	duration := max(time.Duration(t.Duration)*ledger.Tenth, 100*time.Millisecond)
	switch t.Kind {
	case "scheduler-stop":
		sig := syscall.SIGCONT
		if t.Begins {
			sig = syscall.SIGSTOP
		}
		if err := s.Signal(sig); err != nil {
			r.addError(err)
		}
	case "scheduler-clock", "scheduler-calls", "scheduler-late", "scheduler-disk":
		if r.options.Injector == nil {
			r.addError(fmt.Errorf("fault %s needs a fault injector, and this run has none", t.Kind))
			return
		}
		r.options.Injector.Turn(t.Kind, n, t.Begins, t.Magnitude)
	case "scheduler-blind":
		r.emulators[n].Silence(t.Begins)
	case "scheduler-reload":
		if t.Begins {
			r.moveDiscovery(n)
		}
	case "scheduler-hups":
		if t.Begins {
			r.sendHups(n)
		}
	case "scheduler-crowd":
		if t.Begins {
			r.inBackground(func() error { return r.exhaustDescriptors(s, duration) })
		}
	case "scheduler-kill", "scheduler-stale", "scheduler-term", "scheduler-terms", "scheduler-hup-term":
		if t.Begins {
			r.inBackground(func() error { return r.stopAndRestart(s, t.Kind, n, duration) })
		}
	}
}
