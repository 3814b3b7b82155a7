package report

import (
	"fmt"
	"io"
	"slices"
	"time"

	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/meter"
	"woaddyke/internal/lab/schedulers"
)

// UsageSnapshot holds the resources that the schedulers used and the traffic that they sent up to a moment.
type UsageSnapshot struct {
	At   ledger.Time
	Sent meter.Snapshot
	Uses []schedulers.Usage

	Hollow schedulers.Usage // resources of the process with the hollow schedulers
}

// AddUsage adds the resources that each scheduler used and its traffic between two moments. The caller chooses
// them so that start-up and the quiet period at the end are left out. A scheduler's value is the mean over
// this time. Each figure is the mean of these values, and the figure NAME.max is the highest of them.
func (r *Results) AddUsage(from, to UsageSnapshot, events []ledger.Event, count, hollow int) {
	span := float64(to.At-from.At) / 10_000
	if span <= 0 || len(to.Sent) == 0 {
		return
	}
	r.Span = span
	sent := to.Sent.Since(from.Sent)
	if hollow > 0 {
		r.addHollow(sent[len(sent)-hollow:], from.Hollow, to.Hollow, span)
	}
	for k := range meter.Kinds {
		var in, out, messages []float64
		for _, row := range sent[:count] {
			in, out = append(in, float64(row[k].In)/span), append(out, float64(row[k].Out)/span)
			messages = append(messages, float64(row[k].Messages)/span)
		}
		r.setMeanAndMax(k.String()+"_in_Bps", in)
		r.setMeanAndMax(k.String()+"_out_Bps", out)
		r.setMeanAndMax(k.String()+"_messages_ps", messages)
	}
	before, cpu, resident := map[int]schedulers.Usage{}, []float64{}, []float64{}
	for _, u := range from.Uses {
		before[u.Scheduler] = u
	}
	for _, u := range to.Uses {
		resident = append(resident, float64(u.Resident)/(1<<20))
		// After a restart in between, the CPU time is that of another process, so the scheduler is left out.
		if b, ok := before[u.Scheduler]; ok && u.CPU >= b.CPU && u.At > b.At {
			cpu = append(cpu, (u.CPU-b.CPU)/(float64(u.At-b.At)/10_000))
		}
	}
	r.setMeanAndMax("scheduler_cores", cpu)
	r.setMeanAndMax("scheduler_mb", resident)
	r.addStarts(from.At, to.At, events)
}

// addHollow adds the figures of the hollow schedulers: the resources of their process divided by their
// number, and their membership traffic.
func (r *Results) addHollow(sent meter.Snapshot, from, to schedulers.Usage, span float64) {
	n := float64(len(sent))
	r.Figures["hollow_cores"], r.Figures["hollow_mb"] = (to.CPU-from.CPU)/span/n, float64(to.Resident)/(1<<20)/n
	var in, out, messages []float64
	for _, row := range sent {
		m := row[meter.Members]
		in, out, messages = append(in, float64(m.In)/span), append(out, float64(m.Out)/span), append(messages, float64(m.Messages)/span)
	}
	r.setMeanAndMax("hollow_members_in_Bps", in)
	r.setMeanAndMax("hollow_members_out_Bps", out)
	r.setMeanAndMax("hollow_members_messages_ps", messages)
}

// AddViewCounts adds the number of different views among all members when the first op was due, and at rest. If
// there was more than one view when the first op was due, the figures include the cost of joining. The run is
// void if hollow members were late by more than members.pause_ms: they share a processor, which members on
// separate machines don't.
func (r *Results) AddViewCounts(first, n int, lateMS, pauseMS float64) {
	if r.Figures["hollow_late_ms"] = lateMS; lateMS > pauseMS {
		r.Void = fmt.Sprintf("hollow schedulers were late by %.0f ms, more than members.pause_ms of %.0f ms: this machine is too busy for so many", lateMS, pauseMS)
	}
	r.Figures["views_at_start"], r.Figures["views_at_rest"] = float64(first), float64(n)
	if n > 1 {
		r.Unmet = append(r.Unmet, fmt.Sprintf("at rest the members, hollow ones among them, hold %d different views", n))
	}
}

// SettingsChange is the result of a change of settings.
type SettingsChange struct {
	At      ledger.Time
	Took    []time.Duration // for each scheduler where the change came into force: the time until then
	Missing int             // number of schedulers where the change did not come into force in time
}

// AddSettingsChanges adds the results of all changes of settings: the times until a change was in force at 50%, 99% and
// all of the schedulers. Each figure is the longest time over all changes.
func (r *Results) AddSettingsChanges(all []SettingsChange) {
	if len(all) == 0 {
		return
	}
	f := r.Figures
	f["settings_changes"] = float64(len(all))
	for _, c := range all {
		f["settings_missing"] += float64(c.Missing)
		slices.Sort(c.Took)
		for name, q := range map[string]int{"in_force_p50_ms": 50, "in_force_p99_ms": 99, "in_force_last_ms": 100} {
			if n := len(c.Took); n > 0 {
				f[name] = max(f[name], float64(c.Took[(n*q+99)/100-1])/float64(time.Millisecond))
			}
		}
	}
	if n := f["settings_missing"]; n > 0 {
		r.Unmet = append(r.Unmet, fmt.Sprintf("%.0f times a change of settings was not in force in its time", n))
	}
}

