// Package runner plays an experiment: it starts workers, discovery and schedulers, sends the script's ops, turns its
// troubles on and off, and holds the ledger against the rules at the end.
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

// Stage is where and with what an experiment is played.
type Stage struct {
	Out      string // a folder; empty for a temporary one that is removed
	Make     schedulers.Maker
	Progress func(Progress) // now and then; may be nil
	Quiet    bool           // write no page and no results
	Hollow   string         // the program of hollow schedulers
	Shims    Shims          // may be nil: then there are no troubles that need them
	// Look is called when all schedulers serve, before the first op, and when all is over, before they are told to end; it may be nil.
	Look func(ended bool, all []*schedulers.Scheduler)
}

// Shims make troubles inside a scheduler's process that no other process can make.
type Shims interface {
	Turn(kind string, scheduler int, on bool, size float64)
}

// Progress is how far a run is.
type Progress struct {
	Second, Of float64
	Open       int64
	Events     int
	Last       string // the newest trouble
}

// run is one experiment on its way.
type run struct {
	plan       *experiment.Experiment
	script     *workload.Script
	book       *ledger.Book
	fleet      *fleet.Fleet
	agents     []*discovery.Agent
	schedulers []*schedulers.Scheduler
	crowd      *clients.Crowd
	work       sync.WaitGroup // restarts that are under way
	mu         sync.Mutex
	last       string
	errs       []error
	uses       []schedulers.Use
	queues     []report.Queue
	dir        string
	lag        time.Duration // the longest by which the lab itself was late
	stage      Stage
	mesh       *faultproxy.Net // nil where schedulers are no members
	meter      *meter.Meter
	spans      [2]report.Edge  // the first op is due; the last one was
	hollow     *hollow.Process // nil for none
	hollowAt   int             // the place of the first of them
	views      int             // that members held at rest
	hollowLate float64         // by how much one of them was late at most, ms
	viewsFirst int             // the same when the first op was due
	forced     []report.InForce
	spare      int // the first place that is no scheduler's
	placed     int
	changed    []time.Duration // what each change of keepers took
	sets       int             // of keepers that were in use, at rest
	digests    []string        // of the keepers' copies, at rest
	unsure     int             // ops that no majority was had for
	votes      []duplicates.Vote
	cuts       map[[2]int]map[int]faultproxy.Cut // from and to, by trouble; of the one goroutine that plays troubles
	twins      []*schedulers.Scheduler
}

const (
	sampleEvery = 250 * time.Millisecond
	lead        = 300 * time.Millisecond // between the last scheduler's start and the first op
)

// Fits says whether this machine can bear an experiment.
func Fits(e *experiment.Experiment) error {
	l, err := requirements.Machine()
	if err != nil {
		return err
	}
	if len(e.Sizes) == 0 {
		if err := requirements.Of(e).Fit(l); err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
	}
	for _, share := range e.Sizes {
		s, err := e.Sized(share)
		if err != nil {
			return err
		}
		if err := Fits(s); err != nil {
			return err
		}
	}
	return nil
}

