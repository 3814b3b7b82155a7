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

// Edge is what the schedulers have used and sent up to a moment.
type Edge struct {
	At   ledger.Time
	Sent meter.Sheet
	Uses []schedulers.Use

	Hollow schedulers.Use // of the process of hollow schedulers
}

// Roles works out what each scheduler used and sent between two moments: start-up and the rest at the end are apart. Figures of one
// scheduler are its mean over the span; they are told as the mean over all schedulers and as the busiest one's.
func (r *Results) Roles(from, to Edge, events []ledger.Event, count, hollow int) {
	span := float64(to.At-from.At) / 10_000
	if span <= 0 || len(to.Sent) == 0 {
		return
	}
	r.Span = span
	sent := to.Sent.Since(from.Sent)
	if hollow > 0 {
		r.hollow(sent[len(sent)-hollow:], from.Hollow, to.Hollow, span)
	}
	for k := range meter.Kinds {
		var in, out, messages []float64
		for _, row := range sent[:count] {
			in, out = append(in, float64(row[k].In)/span), append(out, float64(row[k].Out)/span)
			messages = append(messages, float64(row[k].Messages)/span)
		}
		r.spread(k.String()+"_in_Bps", in)
		r.spread(k.String()+"_out_Bps", out)
		r.spread(k.String()+"_messages_ps", messages)
	}
	before, cpu, resident := map[int]schedulers.Use{}, []float64{}, []float64{}
	for _, u := range from.Uses {
		before[u.Scheduler] = u
	}
	for _, u := range to.Uses {
		resident = append(resident, float64(u.Resident)/(1<<20))
		// One that was started anew between the two has not used what its former process had.
		if b, ok := before[u.Scheduler]; ok && u.CPU >= b.CPU && u.At > b.At {
			cpu = append(cpu, (u.CPU-b.CPU)/(float64(u.At-b.At)/10_000))
		}
	}
	r.spread("scheduler_cores", cpu)
	r.spread("scheduler_mb", resident)
	r.starts(from.At, to.At, events)
}

// hollow tells what a hollow scheduler used: its share of their process, and what it sent the others.
func (r *Results) hollow(sent meter.Sheet, from, to schedulers.Use, span float64) {
	n := float64(len(sent))
	r.Figures["hollow_cores"], r.Figures["hollow_mb"] = (to.CPU-from.CPU)/span/n, float64(to.Resident)/(1<<20)/n
	var in, out, messages []float64
	for _, row := range sent {
		m := row[meter.Members]
		in, out, messages = append(in, float64(m.In)/span), append(out, float64(m.Out)/span), append(messages, float64(m.Messages)/span)
	}
	r.spread("hollow_members_in_Bps", in)
	r.spread("hollow_members_out_Bps", out)
	r.spread("hollow_members_messages_ps", messages)
}

// HeldViews takes how many different views all members together held when the first op was due, and at rest. Where it was more than one
// at first, what joining costs is in the figures. Members that were late for longer than one may stand still prove nothing: they share
// what machines of their own would have each.
func (r *Results) HeldViews(first, n int, lateMS, pauseMS float64) {
	if r.Figures["hollow_late_ms"] = lateMS; lateMS > pauseMS {
		r.Void = fmt.Sprintf("hollow schedulers were late by %.0f ms, more than members.pause_ms of %.0f ms: this machine is too busy for so many", lateMS, pauseMS)
	}
	r.Figures["views_at_start"], r.Figures["views_at_rest"] = float64(first), float64(n)
	if n > 1 {
		r.Unmet = append(r.Unmet, fmt.Sprintf("at rest the members, hollow ones among them, hold %d different views", n))
	}
}

// InForce is what became of one change of settings.
type InForce struct {
	At      ledger.Time
	Took    []time.Duration // at each scheduler where it came into force
	Missing int             // schedulers where it did not in its time
}

// InForce takes what became of all changes of settings: the worst of them at the 50th and 99th of a hundred schedulers, and at the last.
func (r *Results) InForce(all []InForce) {
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

// spread tells a figure of all schedulers: their mean, and the highest.
func (r *Results) spread(name string, v []float64) {
	if len(v) == 0 {
		return
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	r.Figures[name], r.Figures[name+".max"] = sum/float64(len(v)), slices.Max(v)
}

// starts tells how many jobs began a second, and by category how long after it was due an op began for the first time.
func (r *Results) starts(from, to ledger.Time, events []ledger.Event) {
	type wish struct {
		category string
		due      ledger.Time
		began    bool
	}
	ops, wishes := map[string]*wish{}, map[string]*wish{}
	took := map[string][]float64{}
	n, running, most := 0, 0, 0
	out := map[int]bool{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ledger.Due:
			if wishes[e.Effect] == nil {
				wishes[e.Effect] = &wish{category: e.Category, due: e.From}
			}
			ops[e.Op] = wishes[e.Effect]
		case ledger.Ran:
			if e.At >= from && e.At < to {
				n++
			}
			if running++; running > most {
				most = running
			}
			out[e.Push] = true
			if w := ops[e.Op]; w != nil && !w.began {
				w.began = true
				took[w.category] = append(took[w.category], float64(e.At-w.due)/10)
			}
		case ledger.Said, ledger.Closed:
			if out[e.Push] {
				delete(out, e.Push)
				running--
			}
		}
	}
	r.Figures["starts_ps"], r.Figures["running_most"] = float64(n)*10_000/float64(to-from), float64(most)
	for name, v := range took {
		slices.Sort(v)
		for _, q := range []struct {
			name string
			of   float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
			r.Figures["start_"+q.name+"_ms."+name] = v[int(q.of*float64(len(v)-1))]
		}
	}
}

// Ready takes what a scheduler's starts took.
func (r *Results) Ready(took []time.Duration) {
	for _, t := range took {
		r.readies = append(r.readies, float64(t)/float64(time.Millisecond))
	}
	slices.Sort(r.readies)
	if n := len(r.readies); n > 0 {
		r.Figures["starts"] = float64(n)
		r.Figures["ready_p50_ms"], r.Figures["ready_p90_ms"], r.Figures["ready_max_ms"] = r.readies[(n-1)/2], r.readies[(n-1)*9/10], r.readies[n-1]
	}
}

// rows are the figures of each role, in the order in which they are printed.
var rows = []string{"scheduler_cores", "scheduler_mb", "probes_messages_ps", "probes_in_Bps", "probes_out_Bps", "list_in_Bps", "list_out_Bps",
	"members_messages_ps", "members_in_Bps", "members_out_Bps", "work_messages_ps", "work_in_Bps", "work_out_Bps",
	"hollow_cores", "hollow_mb", "hollow_members_messages_ps", "hollow_members_in_Bps", "hollow_members_out_Bps"}

// Table prints what each role used.
func (r *Results) Table(out io.Writer) {
	f := r.Figures
	if _, ok := f["starts_ps"]; !ok {
		return
	}
	fmt.Fprintf(out, "  over %.1f s of arrivals; a scheduler: mean, busiest\n", r.Span)
	for _, name := range rows {
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
