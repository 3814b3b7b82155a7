package reducer

import (
	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/outcome"
)

// pullDecisions asks the dispatcher for its decisions until there is none, and appends their effects.
func (r *Reducer) pullDecisions(now dispatch.Time, effects []Effect) []Effect {
	for {
		next := r.dispatcher.Next()
		if next.Kind == dispatch.NoDecision {
			return effects
		}
		if effect := r.applyDecision(now, next); effect != nil {
			effects = append(effects, effect)
		}
	}
}

// applyDecision records a decision and returns its effect, or nil if the host has nothing to do.
func (r *Reducer) applyDecision(now dispatch.Time, next dispatch.Decision) Effect {
	switch next.Kind {
	case dispatch.Push:
		return r.push(now, next)
	case dispatch.CancelAttempt:
		return CancelAttempt{Op: r.ops[next.Op].number, Ending: outcome.Cancelled}
	case dispatch.Probe:
		w := &r.workers[next.Worker]
		r.lastProbe++
		r.probes[r.lastProbe] = probe{next.Worker, now}
		return Probe{r.lastProbe, w.name, w.addr}
	case dispatch.Nack, dispatch.DeadLetter:
		return r.respond(next)
	case dispatch.ReportToPeer:
		text := config.EncodePeerReport(r.workers[next.Worker].name, next.InFlight)
		return SendToPeer{Peer: next.Peer, Text: text}
	case dispatch.SetTimer:
		return SetTimer{next.Duration}
	case dispatch.Forget:
		r.forgetOp(now, next.Op)
	}
	return nil
}

// push starts an attempt.
func (r *Reducer) push(now dispatch.Time, next dispatch.Decision) Effect {
	o, w := &r.ops[next.Op], &r.workers[next.Worker]
	o.worker, o.sentAt, o.inFlight = next.Worker, now, true
	attempt := o.attempts
	o.attempts++
	return Push{Op: o.number, Attempt: attempt, Worker: w.name, Addr: w.addr, Group: w.group,
		Timeout: next.Duration}
}

// respond returns the answer to a nacked or dead-lettered op, or nil if the op already has an answer or its
// client has disconnected.
func (r *Reducer) respond(next dispatch.Decision) Effect {
	o := &r.ops[next.Op]
	if o.clientDone {
		return nil
	}
	o.clientDone = true
	verdict := Nacked
	if next.Kind == dispatch.DeadLetter {
		verdict = DeadLettered
	}
	return Respond{Op: o.number, Verdict: verdict, RetryAfter: next.Duration, Reason: next.Reason}
}