// Run plays an experiment from its seed.
func Run(ctx context.Context, e *experiment.Experiment, st Stage) (*report.Results, error) {
	if err := Fits(e); err != nil {
		return nil, err
	}
	s, err := workload.Of(e)
	if err != nil {
		return nil, err
	}
	r := &run{plan: e, script: s, dir: st.Out, stage: st}
	r.meter = meter.New(r.places())
	if r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "lab-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(r.dir)
	} else if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return nil, err
	}
	if r.book, err = ledger.Create(filepath.Join(r.dir, "ledger.jsonl"), time.Now()); err != nil {
		return nil, err
	}
	r.book.Add(ledger.Event{Kind: ledger.World, Name: e.Name, Seed: e.Seed, Rules: e.Judged(), Text: s.Hash()})
	err = r.play(ctx, st)
	if err == nil {
		err = errors.Join(r.errs...)
	}
	if r.mesh != nil && err == nil {
		err = r.heldOf()
	}
	text := ""
	if ctx.Err() != nil {
		text = "stopped before its time"
	}
	r.book.Add(ledger.Event{Kind: ledger.Finished, Text: text})
	events := r.book.Events()
	if err = errors.Join(err, r.book.Close()); err != nil {
		return nil, err
	}
	result, err := report.Of(e, events, r.uses, r.queues)
	if err != nil {
		return nil, err
	}
	if r.mesh != nil {
		result.Views(membershipcheck.Judge(events, viewTerms(e)))
		result.Doubles(duplicates.Judge(events, r.digests, r.unsure, r.votes, e.Members.Workers))
		result.Changes(r.changed, r.sets)
		if n := r.mesh.Crowded(); n > 0 {
			result.Void = fmt.Sprintf("the links between schedulers lost %d datagrams for want of room", n)
		}
	}
	result.Roles(r.spans[0], r.spans[1], events, e.Schedulers.Count, e.Members.Hollow)
	if r.hollow != nil {
		result.HeldViews(r.viewsFirst, r.views, r.hollowLate, e.Members.PauseMS)
	}
	for _, s := range r.schedulers {
		result.Ready(s.Readies())
	}
	result.InForce(r.forced)
	result.Expect(e)
	if n := r.fleet.Starved(); n > 0 {
		result.Void = fmt.Sprintf("the lab had no descriptor for %d connections to workers", n)
	}
	result.Script = s.Hash()
	result.Lagged(float64(r.lag)/float64(time.Millisecond), e.Rules.SlackMS)
	if st.Out != "" && !st.Quiet {
		err = write(filepath.Join(r.dir, "results.json"), result)
	}
	return result, err
}