// setMeanAndMax sets a figure to the mean over all schedulers, and NAME.max to the highest value.
func (r *Results) setMeanAndMax(name string, v []float64) {
	if len(v) == 0 {
		return
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	r.Figures[name], r.Figures[name+".max"] = sum/float64(len(v)), slices.Max(v)
}

// addStarts adds the number of jobs that began per second and the greatest number of jobs that ran together.
// For each category it adds the time from a request's due time to the first start of a job for it.
func (r *Results) addStarts(from, to ledger.Time, events []ledger.Event) {
	type request struct {
		category string
		due      ledger.Time
		began    bool
	}
	ops, requests := map[string]*request{}, map[string]*request{}
	took := map[string][]float64{}
	n, running, maxRunning := 0, 0, 0
	runningPushes := map[int]bool{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ledger.Due:
			if requests[e.Effect] == nil {
				requests[e.Effect] = &request{category: e.Category, due: e.From}
			}
			ops[e.Op] = requests[e.Effect]
		case ledger.Ran:
			if e.At >= from && e.At < to {
				n++
			}
			if running++; running > maxRunning {
				maxRunning = running
			}
			runningPushes[e.Push] = true
			if req := ops[e.Op]; req != nil && !req.began {
				req.began = true
				took[req.category] = append(took[req.category], float64(e.At-req.due)/10)
			}
		case ledger.WorkerReplied, ledger.Closed:
			if runningPushes[e.Push] {
				delete(runningPushes, e.Push)
				running--
			}
		}
	}
	r.Figures["starts_ps"], r.Figures["running_most"] = float64(n)*10_000/float64(to-from), float64(maxRunning)
	for name, v := range took {
		slices.Sort(v)
		for _, q := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
			r.Figures["start_"+q.name+"_ms."+name] = v[int(q.share*float64(len(v)-1))]
		}
	}
}

// AddStartTimes adds the durations of a scheduler's starts.
func (r *Results) AddStartTimes(took []time.Duration) {
	for _, t := range took {
		r.readyMS = append(r.readyMS, float64(t)/float64(time.Millisecond))
	}
	slices.Sort(r.readyMS)
	if n := len(r.readyMS); n > 0 {
		r.Figures["starts"] = float64(n)
		r.Figures["ready_p50_ms"], r.Figures["ready_p90_ms"], r.Figures["ready_max_ms"] = r.readyMS[(n-1)/2], r.readyMS[(n-1)*9/10], r.readyMS[n-1]
	}
}

// usageFigures are the usage figures, in the order in which they are printed.
var usageFigures = []string{"scheduler_cores", "scheduler_mb", "probes_messages_ps", "probes_in_Bps", "probes_out_Bps", "list_in_Bps", "list_out_Bps",
	"members_messages_ps", "members_in_Bps", "members_out_Bps", "work_messages_ps", "work_in_Bps", "work_out_Bps",
	"hollow_cores", "hollow_mb", "hollow_members_messages_ps", "hollow_members_in_Bps", "hollow_members_out_Bps"}

// PrintUsage prints the usage figures.
func (r *Results) PrintUsage(out io.Writer) {
	f := r.Figures
	if _, ok := f["starts_ps"]; !ok {
		return
	}
	fmt.Fprintf(out, "  over %.1f s of arrivals; a scheduler: mean, busiest\n", r.Span)
	for _, name := range usageFigures {
		if v, ok := f[name]; ok {
			fmt.Fprintf(out, "    %-20s %10.4g %10.4g\n", name, v, f[name+".max"])
		}
	}
	if n, ok := f["views_at_start"]; ok {
		fmt.Fprintf(out, "    different views of members: %.0f when the first op was due, %.0f at rest; hollow ones late by at most %.0f ms\n", n,
			f["views_at_rest"], f["hollow_late_ms"])
	}
	fmt.Fprintf(out, "    starts a second %.1f, running at most %.0f\n", f["starts_ps"], f["running_most"])
	for _, c := range r.Categories {
		if v, ok := f["start_p50_ms."+c.Name]; ok {
			fmt.Fprintf(out, "    %s: begun after p50 %.1f, p99 %.1f, at most %.1f ms\n", c.Name, v, f["start_p99_ms."+c.Name], f["start_max_ms."+c.Name])
		}
	}
	if n, ok := f["settings_changes"]; ok {
		fmt.Fprintf(out, "    %.0f changes of settings in force after p50 %.0f, p99 %.0f, last %.0f ms at worst, %.0f times missing\n", n,
			f["in_force_p50_ms"], f["in_force_p99_ms"], f["in_force_last_ms"], f["settings_missing"])
	}
	fmt.Fprintf(out, "    ready after p50 %.0f, p90 %.0f, at most %.0f ms, of %.0f starts\n", f["ready_p50_ms"], f["ready_p90_ms"], f["ready_max_ms"], f["starts"])
}
