// Package report computes the figures of an experiment from its ledger. They cover latencies from the due
// time of ops, service by benefit, waste, probes, connections, and the resources that the schedulers used.
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

// Results holds the figures of a run.
type Results struct {
	Name        string                 `json:"name"`
	Seed        uint64                 `json:"seed"`
	Script      string                 `json:"script"` // hash of the script
	Seconds     float64                `json:"seconds"`
	Interrupted bool                   `json:"interrupted,omitempty"`
	Void        string                 `json:"void,omitempty"` // why the run is not valid, or empty
	Audit       audit.Judgement        `json:"audit"`
	Figures     map[string]float64     `json:"figures"`
	Categories  []Category             `json:"categories"`
	Unmet       []string               `json:"unmet,omitempty"` // expectations that were not met
	Uses        []schedulers.Usage     `json:"uses,omitempty"`
	Queues      []Queue                `json:"queues,omitempty"`
	Slices      []Slice                `json:"slices,omitempty"`
	Faults      []Fault                `json:"faults,omitempty"`
	Spans       []membershipcheck.Span `json:"spans,omitempty"` // the schedulers' views of one another
	Span        float64                `json:"span,omitempty"`  // seconds that the usage figures cover

	readyMS []float64
}

// Category holds the outcomes and latencies of a category's requests.
type Category struct {
	Name    string             `json:"name"`
	Counts  map[string]int     `json:"counts"`
	Latency map[string]float64 `json:"latency_ms"` // of acked requests, from the time when they were due
	Service float64            `json:"service"`
}

// Queue holds the number of jobs at each worker at a moment.
type Queue struct {
	At      ledger.Time `json:"at"`
	Jobs    []int       `json:"held"`
	Waiting []int       `json:"waiting"`
}

// Slice holds the outcomes and latencies of the requests that were due in a short part of the run.
type Slice struct {
	At                ledger.Time `json:"at"`
	Acked             int         `json:"acked"`
	Nacked            int         `json:"nacked"`
	Dead              int         `json:"dead"`
	Other             int         `json:"other"`
	P50, P99, Longest float64
}

// Fault is the begin or end of a fault in the run.
type Fault struct {
	At   ledger.Time `json:"at"`
	Text string      `json:"text"`
}

// sliceLength is the length of a slice, in ledger ticks.
const sliceLength ledger.Time = 2_500

