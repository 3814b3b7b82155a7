package scheduler

import (
	"context"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
	"woaddyke/internal/workers/workerconn"
)

const (
	divergenceInterval   = 10 * time.Second // between log lines on shadow settings
	sweepInterval        = time.Second      // between sweeps of idle connections to workers
	workerCountsInterval = time.Second / 5  // the console's figures must be at most half a second old
)

// Run processes messages and timers until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	divergence := time.NewTicker(divergenceInterval)
	defer divergence.Stop()
	defer l.logDivergence()
	var workerCounts <-chan time.Time
	if l.opts.PublishWorkerCounts {
		ticker := time.NewTicker(workerCountsInterval)
		defer ticker.Stop()
		workerCounts = ticker.C
	}
	for {
		select {
		case m := <-l.inbox:
			l.receive(m)
		case <-l.timer.C:
			l.step(reducer.TimerFired{})
		case now := <-sweep.C:
			l.opts.OnStep(time.Now())
			go l.opts.Workers.Sweep(now)
		case <-workerCounts:
			l.opts.Metrics.SetWorkers(l.opts.Reducer.WorkerCounts(config.RoundUp(l.opts.Clock.Now())))
		case <-divergence.C:
			l.logDivergence()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) receive(m Message) {
	switch m := m.(type) {
	case Input:
		l.step(m.Event)
	case Submit:
		l.accept(m)
	case Query:
		m(State{Reducer: l.opts.Reducer, Submitted: l.submitted, Pending: len(l.pending)})
	case siblingChanged:
		l.siblingChanged(m)
	}
}

// accept passes an op to the reducer, unless its client disconnected while the op was in the inbox.
func (l *Loop) accept(s Submit) {
	if s.Client.Disconnected() {
		return
	}
	if !l.announce(s) {
		s.Reply <- reducer.Respond{Op: s.Op.Op, Verdict: reducer.Nacked, RetryAfter: siblingRetryAfter}
		return
	}
	l.pending[s.Op.Op] = &pendingOp{Submit: s}
	l.submitted++
	l.opts.Log.Debug().Uint64("op", s.Op.Op).Str("id", s.Op.ID).Str("category", s.Op.Category).
		Float64("slots", s.Op.Slots).Int64("work_us", int64(s.Op.Work)*100).Msg("op")
	l.step(s.Op)
}

// logDivergence logs how often shadow settings would have decided differently since the start. The log keys
// asked, chosen and spoken count the pairs of workers to probe, the workers pushed to and the peer reports.
func (l *Loop) logDivergence() {
	if !l.opts.LogDivergence {
		return
	}
	pairs, placements, reports := l.opts.Reducer.ShadowDivergence()
	l.opts.Log.Info().Int("asked", pairs).Int("chosen", placements).Int("spoken", reports).
		Uint64("ops", l.submitted).Msg("decisions that shadow settings would have changed")
}

// step passes one event to the reducer and carries out its effects.
func (l *Loop) step(event reducer.Input) {
	now := time.Now()
	l.opts.OnStep(now)
	l.observe(now, event)
	for _, e := range l.opts.Reducer.Step(config.RoundUp(l.opts.Clock.FromTime(now)), event) {
		l.apply(now, e)
	}
	if _, list := event.(reducer.EndpointsChanged); list {
		l.unappliedLists.Add(-1)
	}
}

// observe updates the loop's own records from an event before the reducer processes it.
func (l *Loop) observe(now time.Time, event reducer.Input) {
	switch in := event.(type) {
	case reducer.AttemptProgressed:
		// Only a start is reported as a possible run, not an acknowledgement: a worker may return a queued
		// job unstarted, and the retry may go to another group.
		if in.Started {
			l.reportMayHaveRun(in.Op)
		}
	case reducer.AttemptEnded:
		l.checks.recordEnding(l.pending[in.Op], in)
		delete(l.inFlight, in.Op)
		if !in.Ending.NeverRan() {
			l.reportMayHaveRun(in.Op)
		}
	case reducer.ClientDisconnected:
		l.opts.Log.Debug().Uint64("op", in.Op).Msg("client disconnected")
		l.checks.releaseID(l.pending[in.Op])
		delete(l.pending, in.Op)
	case reducer.EndpointsChanged:
		l.checks.workers.update(in, now)
		if !in.Cached && !l.listReceived {
			l.listReceived = true
			close(l.endpointsReady)
		}
	}
}

func (l *Loop) reportMayHaveRun(op uint64) {
	if p := l.pending[op]; p != nil {
		p.Client.MayHaveRun(p.group)
	}
}

// apply carries out one effect.
func (l *Loop) apply(now time.Time, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Push:
		l.push(now, e)
	case reducer.CancelAttempt:
		if x := l.inFlight[e.Op]; x != nil {
			x.Close(e.OnlyIfUnsent, e.Ending)
		}
	case reducer.Probe:
		l.probe(now, e)
	case reducer.Respond:
		l.respond(now, e)
	case reducer.SendToPeer:
		l.opts.SendToPeer(e.Peer, e.Text)
	case reducer.SetTimer:
		l.timer.Reset(duration(e.Delay))
	}
}

