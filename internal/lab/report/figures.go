// Package report works out of a ledger what an experiment has shown: latencies from the moment at which ops were
// due, service by benefit, waste, probes, connections, and what the schedulers used.
package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/duplicates"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/membershipcheck"
	"woaddyke/internal/lab/schedulers"
)

// Results are all figures of one run.
type Results struct {
	Name        string                 `json:"name"`
	Seed        uint64                 `json:"seed"`
	Script      string                 `json:"script"` // its hash
	Seconds     float64                `json:"seconds"`
	Interrupted bool                   `json:"interrupted,omitempty"`
	Void        string                 `json:"void,omitempty"` // why the run proves nothing
	Audit       audit.Judgement        `json:"audit"`
	Figures     map[string]float64     `json:"figures"`
	Categories  []Category             `json:"categories"`
	Unmet       []string               `json:"unmet,omitempty"` // promises of the file that did not hold
	Uses        []schedulers.Use       `json:"uses,omitempty"`
	Queues      []Queue                `json:"queues,omitempty"`
	Slices      []Slice                `json:"slices,omitempty"`
	Faults      []Fault                `json:"faults,omitempty"`
	Spans       []membershipcheck.Span `json:"spans,omitempty"` // what schedulers held of one another
	Span        float64                `json:"span,omitempty"`  // seconds that the figures of roles cover

	readies []float64
}

// Category is what clients of one category saw.
type Category struct {
	Name    string             `json:"name"`
	Counts  map[string]int     `json:"counts"`
	Latency map[string]float64 `json:"latency_ms"` // of what was acked, since it was due
	Service float64            `json:"service"`
}

// Queue is how many jobs each worker holds at a moment.
type Queue struct {
	At      ledger.Time `json:"at"`
	Held    []int       `json:"held"`
	Waiting []int       `json:"waiting"`
}

// Slice is a short span of the run.
type Slice struct {
	At                ledger.Time `json:"at"`
	Acked             int         `json:"acked"`
	Nacked            int         `json:"nacked"`
	Dead              int         `json:"dead"`
	Other             int         `json:"other"`
	P50, P99, Longest float64
}

// Fault is a trouble as it was played.
type Fault struct {
	At   ledger.Time `json:"at"`
	Text string      `json:"text"`
}

// sliceLength is a slice's span.
const sliceLength ledger.Time = 2_500