func write(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// setUp starts all parties.
func (r *run) setUp(st Stage) error {
	e := r.plan
	late := [2]time.Duration{time.Duration(e.Discovery.LateMS[0] * float64(time.Millisecond)),
		time.Duration(e.Discovery.LateMS[1] * float64(time.Millisecond))}
	for n := range e.Schedulers.Count {
		a, err := discovery.New(n, r.book, func(slot, scheduler int) string { return r.fleet.Addr(slot, scheduler) }, late,
			fleet.Sky(e, "discovery", "", e.Zones[n%len(e.Zones)]), e.Seed, r.meter)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	desk := requests.New()
	var on bool
	var err error
	r.fleet, err = fleet.New(e, r.script, r.book, desk, r.meter, func(entry fleet.Entry) {
		for _, a := range r.agents {
			a.Hear(entry, !on)
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
		s, err := schedulers.New(n, e, r.book, st.Make, r.agents[n], r.dir)
		if err != nil {
			return err
		}
		if err := r.offer(s, n, "lab"); err != nil {
			return err
		}
		r.schedulers = append(r.schedulers, s)
		servers, addrs = append(servers, s), append(addrs, s.Listen)
	}
	on = true
	failed := make(chan error, len(r.schedulers))
	room := make(chan struct{}, startsAtOnce)
	for _, s := range r.schedulers {
		go func() {
			room <- struct{}{}
			failed <- s.Start(false)
			<-room
		}()
	}
	for range r.schedulers {
		err = errors.Join(err, <-failed)
	}
	if err != nil {
		return err
	}
	if err := r.startHollow(); err != nil {
		return err
	}
	r.crowd = clients.New(e, r.script, r.book, desk, servers, addrs)
	return nil
}

const turnsAtOnce = 32

// startsAtOnce bounds how many processes start at a time: hundreds at once keep one another from being ready.
const startsAtOnce = 32

// tearDown ends all that was started.
func (r *run) tearDown() {
	r.endMesh()
	if r.mesh != nil {
		defer r.mesh.Close()
	}
	var all sync.WaitGroup
	for _, s := range r.schedulers {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := s.End(r.plan.Longest() + 3*time.Second); err != nil {
				r.fail(err)
			}
		}()
	}
	all.Wait()
	for _, a := range r.agents {
		a.Stop()
	}
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *run) play(ctx context.Context, st Stage) error {
	defer r.tearDown()
	if err := r.setUp(st); err != nil {
		return err
	}
	if err := r.waitForVotes(); err != nil {
		return err
	}
	if st.Look != nil {
		st.Look(false, r.schedulers)
	}
	start := time.Now().Add(lead)
	playing, stop := context.WithCancel(ctx)
	var side sync.WaitGroup
	side.Add(3)
	go func() {
		defer side.Done()
		lag, err := watch(playing)
		if r.lag = lag; err != nil {
			r.fail(err)
		}
	}()
	go func() {
		defer side.Done()
		r.turns(playing, start)
	}()
	go func() {
		defer side.Done()
		r.sample(playing, start, st.Progress)
	}()
	r.spans[0] = r.edge()
	r.crowd.Run(ctx, start)
	if rest := time.Until(start.Add(time.Duration(r.plan.Seconds * float64(time.Second)))); rest > 0 {
		select {
		case <-time.After(rest):
		case <-ctx.Done():
		}
	}
	r.spans[1] = r.edge()
	settle := time.After(time.Duration(r.plan.Settle * float64(time.Second)))
	r.crowd.Wait()
	select {
	case <-settle:
	case <-ctx.Done():
	}
	stop()
	side.Wait()
	r.work.Wait()
	for n := range r.schedulers { // what stands still can't end
		r.schedulers[n].Signal(syscall.SIGCONT)
		r.agents[n].Silence(false)
	}
	for slot := range r.script.Workers {
		r.fleet.Cut(slot, false)
	}
	err := errors.Join(r.atRest(), r.hold())
	if st.Look != nil {
		st.Look(true, r.schedulers)
	}
	return err
}

// edge is what all have used up to now.
func (r *run) edge() report.Edge {
	e := report.Edge{At: r.book.Now(), Sent: r.meter.Now()}
	for _, s := range r.schedulers {
		if u, ok := s.Use(); ok {
			e.Uses = append(e.Uses, u)
		}
	}
	if r.hollow != nil {
		e.Hollow, _ = schedulers.UseOf(r.hollow.PID(), e.At, 0)
	}
	return e
}

// sample notes now and then what is used and held.
func (r *run) sample(ctx context.Context, start time.Time, tell func(Progress)) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range r.schedulers {
			if u, ok := s.Use(); ok {
				r.uses = append(r.uses, u)
			}
		}
		q := report.Queue{At: r.book.Now()}
		for _, d := range r.fleet.Depths() {
			q.Held, q.Waiting = append(q.Held, d.Running+d.Waiting), append(q.Waiting, d.Waiting)
		}
		r.queues = append(r.queues, q)
		if tell != nil {
			r.mu.Lock()
			last := r.last
			r.mu.Unlock()
			tell(Progress{Second: time.Since(start).Seconds(), Of: r.plan.Seconds, Open: r.crowd.Open(),
				Events: len(r.book.Events()), Last: last})
		}
	}
}

// turns plays the script's troubles.
func (r *run) turns(ctx context.Context, start time.Time) {
	for _, t := range r.script.Turns {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(t.At) * ledger.Tenth))):
		}
		text := " on "
		if !t.On {
			text = " over on "
		}
		text = t.Kind + text
		if t.Kind == "region-cut" {
			text += t.Zone
		} else {
			text += fmt.Sprint(t.Targets)
		}
		r.book.Add(ledger.Event{Kind: ledger.Fault, Text: text})
		r.mu.Lock()
		r.last = text
		r.mu.Unlock()
		if t.Kind == "region-cut" {
			r.part(t)
			continue
		}
		if t.Kind == "settings-change" {
			r.changeSettings(t)
			continue
		}
		if t.Kind == "keepers-change" {
			if t.On {
				r.beside(func() error { return r.changeKeepers(t, time.Duration(t.For)*ledger.Tenth) })
			}
			continue
		}
		var all sync.WaitGroup
		room := make(chan struct{}, turnsAtOnce)
		for _, n := range t.Targets {
			if t.Kind != "cut" && t.Kind != "vanish" {
				r.turn(t, n)
				continue
			}
			all.Add(1) // each takes a few ms, and a zone has hundreds
			room <- struct{}{}
			go func() {
				defer all.Done()
				r.turn(t, n)
				<-room
			}()
		}
		all.Wait()
	}
}