// probe sends a load probe. No setting bounds the time of a probe, so it gets one connect timeout for the
// dial and another for the answer.
func (l *Loop) probe(now time.Time, e reducer.Probe) {
	deadline := now.Add(2 * l.opts.ConnectTimeout)
	l.opts.Workers.Probe(e.Addr, l.opts.ProbeRequest, deadline, func(end workerconn.End) {
		l.opts.Log.Debug().Str("worker", e.Worker).Stringer("ending", end.Ending).Bool("dialed", end.Dialed).
			Dur("took_ms", time.Since(now)).Bytes("report", end.Load).Msg("load probe ended")
		l.Send(reducer.ProbeEnded{Probe: e.Probe, Ending: end.Ending, LoadReport: end.Load})
	})
}

func (l *Loop) respond(now time.Time, e reducer.Respond) {
	p := l.pending[e.Op]
	if p == nil {
		return
	}
	delete(l.pending, e.Op)
	l.checks.checkAnswer(now, p, e)
	l.opts.Log.Debug().Uint64("op", e.Op).Str("id", p.Op.ID).Stringer("verdict", e.Verdict).
		Stringer("reason", e.Reason).Int("attempts", len(p.attempts)).Msg("answer")
	p.Reply <- e
}

// push starts an attempt. The op is pending: the reducer requests no attempt of an op that is answered or
// whose client has disconnected.
func (l *Loop) push(now time.Time, e reducer.Push) {
	p := l.pending[e.Op]
	p.group = e.Group
	mayWrite := p.mayWriteUntil(p.windowEnd(l.checks.rules(p), l.priorAttemptStart(now, p)))
	l.checks.addAttempt(now, p, e)
	l.opts.Log.Debug().Uint64("op", e.Op).Str("id", p.Op.ID).Str("worker", e.Worker).
		Int("attempt", e.Attempt).Stringer("previous_ending", p.attempts.previousEnding()).Msg("push")
	deadline := now.Add(duration(e.Timeout))
	request := func(left time.Duration) []byte { return l.attemptRequest(now, p, e.Worker, left) }
	sent := func() { l.opts.Metrics.AttemptSent(p.Op.Category) }
	progressed := func(line workerconn.JobLine) { l.attemptProgressed(e.Op, line) }
	ended := func(end workerconn.End) { l.attemptEnded(now, p, e.Worker, end) }
	l.inFlight[e.Op] = l.opts.Workers.Push(
		e.Addr, p.Op.ID, request, deadline, mayWrite, sent, progressed, ended)
}

// priorAttemptStart returns the time since which the op may have run for another scheduler. It returns the
// zero time if no other scheduler may have run the op.
func (l *Loop) priorAttemptStart(now time.Time, p *pendingOp) time.Time {
	if p.Op.PriorAttempt == nil {
		return time.Time{}
	}
	return now.Add(duration(p.Op.PriorAttempt.StartedAt - dispatch.Time(config.RoundUp(l.opts.Clock.Now()))))
}

// attemptRequest returns the bytes of an attempt. It is called just before the first write. If the decision
// is too old by then, it returns nil: load reports and endpoint lists that arrived since may not have been
// read.
func (l *Loop) attemptRequest(decidedAt time.Time, p *pendingOp, worker string, left time.Duration) []byte {
	if time.Since(decidedAt) > l.opts.ConnectTimeout+maxDispatchDelay {
		return nil
	}
	l.checks.checkFirstByte(p, worker, left)
	return p.Client.Request(left)
}

func (l *Loop) attemptProgressed(op uint64, line workerconn.JobLine) {
	l.opts.Log.Debug().Uint64("op", op).Str("state", line.State).Float64("share", line.Progress).
		Msg("job line")
	l.Send(progressInput(op, line))
}

// progressInput converts a job line to an event. Within this process, a progress below 0 stands for the
// worker's acknowledgement. If a worker itself sends a negative progress in a job line, it is clamped to 0.
func progressInput(op uint64, line workerconn.JobLine) reducer.AttemptProgressed {
	fractionDone := line.Progress
	if line.State != workerconn.StateAcknowledged {
		fractionDone = max(fractionDone, 0)
	}
	return reducer.AttemptProgressed{Op: op, Started: line.State == "started", FractionDone: fractionDone}
}

func (l *Loop) attemptEnded(startedAt time.Time, p *pendingOp, worker string, end workerconn.End) {
	op := p.Op.Op
	l.opts.Log.Debug().Uint64("op", op).Str("worker", worker).Stringer("ending", end.Ending).
		Bool("dialed", end.Dialed).Dur("took_ms", time.Since(startedAt)).Msg("attempt ended")
	if end.Ending == outcome.CancelledUnsent && !p.checkClient() {
		// The reducer gets ClientDisconnected before AttemptEnded, so that it starts no retry for a client
		// that has disconnected.
		l.Send(reducer.ClientDisconnected{Op: op})
	}
	l.Send(reducer.AttemptEnded{Op: op, Ending: end.Ending, Result: end.Result, LoadReport: end.Load})
}

func duration(t dispatch.Time) time.Duration { return time.Duration(t) * config.Tenth }
