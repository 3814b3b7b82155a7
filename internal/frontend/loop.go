package frontend

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
	"woaddyke/internal/workers/workerconn"
)

const (
	backlog     = 256              // inputs that wait for the loop
	countEvery  = 10 * time.Second // the counts of a watch are logged
	learnedTime = 2 * time.Second  // for what was learned, before a process takes over without it and without the ids that are taken
	sweepEvery  = time.Second      // idle connections are looked over this often
	fleetEvery  = time.Second / 5  // figures that only the loop knows are owed half a second old at most
)

// message is an input on its way to the loop; an op comes with the client's request. One with a call is none: the loop
// makes that call.
type message struct {
	in   reducer.Input
	held *held
	call func()
}

// loop feeds the reducer and carries out what it asks for. It alone touches the fields below it.
type loop struct {
	in        chan message
	reducer   *reducer.Reducer
	pool      *workerconn.Pool
	probeHead []byte
	probeWait time.Duration
	log       zerolog.Logger
	clock     clock.Clock

	tally   *metrics.Recorder
	shows   bool          // staff read the figures
	listed  chan struct{} // closed with the first list that is not remembered
	heard   bool          // it is closed
	ended   chan struct{} // closed once it takes nothing more
	watches bool
	taken   uint64
	peers   *peers
	say     func(to int, text string) // in place of peers where members carry words, nil without
	held    map[uint64]*held
	out     map[uint64]*workerconn.Exchange
	wake    *time.Timer
	fates   ClaimRegistry // nil: this scheduler alone knows its ops; set before it runs

	runs       func(now time.Time) // told of each step, and once a second
	unapplied  atomic.Int64        // lists that were told and not taken up yet
	guard      *invariant.Checker
	freshFor   time.Duration // for which a decision is carried out: the time for a dial, and a little
	workers    watched
	byID       map[string]uint64                // ops that have been pushed and have no answer
	rule       func(string) config.CategoryRule // in force, by category
	mostPushes func() int                       // in force
	granted    func(category string) bool       // whether ops are asked for before they are taken; nil: none are
}

// tell waits for room, but not for a loop that has ended.
func (l *loop) tell(in reducer.Input) {
	if _, list := in.(reducer.EndpointsChanged); list {
		l.unapplied.Add(1)
	}
	select {
	case l.in <- message{in: in}:
	case <-l.ended:
	}
}

// learned asks the loop what its reducer has learned; false where it has no time for that.
func (l *loop) learned() (reducer.Learned, bool) {
	got, late := make(chan reducer.Learned, 1), time.After(learnedTime)
	select {
	case l.in <- message{call: func() { got <- l.reducer.Learned() }}:
	case <-late:
		return reducer.Learned{}, false
	}
	select {
	case x := <-got:
		return x, true
	case <-late:
		return reducer.Learned{}, false
	}
}

// run works until quit is closed.
func (l *loop) run(quit <-chan struct{}) {
	defer close(l.ended)
	sweep, count := time.NewTicker(sweepEvery), time.NewTicker(countEvery)
	defer sweep.Stop()
	defer count.Stop()
	defer l.otherwise()
	var fleet <-chan time.Time
	if l.shows {
		often := time.NewTicker(fleetEvery)
		defer often.Stop()
		fleet = often.C
	}
	for {
		select {
		case m := <-l.in:
			if m.call != nil {
				m.call()
				continue
			}
			if m.held != nil {
				if m.held.client.Err() != nil {
					continue // its client left while it lay here
				}
				l.held[m.held.Op] = m.held
				l.taken++
				l.log.Debug().Uint64("op", m.held.Op).Str("id", m.held.ID).Str("category", m.held.Category).
					Float64("slots", m.held.Slots).Int64("work_us", int64(m.held.Work)*100).Msg("op")
			}
			l.step(m.in)
		case <-l.wake.C:
			l.step(reducer.TimerFired{})
		case now := <-sweep.C:
			l.runs(time.Now())
			go l.pool.Sweep(now)
		case <-fleet:
			l.tally.SetWorkers(l.reducer.WorkerCounts(config.RoundUp(l.clock.Now())))
		case <-count.C:
			l.otherwise()
		case <-quit:
			return
		}
	}
}

// otherwise logs what a watch has counted since the start.
func (l *loop) otherwise() {
	if l.watches {
		asked, chosen, spoken := l.reducer.ShadowDivergence()
		l.log.Info().Int("asked", asked).Int("chosen", chosen).Int("spoken", spoken).Uint64("ops", l.taken).
			Msg("decided otherwise by the settings watched for")
	}
}

