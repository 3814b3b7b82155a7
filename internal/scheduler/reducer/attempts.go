package reducer

import "woaddyke/dispatch"

// probe is a load probe that has not ended.
type probe struct {
	worker int
	sentAt dispatch.Time
}

func (r *Reducer) progressAttempt(in AttemptProgressed) {
	if i, ok := r.opsByNumber[in.Op]; ok {
		progress := dispatch.Progress{Started: in.Started, Acknowledged: in.FractionDone < 0}
		r.dispatcher.AttemptProgress(i, r.ops[i].attempts-1, progress)
	}
}

// endAttempt records the end of an attempt. A successful attempt answers its op.
func (r *Reducer) endAttempt(now dispatch.Time, in AttemptEnded) (effects []Effect) {
	i, ok := r.opsByNumber[in.Op]
	if !ok || !r.ops[i].inFlight {
		return nil
	}
	o := &r.ops[i]
	o.inFlight = false
	outcome := in.Ending.Outcome()
	succeeded := outcome == dispatch.Succeeded
	if succeeded && !o.clientDone {
		o.clientDone = true
		effects = append(effects, Respond{Op: in.Op, Verdict: Acked, Result: in.Result})
	}
	r.dispatcher.AttemptEnded(i, o.attempts-1, outcome, succeeded)
	if r.reportsInline && len(in.LoadReport) > 0 {
		if load, err := r.reportFormat.FromJSON(in.LoadReport); err == nil {
			r.dispatcher.ProbeAnswered(o.worker, now-o.sentAt, load)
		}
	}
	return effects
}

// endProbe records the end of a load probe. A probe with an unreadable load report counts as failed.
func (r *Reducer) endProbe(now dispatch.Time, in ProbeEnded) {
	p, ok := r.probes[in.Probe]
	if !ok {
		return
	}
	delete(r.probes, in.Probe)
	outcome, elapsed := in.Ending.Outcome(), now-p.sentAt
	if outcome == dispatch.Succeeded {
		load, err := r.reportFormat.FromJSON(in.LoadReport)
		if err == nil {
			r.dispatcher.ProbeAnswered(p.worker, elapsed, load)
			return
		}
		outcome = dispatch.Failed
	}
	r.dispatcher.ProbeFailed(p.worker, elapsed, outcome)
}