// quantiles are the quantiles that are reported for each latency.
var quantiles = []struct {
	Name string
	Q    float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p99.9", 99.9}, {"max", 100}}

// histogram returns a histogram for latencies in tenths of a millisecond, up to an hour.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 36_000_000, 3) }

func recordLatency(h *hdrhistogram.Histogram, t ledger.Time) { h.RecordValue(max(int64(t), 1)) }

func latency(h *hdrhistogram.Histogram) map[string]float64 {
	m := map[string]float64{}
	for _, q := range quantiles {
		if h.TotalCount() > 0 {
			m[q.Name] = float64(h.ValueAtPercentile(q.Q)) / 10
		}
	}
	return m
}

// clientRequest is the state of a client's request over all its attempts.
type clientRequest struct {
	category      int
	client        int
	due           ledger.Time
	work          float64 // ms of core time
	slots         float64
	ackedAt       ledger.Time
	acked         bool
	lastOutcome   string
	lastOutcomeAt ledger.Time
	attempts      int
}

// Of computes the figures of a run.
func Of(e *experiment.Experiment, events []ledger.Event, uses []schedulers.Usage, queues []Queue) (*Results, error) {
	j, err := audit.Judge(events)
	if err != nil {
		return nil, err
	}
	r := &Results{Name: e.Name, Seed: e.Seed, Audit: j, Figures: map[string]float64{}, Uses: uses, Queues: queues}
	index := map[string]int{}
	for i, c := range e.Categories {
		index[c.Name] = i
	}
	requests, order := map[string]*clientRequest{}, []*clientRequest{}
	ops := map[string]*clientRequest{}
	workOf := map[int]float64{} // by number of the push
	requestedWork, doneWork, late, maxLate, sent := 0.0, 0.0, 0, ledger.Time(0), 0
	counts := map[ledger.Kind]int{}
	for i := range events {
		ev := &events[i]
		counts[ev.Kind]++
		switch ev.Kind {
		case ledger.Due:
			req := requests[ev.Effect]
			if req == nil {
				req = &clientRequest{category: index[ev.Category], client: ev.Client, due: ev.From, work: ev.Work, slots: max(ev.Slots, 1)}
				requests[ev.Effect], order = req, append(order, req)
				requestedWork += ev.Work
			}
			req.attempts++
			ops[ev.Op] = req
		case ledger.Sent:
			if sent++; ev.Late > 10 {
				late++
			}
			maxLate = max(maxLate, ev.Late)
		case ledger.Answer, ledger.Cut, ledger.Refused, ledger.Left, ledger.RepeatAnswer:
			if req := ops[ev.Op]; req != nil && !req.acked {
				req.lastOutcome, req.lastOutcomeAt = string(ev.Kind), ev.At
				if ev.Verdict != "" {
					req.lastOutcome = ev.Verdict
				}
				if ev.Verdict == ledger.Acked {
					req.acked, req.ackedAt = true, ev.At
				}
			}
		case ledger.Reached:
			workOf[ev.Push] = ev.Work
		case ledger.Ran:
			doneWork += workOf[ev.Push]
		case ledger.Fault:
			r.Faults = append(r.Faults, Fault{ev.At, ev.Text})
		case ledger.Finished:
			r.Interrupted = ev.Text != ""
		}
	}
	r.Seconds = float64(events[len(events)-1].At) / 10_000
	r.addService(e, order)
	r.addSlices(order)
	ackedWork := 0.0
	for _, req := range order {
		if req.acked {
			ackedWork += req.work
		}
	}
	f := r.Figures
	n := float64(max(len(order), 1))
	f["wishes"], f["tries_per_op"] = float64(len(order)), float64(counts[ledger.Due])/n
	f["pushes_per_op"], f["probes_per_op"] = float64(counts[ledger.Reached])/n, float64(counts[ledger.Probed])/n
	f["dials_per_op"] = float64(counts[ledger.Dialed]) / n
	f["waste"] = max(doneWork-ackedWork, 0) / max(requestedWork, 1e-9)
	f["sent_late"], f["sent_late_max_ms"] = float64(late)/float64(max(sent, 1)), float64(maxLate)/10
	f["excused"], f["unread"], f["open"] = float64(j.Excused), float64(j.Unread), float64(j.Open)
	f["dropped_repeats"] = float64(counts[ledger.Dropped])
	f["broken"] = float64(len(j.Breaches))
	f["crashed"] = float64(breaches(j, audit.Crashed))
	r.addUse()
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

// addService adds the service figures: the benefit earned divided by the benefit of all requests. A
// category's benefit counts for each unit of work. An answer after the target latency and before the TTL
// earns the category's LateBenefit share of the benefit.
func (r *Results) addService(e *experiment.Experiment, order []*clientRequest) {
	allLatencies := histogram()
	totalEarned, totalRequested := 0.0, 0.0
	clients, windows := map[int]*earnings{}, map[int]*earnings{}
	worst := 1.0
	for i, c := range e.Categories {
		h := histogram()
		row := Category{Name: c.Name, Counts: map[string]int{}}
		categoryEarned, categoryRequested := 0.0, 0.0
		for _, req := range order {
			if req.category != i {
				continue
			}
			benefit := c.Benefit * req.work
			categoryRequested += benefit
			row.Counts["wishes"]++
			buckets := []*earnings{earningsOf(clients, req.client)}
			for k := range windowSlices { // all windows of ten seconds that contain the due time
				buckets = append(buckets, earningsOf(windows, int(req.due/sliceLength)-k))
			}
			for _, s := range buckets {
				s.requested += benefit
			}
			if !req.acked {
				row.Counts[cmp.Or(req.lastOutcome, "unanswered")]++
				continue
			}
			row.Counts[ledger.Acked]++
			elapsed := req.ackedAt - req.due
			recordLatency(h, elapsed)
			recordLatency(allLatencies, elapsed)
			earned := 0.0
			switch {
			case elapsed <= experiment.FromMilliseconds(c.TargetMS+c.Stretch*req.work/req.slots):
				earned = benefit
			case elapsed <= experiment.FromMilliseconds(c.TTLMS):
				earned = benefit * c.LateBenefit
			}
			categoryEarned += earned
			for _, s := range buckets {
				s.earned += earned
			}
		}
		row.Latency = latency(h)
		if categoryRequested > 0 {
			row.Service = categoryEarned / categoryRequested
		}
		totalEarned, totalRequested = totalEarned+categoryEarned, totalRequested+categoryRequested
		r.Categories = append(r.Categories, row)
		for name, v := range row.Latency {
			r.Figures[name+"_ms."+c.Name] = v
		}
		r.Figures["service."+c.Name] = row.Service
		if categoryRequested > 0 {
			worst = min(worst, row.Service)
		}
		for _, kind := range []string{ledger.Acked, ledger.Nacked, ledger.Dead} {
			r.Figures[kind] += float64(row.Counts[kind])
		}
	}
	for name, v := range latency(allLatencies) {
		r.Figures[name+"_ms"] = v
	}
	if totalRequested > 0 {
		r.Figures["service"] = totalEarned / totalRequested
		r.Figures["service_worst_category"] = worst
		r.Figures["service_worst_client"] = lowestService(clients, 0)
		// Windows with less than half of the mean benefit are left out, because the windows at the ends of
		// the run have few requests.
		r.Figures["service_worst_10s"] = min(lowestService(windows, totalRequested/float64(len(windows))*windowSlices/2), totalEarned/totalRequested)
	}
}

// earnings holds the benefit earned and the benefit of all requests.
type earnings struct{ earned, requested float64 }

// windowSlices is the number of slices in ten seconds.
const windowSlices = 100_000 / 2_500

func earningsOf(m map[int]*earnings, k int) *earnings {
	if m[k] == nil {
		m[k] = &earnings{}
	}
	return m[k]
}

// lowestService returns the lowest share of the requested benefit that was earned. It considers only entries
// whose requested benefit exceeds minimum.
func lowestService(m map[int]*earnings, minimum float64) float64 {
	lowest := 1.0
	for _, s := range m {
		if s.requested > minimum {
			lowest = min(lowest, s.earned/s.requested)
		}
	}
	return lowest
}

// addSlices divides the requests into slices by the time when they were due.
func (r *Results) addSlices(order []*clientRequest) {
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
	for _, req := range order {
		i := min(max(int(req.due/sliceLength), 0), n-1)
		s := &r.Slices[i]
		switch {
		case req.acked:
			s.Acked++
			recordLatency(hist[i], req.ackedAt-req.due)
		case req.lastOutcome == ledger.Nacked:
			s.Nacked++
		case req.lastOutcome == ledger.Dead:
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

// addUse adds the highest memory and descriptor count of any scheduler, and the CPU time of all schedulers
// per request.
func (r *Results) addUse() {
	last, cpu := map[int]float64{}, 0.0
	for _, u := range r.Uses {
		r.Figures["memory_mb"] = max(r.Figures["memory_mb"], float64(u.Resident)/(1<<20))
		r.Figures["files"] = max(r.Figures["files"], float64(u.Files))
		if u.CPU < last[u.Scheduler] { // the scheduler was restarted as a new process
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

// longestMS returns the longest duration in ms.
func longestMS(durations []ledger.Time) (ms float64) {
	for _, d := range durations {
		ms = max(ms, float64(d)/10)
	}
	return ms
}

// AddMembership adds the result of the membership check.
func (r *Results) AddMembership(j *membershipcheck.Judgement) {
	f := r.Figures
	f["false_gone"], f["missed_gone"], f["views_apart"] = float64(j.FalseGone), float64(j.MissedGone), float64(j.WrongViews)
	f["detect_worst_ms"], f["converge_worst_ms"], f["detected"] = longestMS(j.DetectTimes), longestMS(j.ConvergeTimes), float64(len(j.DetectTimes))
	if len(j.DetectTimes) > 0 {
		h := histogram()
		for _, t := range j.DetectTimes {
			recordLatency(h, t)
		}
		f["detect_p50_ms"], f["detect_p99_ms"] = float64(h.ValueAtQuantile(50))/10, float64(h.ValueAtQuantile(99))/10
	}
	r.Unmet = append(r.Unmet, j.Breaches...)
	r.Spans = j.Spans
}

// AddDuplicates adds the result of the check for repeated op IDs.
func (r *Results) AddDuplicates(j *duplicates.Judgement) {
	f := r.Figures
	f["doubled"], f["wrong_answer"], f["differ"] = float64(j.DuplicateRuns), float64(j.ConflictingAnswers), float64(j.DivergedReplicas)
	f["stale_drain"] = float64(j.StaleDrainPushes)
	f["refused_unsure"], f["repeats"] = float64(j.UnsureRefusals), float64(j.Repeats)
	f["caught_up_worst_ms"], f["caught_up"] = longestMS(j.CatchUpTimes), float64(len(j.CatchUpTimes))
	r.Unmet = append(r.Unmet, j.Breaches...)
}

// AddVoterChanges adds the number and the longest duration of voter changes, and the number of different voter sets
// that the schedulers used at rest.
func (r *Results) AddVoterChanges(took []time.Duration, sets int) {
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

// CheckExpectations checks the figures against the expectations of the experiment file. All figures must be set before.
func (r *Results) CheckExpectations(e *experiment.Experiment) {
	for _, want := range e.Expectations {
		v, ok := r.Figures[want.Figure]
		switch {
		case !ok:
			r.Unmet = append(r.Unmet, fmt.Sprintf("there is no figure %s", want.Figure))
		case want.Min != nil && v < *want.Min:
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, less than %.4g", want.Figure, v, *want.Min))
		case want.Max != nil && v > *want.Max:
			r.Unmet = append(r.Unmet, fmt.Sprintf("%s is %.4g, more than %.4g", want.Figure, v, *want.Max))
		}
	}
}

// summaryFigures are the figures in the summary line, in this order.
var summaryFigures = []string{"service", "acked", "nacked", "dead-lettered", "excused", "unread", "p50_ms", "p99_ms", "p99.9_ms", "waste",
	"pushes_per_op", "probes_per_op", "dials_per_op", "sent_late", "lab_lag_ms", "cpu_us_per_op", "memory_mb", "files",
	"false_gone", "missed_gone", "views_apart", "detect_worst_ms", "converge_worst_ms",
	"doubled", "wrong_answer", "stale_drain", "differ", "repeats", "refused_unsure", "caught_up_worst_ms", "keepers_changed", "keepers_worst_ms"}

// SummaryLine returns the last line that a run prints.
func (r *Results) SummaryLine() string {
	var b strings.Builder
	fmt.Fprintf(&b, "audit: ops=%d answers=%d broken=%d unmet=%d", r.Audit.Ops, r.Audit.Answers, len(r.Audit.Breaches), len(r.Unmet))
	for _, name := range summaryFigures {
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

// Names returns the names of the figures in alphabetical order.
func (r *Results) Names() []string {
	var names []string
	for n := range r.Figures {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// SetLabLag sets the greatest delay of the lab itself. If the delay exceeds the slack of the rules, the run is
// void, because the recorded times are then no evidence against a scheduler.
func (r *Results) SetLabLag(ms, slack float64) {
	r.Figures["lab_lag_ms"] = ms
	if ms > slack {
		r.Void = fmt.Sprintf("the lab itself was late by %.0f ms, more than the slack of %.0f ms: this machine is too busy for it", ms, slack)
	}
}

// Held reports whether the run passed: no rule was broken and all expectations were met.
func (r *Results) Held() bool { return len(r.Audit.Breaches) == 0 && len(r.Unmet) == 0 }