// part cuts a region off from the others, or ends that: its schedulers and the others' workers, the other way round, and the links
// between its schedulers and the others.
func (r *run) part(t workload.Turn) {
	e := r.plan
	inside := func(scheduler int) bool { return e.In(t.Zone, e.Zones[scheduler%len(e.Zones)]) }
	for slot, w := range r.script.Workers {
		for n := range e.Schedulers.Count {
			if inside(n) != e.In(t.Zone, w.Zone) {
				r.fleet.CutFrom(slot, n, t.On)
			}
		}
	}
	if r.mesh == nil {
		return
	}
	var places []int
	for n := range e.Schedulers.Count {
		places = append(places, n)
	}
	for i := range e.Members.Hollow {
		places = append(places, r.hollowAt+i)
	}
	for _, from := range places {
		for _, to := range places {
			if e.In(t.Zone, r.zoneOf(from)) != e.In(t.Zone, r.zoneOf(to)) {
				r.cut(from, to, t)
			}
		}
	}
}

// turn begins or ends a trouble at one worker or scheduler.
func (r *run) turn(t workload.Turn, n int) {
	if experiment.OfSchedulers(t.Kind) {
		if !r.meshTrouble(t, n) {
			r.trouble(t, n)
		}
		return
	}
	span := time.Duration(t.For) * ledger.Tenth
	ail := func(change func(*workermodel.Ails)) { r.fleet.Ail(n, change) }
	size := t.Size
	if !t.On {
		size = 0
	}
	switch t.Kind {
	case "slow":
		ail(func(a *workermodel.Ails) { a.Slow = size })
	case "hang":
		ail(func(a *workermodel.Ails) { a.Hung = t.On })
	case "taken":
		ail(func(a *workermodel.Ails) { a.Taken = size })
	case "mute":
		ail(func(a *workermodel.Ails) { a.Mute = size })
	case "fails":
		ail(func(a *workermodel.Ails) { a.Fails = size })
	case "unfit":
		ail(func(a *workermodel.Ails) { a.UnfitShare = size })
	case "lies":
		ail(func(a *workermodel.Ails) { a.Lies = t.On })
	case "stale":
		ail(func(a *workermodel.Ails) { a.StaleBy = experiment.MS(size) })
	case "refuses":
		ail(func(a *workermodel.Ails) { a.TurnsAway = t.On })
	case "vanish", "cut":
		r.fleet.Cut(n, t.On)
	case "kill":
		if t.On {
			r.fleet.Kill(n)
		} else if err := r.fleet.Restart(n); err != nil {
			r.fail(err)
		}
	case "drain-told":
		if t.On {
			r.fleet.Announce(n, span)
		}
	case "drain":
		if t.On {
			r.fleet.Drain(n, span)
		}
	case "discovery-silent":
		for _, a := range r.agents {
			a.Silence(t.On)
		}
	case "discovery-broken":
		for _, a := range r.agents {
			a.Break(t.On)
		}
	case "discovery-moved":
		r.move(n)
	}
}

// move moves a scheduler's discovery and tells it so.
func (r *run) move(n int) {
	if n >= len(r.agents) {
		return
	}
	if err := r.agents[n].Move(); err != nil {
		r.fail(err)
		return
	}
	if err := r.schedulers[n].Signal(syscall.SIGHUP); err != nil {
		r.fail(err)
	}
}

// trouble is one at a scheduler; it is seen through to its end.
func (r *run) trouble(t workload.Turn, n int) {
	s := r.schedulers[n]
	span := max(time.Duration(t.For)*ledger.Tenth, 100*time.Millisecond)
	switch t.Kind {
	case "scheduler-stop":
		sig := syscall.SIGCONT
		if t.On {
			sig = syscall.SIGSTOP
		}
		if err := s.Signal(sig); err != nil {
			r.fail(err)
		}
	case "scheduler-clock", "scheduler-calls", "scheduler-late", "scheduler-disk":
		if r.stage.Shims == nil {
			r.fail(fmt.Errorf("%s: nothing is there to make it", t.Kind))
			return
		}
		r.stage.Shims.Turn(t.Kind, n, t.On, t.Size)
	case "scheduler-blind":
		r.agents[n].Silence(t.On)
	case "scheduler-reload":
		if t.On {
			r.move(n)
		}
	case "scheduler-hups":
		if t.On {
			r.hups(n)
		}
	case "scheduler-crowd":
		if t.On {
			r.beside(func() error { return r.fill(s, span) })
		}
	case "scheduler-kill", "scheduler-stale", "scheduler-term", "scheduler-terms", "scheduler-hup-term":
		if t.On {
			r.beside(func() error { return r.endAndStart(s, t.Kind, n, span) })
		}
	}
}