// Quantiles that are told of each latency.
var quantiles = []struct {
	Name string
	Q    float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p99.9", 99.9}, {"max", 100}}

// histogram counts latencies in tenths of a ms up to an hour.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 36_000_000, 3) }

func record(h *hdrhistogram.Histogram, t ledger.Time) { h.RecordValue(max(int64(t), 1)) }

func latency(h *hdrhistogram.Histogram) map[string]float64 {
	m := map[string]float64{}
	for _, q := range quantiles {
		if h.TotalCount() > 0 {
			m[q.Name] = float64(h.ValueAtPercentile(q.Q)) / 10
		}
	}
	return m
}

// wish is what became of one wish over all its tries.
type wish struct {
	category int
	client   int
	due      ledger.Time
	work     float64 // core time
	slots    float64
	ackedAt  ledger.Time
	acked    bool
	last     string
	lastAt   ledger.Time
	tries    int
}

// Of works the figures out.
func Of(e *experiment.Experiment, events []ledger.Event, uses []schedulers.Use, queues []Queue) (*Results, error) {
	j, err := audit.Judge(events)
	if err != nil {
		return nil, err
	}
	r := &Results{Name: e.Name, Seed: e.Seed, Audit: j, Figures: map[string]float64{}, Uses: uses, Queues: queues}
	index := map[string]int{}
	for i, c := range e.Categories {
		index[c.Name] = i
	}
	wishes, order := map[string]*wish{}, []*wish{}
	ops := map[string]*wish{}
	workOf := map[int]float64{} // by push
	asked, done, late, lateMost, sent := 0.0, 0.0, 0, ledger.Time(0), 0
	counts := map[ledger.Kind]int{}
	for i := range events {
		ev := &events[i]
		counts[ev.Kind]++
		switch ev.Kind {
		case ledger.Due:
			w := wishes[ev.Effect]
			if w == nil {
				w = &wish{category: index[ev.Category], client: ev.Client, due: ev.From, work: ev.Work, slots: max(ev.Slots, 1)}
				wishes[ev.Effect], order = w, append(order, w)
				asked += ev.Work
			}
			w.tries++
			ops[ev.Op] = w
		case ledger.Sent:
			if sent++; ev.Late > 10 {
				late++
			}
			lateMost = max(lateMost, ev.Late)
		case ledger.Answer, ledger.Cut, ledger.Refused, ledger.Left, ledger.Echo:
			if w := ops[ev.Op]; w != nil && !w.acked {
				w.last, w.lastAt = string(ev.Kind), ev.At
				if ev.Verdict != "" {
					w.last = ev.Verdict
				}
				if ev.Verdict == ledger.Acked {
					w.acked, w.ackedAt = true, ev.At
				}
			}
		case ledger.Reached:
			workOf[ev.Push] = ev.Work
		case ledger.Ran:
			done += workOf[ev.Push]
		case ledger.Fault:
			r.Faults = append(r.Faults, Fault{ev.At, ev.Text})
		case ledger.Finished:
			r.Interrupted = ev.Text != ""
		}
	}
	r.Seconds = float64(events[len(events)-1].At) / 10_000
	r.service(e, order)
	r.slices(order)
	useful := 0.0
	for _, w := range order {
		if w.acked {
			useful += w.work
		}
	}
	f := r.Figures
	n := float64(max(len(order), 1))
	f["wishes"], f["tries_per_op"] = float64(len(order)), float64(counts[ledger.Due])/n
	f["pushes_per_op"], f["probes_per_op"] = float64(counts[ledger.Reached])/n, float64(counts[ledger.Probed])/n
	f["dials_per_op"] = float64(counts[ledger.Dialed]) / n
	f["waste"] = max(done-useful, 0) / max(asked, 1e-9)
	f["sent_late"], f["sent_late_max_ms"] = float64(late)/float64(max(sent, 1)), float64(lateMost)/10
	f["excused"], f["unread"], f["open"] = float64(j.Excused), float64(j.Unread), float64(j.Open)
	f["dropped_repeats"] = float64(counts[ledger.Dropped])
	f["broken"] = float64(len(j.Breaches))
	f["crashed"] = float64(breaches(j, audit.Crashed))
	r.use()
	return r, nil
}

func breaches(j audit.Judgement, rule audit.Rule) (n int) {
	for _, b := range j.Breaches {
		if b.Rule == rule {
			n++
		}
	}
	return n
}

// service is the benefit that was answered in time over all that was asked for; a benefit counts for each unit of
// work. An answer after the target latency and before the TTL earns a category's share of it.
func (r *Results) service(e *experiment.Experiment, order []*wish) {
	all := histogram()
	got, asked := 0.0, 0.0
	clients, windows := map[int]*share{}, map[int]*share{}
	worst := 1.0
	for i, c := range e.Categories {
		h := histogram()
		row := Category{Name: c.Name, Counts: map[string]int{}}
		mine, ours := 0.0, 0.0
		for _, w := range order {
			if w.category != i {
				continue
			}
			worth := c.Benefit * w.work
			ours += worth
			row.Counts["wishes"]++
			of := []*share{shareOf(clients, w.client)}
			for k := range windowSlices { // each span of ten seconds that it is in
				of = append(of, shareOf(windows, int(w.due/sliceLength)-k))
			}
			for _, s := range of {
				s.asked += worth
			}
			if !w.acked {
				row.Counts[cmp.Or(w.last, "unanswered")]++
				continue
			}
			row.Counts[ledger.Acked]++
			took := w.ackedAt - w.due
			record(h, took)
			record(all, took)
			earned := 0.0
			switch {
			case took <= experiment.MS(c.TargetMS+c.Stretch*w.work/w.slots):
				earned = worth
			case took <= experiment.MS(c.TTLMS):
				earned = worth * c.LateBenefit
			}
			mine += earned
			for _, s := range of {
				s.got += earned
			}
		}
		row.Latency = latency(h)
		if ours > 0 {
			row.Service = mine / ours
		}
		got, asked = got+mine, asked+ours
		r.Categories = append(r.Categories, row)
		for name, v := range row.Latency {
			r.Figures[name+"_ms."+c.Name] = v
		}
		r.Figures["service."+c.Name] = row.Service
		if ours > 0 {
			worst = min(worst, row.Service)
		}
		for _, kind := range []string{ledger.Acked, ledger.Nacked, ledger.Dead} {
			r.Figures[kind] += float64(row.Counts[kind])
		}
	}
	for name, v := range latency(all) {
		r.Figures[name+"_ms"] = v
	}
	if asked > 0 {
		r.Figures["service"] = got / asked
		r.Figures["service_worst_category"] = worst
		r.Figures["service_worst_client"] = least(clients, 0)
		// Spans at the ends hold few ops; one of them says nothing of ten seconds.
		r.Figures["service_worst_10s"] = min(least(windows, asked/float64(len(windows))*windowSlices/2), got/asked)
	}
}

// share is what was earned of what was asked for.
type share struct{ got, asked float64 }

// windowSlices make ten seconds.
const windowSlices = 100_000 / 2_500

func shareOf(m map[int]*share, k int) *share {
	if m[k] == nil {
		m[k] = &share{}
	}
	return m[k]
}

// least is the worst share of those that asked for so much.
func least(m map[int]*share, asked float64) float64 {
	worst := 1.0
	for _, s := range m {
		if s.asked > asked {
			worst = min(worst, s.got/s.asked)
		}
	}
	return worst
}

// slices cuts the run by the moments at which ops were due.
func (r *Results) slices(order []*wish) {
	if len(order) == 0 {
		return
	}
	last := order[len(order)-1].due
	n := int(last/sliceLength) + 1
	hist := make([]*hdrhistogram.Histogram, n)
	r.Slices = make([]Slice, n)
	for i := range r.Slices {
		r.Slices[i].At = ledger.Time(i) * sliceLength
		hist[i] = histogram()
	}
	for _, w := range order {
		i := min(max(int(w.due/sliceLength), 0), n-1)
		s := &r.Slices[i]
		switch {
		case w.acked:
			s.Acked++
			record(hist[i], w.ackedAt-w.due)
		case w.last == ledger.Nacked:
			s.Nacked++
		case w.last == ledger.Dead:
			s.Dead++
		default:
			s.Other++
		}
	}
	for i := range r.Slices {
		if h := hist[i]; h.TotalCount() > 0 {
			s := &r.Slices[i]
			s.P50, s.P99, s.Longest = float64(h.ValueAtPercentile(50))/10, float64(h.ValueAtPercentile(99))/10, float64(h.Max())/10
		}
	}
}

// use is what the schedulers used at most, and for each op.
func (r *Results) use() {
	last, cpu := map[int]float64{}, 0.0
	for _, u := range r.Uses {
		r.Figures["memory_mb"] = max(r.Figures["memory_mb"], float64(u.Resident)/(1<<20))
		r.Figures["files"] = max(r.Figures["files"], float64(u.Files))
		if u.CPU < last[u.Scheduler] { // another process
			cpu += last[u.Scheduler]
		}
		last[u.Scheduler] = u.CPU
	}
	for _, c := range last {
		cpu += c
	}
	if n := r.Figures["wishes"]; n > 0 && len(r.Uses) > 0 {
		r.Figures["cpu_us_per_op"] = cpu * 1e6 / n
	}
}

// worst is the longest of some spans, in ms.
func worst(all []ledger.Time) (ms float64) {
	for _, t := range all {
		ms = max(ms, float64(t)/10)
	}
	return ms
}

// Views takes what schedulers held of one another.
func (r *Results) Views(j *membershipcheck.Judgement) {
	f := r.Figures
	f["false_gone"], f["missed_gone"], f["views_apart"] = float64(j.FalseGone), float64(j.MissedGone), float64(j.Apart)
	f["detect_worst_ms"], f["converge_worst_ms"], f["detected"] = worst(j.Detect), worst(j.Converge), float64(len(j.Detect))
	if len(j.Detect) > 0 {
		h := histogram()
		for _, t := range j.Detect {
			record(h, t)
		}
		f["detect_p50_ms"], f["detect_p99_ms"] = float64(h.ValueAtQuantile(50))/10, float64(h.ValueAtQuantile(99))/10
	}
	r.Unmet = append(r.Unmet, j.Breaches...)
	r.Spans = j.Spans
}

// Doubles takes what became of ids that came again.
func (r *Results) Doubles(j *duplicates.Judgement) {
	f := r.Figures
	f["doubled"], f["wrong_answer"], f["differ"] = float64(j.Doubled), float64(j.WrongAnswer), float64(j.Differ)
	f["stale_drain"] = float64(j.Stale)
	f["refused_unsure"], f["repeats"] = float64(j.Unsure), float64(j.Repeats)
	f["caught_up_worst_ms"], f["caught_up"] = worst(j.CaughtUp), float64(len(j.CaughtUp))
	r.Unmet = append(r.Unmet, j.Breaches...)
}

// Changes takes what changes of keepers took, and by how many sets of them the schedulers went at rest.
func (r *Results) Changes(took []time.Duration, sets int) {
	longest := time.Duration(0)
	for _, t := range took {
		longest = max(longest, t)
	}
	r.Figures["keepers_changed"], r.Figures["keepers_worst_ms"] = float64(len(took)), float64(longest.Milliseconds())
	r.Figures["keeper_sets"] = float64(sets)
	if sets > 1 {
		r.Unmet = append(r.Unmet, fmt.Sprintf("at rest the schedulers go by %d sets of keepers", sets))
	}
}

// Expect holds the figures against the file's own promises, once all of them are there.
func (r *Results) Expect(e *experiment.Experiment) {
	for _, x := range e.Expect {
		v, ok := r.Figures[x.Figure]
		switch {
		case !ok:
			r.Unmet = append(r.Unmet, fmt.Sprintf("there is no figure %s", x.Figure))
		case x.Least != nil && v < *x.Least:
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, less than %.4g", x.Figure, v, *x.Least))
		case x.Most != nil && v > *x.Most:
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, more than %.4g", x.Figure, v, *x.Most))
		}
	}
}

// told are the figures of the last line, in this order.
var told = []string{"service", "acked", "nacked", "dead-lettered", "excused", "unread", "p50_ms", "p99_ms", "p99.9_ms", "waste",
	"pushes_per_op", "probes_per_op", "dials_per_op", "sent_late", "lab_lag_ms", "cpu_us_per_op", "memory_mb", "files",
	"false_gone", "missed_gone", "views_apart", "detect_worst_ms", "converge_worst_ms",
	"doubled", "wrong_answer", "stale_drain", "differ", "repeats", "refused_unsure", "caught_up_worst_ms", "keepers_changed", "keepers_worst_ms"}

// Line is the last line that a run prints.
func (r *Results) Line() string {
	var b strings.Builder
	fmt.Fprintf(&b, "audit: ops=%d answers=%d broken=%d unmet=%d", r.Audit.Ops, r.Audit.Answers, len(r.Audit.Breaches), len(r.Unmet))
	for _, name := range told {
		if v, ok := r.Figures[name]; ok {
			if v == math.Trunc(v) && math.Abs(v) < 1e9 {
				fmt.Fprintf(&b, " %s=%d", name, int64(v))
			} else {
				fmt.Fprintf(&b, " %s=%.4g", name, v)
			}
		}
	}
	return b.String()
}

// Names are the figures' names in order.
func (r *Results) Names() []string {
	var names []string
	for n := range r.Figures {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Lagged notes by how much the lab itself was late at most. Beyond the slack that the rules allow, its moments are no
// evidence against anybody.
func (r *Results) Lagged(ms, slack float64) {
	r.Figures["lab_lag_ms"] = ms
	if ms > slack {
		r.Void = fmt.Sprintf("the lab itself was late by %.0f ms, more than the slack of %.0f ms: this machine is too busy for it", ms, slack)
	}
}

// Held tells whether no rule was broken and all promises held.
func (r *Results) Held() bool { return len(r.Audit.Breaches) == 0 && len(r.Unmet) == 0 }