func (l *loop) step(in reducer.Input) {
	now := time.Now()
	l.runs(now)
	switch in := in.(type) {
	case reducer.AttemptProgressed:
		if in.Started { // one that is only taken may come back unstarted, and go to another group
			l.ran(in.Op)
		}
	case reducer.AttemptEnded:
		l.noteEnd(in)
		if delete(l.out, in.Op); !in.Ending.NeverRan() {
			l.ran(in.Op)
		}
	case reducer.ClientDisconnected:
		l.log.Debug().Uint64("op", in.Op).Msg("client left")
		if h := l.held[in.Op]; h != nil && l.byID[h.ID] == h.Op {
			delete(l.byID, h.ID)
		}
		delete(l.held, in.Op)
	case reducer.EndpointsChanged:
		l.workers.list(in, now)
		if !in.Cached && !l.heard {
			l.heard = true
			close(l.listed)
		}
	}
	for _, e := range l.reducer.Step(config.RoundUp(l.clock.Nanos(now)), in) {
		l.do(now, e)
	}
	if _, list := in.(reducer.EndpointsChanged); list {
		l.unapplied.Add(-1)
	}
}

func (l *loop) do(now time.Time, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Push:
		l.push(now, e)
	case reducer.CancelAttempt:
		if x := l.out[e.Op]; x != nil {
			x.Close(e.OnlyIfUnsent, e.Ending)
		}
	case reducer.Probe:
		l.pool.Probe(e.Addr, l.probeHead, now.Add(l.probeWait), func(end workerconn.End) {
			l.log.Debug().Str("worker", e.Worker).Stringer("how", end.How).Bool("dialed", end.Dialed).
				Dur("took_ms", time.Since(now)).Bytes("report", end.Load).Msg("probe ended")
			l.tell(reducer.ProbeEnded{Probe: e.Probe, Ending: end.How, LoadReport: end.Load})
		})
	case reducer.Respond:
		if h := l.held[e.Op]; h != nil {
			delete(l.held, e.Op)
			l.checkAnswer(now, h, e)
			l.log.Debug().Uint64("op", e.Op).Str("id", h.ID).Stringer("verdict", e.Verdict).Stringer("why", e.Reason).Int("pushes", len(h.pushes)).Msg("answer")
			h.answer <- e
		}
	case reducer.SendToPeer:
		if l.say != nil {
			l.say(e.Peer, e.Text)
		} else {
			l.peers.tell(e.Peer, e.Text)
		}
	case reducer.SetTimer:
		l.wake.Reset(span(e.Delay))
	}
}

func (l *loop) push(now time.Time, e reducer.Push) {
	h := l.held[e.Op] // a push is never asked for after the answer, or after its client left
	wait := span(e.Timeout)
	h.group = e.Group
	l.begin(now, h, e)
	l.log.Debug().Uint64("op", e.Op).Str("id", h.ID).Str("worker", e.Worker).Int("leg", e.Attempt).Stringer("after", h.pushes.before()).Msg("push")
	l.out[e.Op] = l.pool.Push(e.Addr, h.ID, func(left time.Duration) []byte {
		if time.Since(now) > l.freshFor {
			return nil // what was told of its worker since may lie unread
		}
		l.sending(h, e.Worker, left)
		return h.request.Bytes(left)
	}, now.Add(wait), h.waits, func() {
		l.tally.AttemptSent(h.Category)
	}, func(line workerconn.Line) {
		l.log.Debug().Uint64("op", e.Op).Str("state", line.State).Float64("share", line.Share).Msg("job line")
		l.tell(reducer.AttemptProgressed{Op: e.Op, Started: line.State == "started", Done: line.Share})
	}, func(end workerconn.End) {
		l.log.Debug().Uint64("op", e.Op).Str("worker", e.Worker).Stringer("how", end.How).
			Bool("dialed", end.Dialed).Dur("took_ms", time.Since(now)).Msg("push ended")
		if end.How == outcome.CancelledUnsent && !h.waits() {
			l.tell(reducer.ClientDisconnected{Op: e.Op}) // before the end: what was not wanted here is not to go elsewhere
		}
		l.tell(reducer.AttemptEnded{Op: e.Op, Ending: end.How, Result: end.Result, LoadReport: end.Load})
	})
}

func span(t dispatch.Time) time.Duration { return time.Duration(t) * config.Tenth }
