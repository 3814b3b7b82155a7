// Package dispatch holds every decision of a scheduler: which worker an op is pushed to, when it is
// pushed again, and how it ends. It does no input or output and reads no clock.
// How it is called: New makes the dispatcher of one scheduler. The inputs (Clock, List..., Entry, Mark, Op,
// Key, Report, Told, Unanswered, Note, Outcome, Left, Stop) only update what is known. After them the host
// pulls decisions with Next, one by one, until Nothing comes. Workers and ops are small indices that the host
// gives out; an op's index is free again after Forget. Times are tenths of a millisecond.
// The interface is the exported names of this package; docs/design.md says what is kept of the paper's
// mechanism and when each departure acts.
package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/deadlines"
	"woaddyke/internal/base/sprt"
	"woaddyke/internal/base/stats"
	"woaddyke/internal/cluster/peerload"
)

// Time is a moment or a span in tenths of a millisecond.
type Time int64

const second Time = 10_000

// Verb is what Next decided: with an op, a worker and a span where the verb needs them.
type Verb int

// The span is a time-out, a nack's pause or a wake's delay.
const (
	NoDecision Verb = iota
	Push
	Probe
	CancelAttempt // closes the push that is out; its outcome is Withdrawn, or what came just before
	Nack
	DeadLetter
	SetTimer
	Forget
	ReportToPeer // another scheduler, its number in the op's place, that the span is the pushes out here at a worker
)

// ShadowedDecision is a kind of decision: the two workers asked, the one pushed to, a word to another scheduler.
type ShadowedDecision int

const (
	ShadowedPair ShadowedDecision = iota
	ShadowedPlacement
	ShadowedReport
)

// Outcome is how a push ended.
type Outcome int

// Refused, Unreached, Unsent and Unable prove that the push never ran; after the others it may have.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
	LocalExhaustion // unsent, as this machine lacked the means
	InvalidRequest  // the worker says that the op itself is at fault
)

// LoadReport is a worker's report; a value below 0 was not reported.
type LoadReport struct{ RunningJobs, QueuedJobs, FreeSlots, FreeMemory float64 }

const (
	maxCount  = 15          // T_m: longer queues count as this long
	ageing    = 10 * second // the counters halve this often
	maxLooks  = 3           // pairs probed before an op without a place in time is given up
	homeShare = 1.5         // a key's workers, over what its ops would fill alone
	telling   = 1.3         // finishes closer than this are noise, and the draw decides
	reportLag = second / 10 // a report may not yet show pushes younger than this
	regulars  = 4           // workers of its own order of which a scheduler is told by the others
	recent    = 10 * second // word from another scheduler older than this says nothing about now
	allKeys   = 0           // under which all are counted
	maxKeys   = 4096        // keys counted; of one beyond them nothing says that it is asked for often
	rise      = 1.5         // arrivals may grow by so much before it shows in what is served
	healthMax = 15 * second // a verdict on a worker older than this says nothing about now
)

type reading struct {
	load   LoadReport
	at     Time // when the probe was answered
	asked  Time // when it was sent
	paired bool
}

// place is where a push stood in a worker's queue, and how long it took to start.
type place struct {
	place float64
	took  Time
}

// start is when a job started and how long after its push.
type start struct{ at, took Time }

type worker struct {
	known, ready, listed bool
	zone, cell, kind     int
	mark                 uint64 // its name, hashed: the same at every scheduler
	since                Time
	readings             []reading // the last few, newest last
	places               []place
	strides              stats.Part             // how long jobs ran, over what was expected
	health               sprt.Test[Time]        // what outcomes say of it
	out                  []*op                  // this scheduler's pushes that are out there
	words                peerload.Reports[Time] // of other schedulers: how many pushes they have out there
	audience             []int                  // schedulers whose regular it is: told what is pushed to it
	heard                Time                   // when it last said anything of a push
}

// machines is what is learned of a kind: who meets a worker once a minute learns little of that one.
type machines struct {
	strides stats.Pool // of all its workers
	slots   float64    // the most that were seen free at one
}

type op struct {
	index, number, cat int  // number: in order of arrival
	most               int  // pushes, as of when it came
	ttl, came, work    Time // came: when the client first asked, as far as can be told
	slots, memory      float64
	key                uint64 // what it needs at its worker, hashed; 0: nothing that workers keep
	pair               []int  // the workers probed
	got                []bool
	asked, looks, legs int     // probes sent, pairs probed in vain, pushes
	place              float64 // in the worker's queue when it was pushed
	next               Time    // held until then before another pair is probed
	askedAt            Time
	out                bool // a push is out
	worker             int  // of the last push
	sentAt             Time
	started, heard     Time  // when the last push was said to start, 0 before; when anything was heard of it
	foretold           Time  // how long it was to wait
	looked             bool  // a report said that it was to start at once
	silent             bool  // it was counted against its worker
	unfit              []int // the workers that said so of it
	ran, over          bool  // ran: some push may have run
	ranAt              Time  // when the first such push was sent
	ranZone, ranGrp    int
	unableTries        int // pushes and probes for which this machine lacked the means
}

// digest is what is worked out of the samples for many decisions: over a large fleet, working it out for each
// worker of each op took more CPU than a scheduler has.
type digest struct {
	trip, longest Time    // the middle probe round trip; the longest start of late
	misled        bool    // reports come late
	scarce        bool    // ops that were given all looks find no place
	truth         float64 // the share of pushes that started at once, of those that a report said would
}

// site is what is picked out of the terms, once: looked up by name at each use, they took half of the CPU.
type site struct {
	step, dial, call, warmAfter, tipAfter, progress, longestPause Time
	coldFrom, overload, crossZone, connections                    float64
	me, all                                                       int
	maxPushes, myZone                                             int
	probes, cancel, tellsStart, perWork, peers, keys              bool
}

// Dispatcher is one scheduler's decisions and what they rest on.
type Dispatcher struct {
	chance            stats.Chance
	site              site
	other             *site // of another shape that is watched for
	otherwise         [ShadowedReport + 1]int
	categories        []category // by place
	entries           []int      // the places of those in force, in the order of the terms
	now               Time
	workers           []worker
	ready             int
	zones             []sprt.Test[Time]              // by zone: can its workers be reached from here?
	ops               []*op                          // by index
	tells             [][2]int                       // to whom, of which worker
	numbered          int                            // ops so far
	held              []*op                          // with no push out, in order of arrival
	out               [3]*deadlines.Queue[*op, Time] // pushes out, by what is awaited of them
	late              []*op                          // those overdue in this round, in order of arrival
	at                int                            // the number that Next goes on from
	a, b              [maxCount + 1]float64
	halved            Time
	taus              []Time          // from probe to start, the last few
	trips             []Time          // probe round trips, the last few
	room              sprt.Test[Time] // do ops find a place?
	starts            []start         // of jobs that were to start at once, the last few
	least             Time            // the least target latency
	dearest           dearest
	kinds             []machines
	asks, askedBefore map[uint64]float64 // of each key in this span of ageing, and in the last
	placed            float64            // all workers' places and what they took
	took              Time
	fresh             bool // the digest holds
	round             bool // late is worked out
	digest            digest
	asked, served     float64 // ops, of late
	takes             bool    // workers say at once that they have taken a push
	woken             Time
	why               RejectionReason // of the last op that was given up
}

// New starts a scheduler's dispatcher from its seed and the site's terms.
func New(seed uint64, terms map[string]any) *Dispatcher {
	d := &Dispatcher{chance: stats.NewChance(seed), asks: map[uint64]float64{},
		kinds: make([]machines, 1), room: sprt.New(0.1, 0.5, healthMax/3)}
	d.site = siteOf(terms)
	d.SetCategories(terms)
	for k := range d.out {
		d.out[k] = deadlines.New(func(o *op) (base, ttl Time, counts bool) {
			return d.silentFrom(o, k), o.ttl, o.out && !o.over && !o.silent && d.awaited(o) == k
		})
	}
	return d
}

// SetShadowSettings has this dispatcher count how often another shape's terms would have had it decide otherwise.
func (d *Dispatcher) SetShadowSettings(terms map[string]any) {
	s := siteOf(terms)
	d.other = &s
}

// ShadowDivergence is what a watch has counted.
func (d *Dispatcher) ShadowDivergence() [ShadowedReport + 1]int { return d.otherwise }

// both decides, under a watch first as the other terms would, with the same luck. No words come there.
func (d *Dispatcher) both(kind ShadowedDecision, decide func() []int) []int {
	if d.other == nil {
		return decide()
	}
	site, chance := d.site, d.chance
	d.site, d.site.peers = *d.other, false
	would := decide()
	d.site, d.chance = site, chance
	is := decide()
	d.otherwise[kind] += stats.Bit(!slices.Equal(would, is))
	return is
}

// AdvanceClock tells the time; it never goes back.
func (d *Dispatcher) AdvanceClock(now Time) {
	d.now = max(d.now, now)
	d.at, d.late, d.fresh, d.round = 0, d.late[:0], false, false
}

// BeginSnapshot begins a whole list: a worker that it does not name is gone.
func (d *Dispatcher) BeginSnapshot() {
	for i := range d.workers {
		d.workers[i].listed = false
	}
}

// UpsertWorker is one line of a list.
func (d *Dispatcher) UpsertWorker(i, zone, cell int, ready bool, since Time) {
	for len(d.workers) <= i {
		d.workers = append(d.workers, worker{})
	}
	w := &d.workers[i]
	if !w.known || since > w.since {
		// A restarted process is another worker under the same id: nothing learned of the old one holds.
		d.unlearn(w)
		*w = worker{known: true, since: since, out: w.out, health: sprt.New(0.05, 0.5, healthMax)}
		for _, o := range w.out {
			d.await(o) // silence of what the old process has is measured from its sending again
		}
	}
	for len(d.zones) <= zone {
		d.zones = append(d.zones, sprt.New(0.2, 0.9, healthMax)) // a few dead workers don't make a zone lost
	}
	w.zone, w.cell, w.ready, w.listed = zone, cell, ready, true
}

// IdentifyWorker gives a listed worker's name, hashed, and its kind of machine. Schedulers must hash names alike.
func (d *Dispatcher) IdentifyWorker(i int, mark uint64, kind int) {
	for len(d.kinds) <= kind {
		d.kinds = append(d.kinds, machines{})
	}
	if w := &d.workers[i]; len(w.strides) == 0 {
		w.mark, w.kind = mark, kind
	}
}

// EndUpdate ends a list.
func (d *Dispatcher) EndUpdate() {
	d.ready = 0
	for i := range d.workers {
		w := &d.workers[i]
		w.ready = w.ready && w.listed
		d.ready += stats.Bit(w.ready)
	}
	if s := d.site; s.peers && s.connections > 0 || d.other != nil && d.other.peers && d.other.connections > 0 {
		d.audiences()
	}
}

// AddOp is a new op. It returns false for a category that the terms do not name and the host has not kept.
func (d *Dispatcher) AddOp(i, cat int, ttl Time, slots, memory float64, work Time) bool {
	if cat < 0 || cat >= len(d.categories) || !d.categories[cat].named() {
		return false
	}
	for len(d.ops) <= i {
		d.ops = append(d.ops, nil)
	}
	// A client's TTL runs over all its tries: one that comes with less of it than others has come before.
	c := &d.categories[cat]
	c.longest, c.open = max(c.longest, ttl-d.now), c.open+1
	o := &op{index: i, cat: cat, ttl: ttl, came: ttl - c.longest, slots: slots, memory: memory, work: work,
		most: d.site.maxPushes}
	o.number, d.numbered = d.numbered, d.numbered+1
	d.ops[i], d.held = o, append(d.held, o)
	return true
}

// SetPriorAttempt says of a new op that a push of another scheduler may have run, where and since when. A zone or a cell
// that is not known here is -1.
func (d *Dispatcher) SetPriorAttempt(i, zone, cell int, at Time) {
	o := d.ops[i]
	o.ran, o.ranAt, o.ranZone, o.ranGrp = true, at, zone, cell
}

// SetAffinityKey gives what a new op needs at its worker, hashed: data that workers keep for a while or must fetch.
func (d *Dispatcher) SetAffinityKey(i int, key uint64) {
	d.age()
	if d.ops[i].key = key; len(d.asks) < maxKeys || d.asks[key] > 0 {
		d.asks[key]++
	}
	d.asks[allKeys]++
}

func (d *Dispatcher) op(i int) *op {
	if i < 0 || i >= len(d.ops) {
		return nil
	}
	return d.ops[i]
}

// AttemptProgress is word of a push that is out: it has started, or how far it is; below 0, it is taken and no more.
func (d *Dispatcher) AttemptProgress(i, leg int, started bool, done float64) {
	o := d.op(i)
	if o == nil || !o.out || leg != o.legs-1 {
		return
	}
	before := d.awaited(o)
	o.heard, d.workers[o.worker].heard, d.fresh = max(d.now, o.sentAt+1), d.now, false
	if done < 0 && !d.takes {
		d.takes = true // pushes that were not taken yet are awaited otherwise from here on
		for _, p := range d.ops {
			if p != nil && p.out && p != o {
				d.await(p)
			}
		}
	}
	if started && o.started == 0 {
		o.started = d.now
		if o.looked {
			d.starts = stats.Keep(d.starts, start{d.now, d.now - o.sentAt})
		}
		d.taus = stats.Keep(d.taus, d.now-o.askedAt)
		d.zones[d.workers[o.worker].zone].Add(d.now, true) // of the worker a start says little: it may fail all
		if o.place > 0 {
			d.learnPlace(&d.workers[o.worker], place{o.place, d.now - o.sentAt})
		}
	}
	if d.awaited(o) != before {
		d.await(o)
	}
}

// AttemptEnded ends a push.
func (d *Dispatcher) AttemptEnded(i, leg int, how Outcome, elapsed Time, over bool) {
	o := d.op(i)
	if o == nil || !o.out || leg != o.legs-1 {
		return
	}
	o.out = false
	d.held = slices.Insert(d.held, d.heldFrom(o.number), o)
	o.over = o.over || over
	w := &d.workers[o.worker]
	w.out = slices.DeleteFunc(w.out, func(p *op) bool { return p == o })
	d.tell(o.worker)
	if how != TimedOut && how != Cancelled && how != NotSent && how != LocalExhaustion {
		w.heard = d.now // those are this side's own word
	}
	switch how {
	case Succeeded:
		for _, i := range o.unfit { // the op is sound, so it was they that were at fault
			d.judge(i, false)
		}
		if o.started > 0 {
			w.strides.Add(&d.kinds[w.kind].strides, float64(d.now-o.started)/float64(max(d.expected(o), 1)))
			d.ran(o.cat, d.now-o.started)
			d.fresh = false
		} else if !d.site.tellsStart {
			d.taus = stats.Keep(d.taus, d.now-o.askedAt)
		}
		d.judge(o.worker, true)
		d.met(0, 1)
	case LocalExhaustion:
		d.unable(o)
	case Rejected, NotSent, Unreachable:
	default:
		if !o.ran { // the first push that may have run fixes group and window for every further one
			o.ran, o.ranAt, o.ranZone, o.ranGrp = true, o.sentAt, w.zone, w.cell
		}
	}
	if how == InvalidRequest {
		o.unfit = append(o.unfit, o.worker)
	}
	if how == Failed || how == TimedOut || how == ConnectionLost || how == Unreachable {
		d.judge(o.worker, false)
	}
	o.looks = 0
	o.unask()
}

func (d *Dispatcher) learnPlace(w *worker, p place) {
	if len(w.places) == stats.Few {
		d.placed, d.took = d.placed-w.places[0].place, d.took-w.places[0].took
	}
	w.places = stats.Keep(w.places, p)
	d.placed, d.took = d.placed+p.place, d.took+p.took
}

// unask lets the next pair be drawn.
func (o *op) unask() { o.pair, o.got, o.asked = nil, nil, 0 }

// ClientDisconnected says that the client has gone; nothing is owed.
func (d *Dispatcher) ClientDisconnected(i int) {
	if o := d.op(i); o != nil {
		o.over = true
	}
}

// LimitDeadlines cuts every TTL short: an op kept beyond the end of its scheduler's process would have no answer.
func (d *Dispatcher) LimitDeadlines(at Time) {
	for _, o := range d.ops {
		if o != nil {
			o.ttl = min(o.ttl, at)
		}
	}
}

// margin is kept before the TTL for the final answer: a time-out and the answer to it take a step each.
func (d *Dispatcher) margin() Time { return 2*d.site.step + 1 }

// Next decides one thing; the host calls it until it says Nothing.
func (d *Dispatcher) Next() (do Verb, op, worker int, span Time) {
	for o := d.following(); o != nil; o = d.following() {
		if do, worker, span := d.decide(o); do != NoDecision {
			if do == Forget || do == Push {
				d.held = slices.Delete(d.held, d.heldFrom(o.number), d.heldFrom(o.number+1))
			}
			if do == Forget {
				d.ops[o.index] = nil
				d.categories[o.cat].open--
			}
			return do, o.index, worker, span
		}
		d.at = o.number + 1
	}
	d.at = d.numbered
	if len(d.tells) > 0 {
		x := d.tells[0]
		d.tells = d.tells[1:]
		return ReportToPeer, x[0], x[1], Time(len(d.workers[x[1]].out))
	}
	if at := d.due(); at > d.now && (d.woken <= d.now || at < d.woken) && at < math.MaxInt64 {
		d.woken = at
		return SetTimer, 0, 0, at - d.now
	}
	return NoDecision, 0, 0, 0
}

// due is the next moment at which something may be decided without an input.
func (d *Dispatcher) due() Time {
	at := Time(math.MaxInt64)
	for k, a := range d.out {
		if limit, ok := a.Next(d.allowance(k)); ok {
			at = min(at, max(limit, d.now+1))
		}
	}
	for _, o := range d.held {
		if o.over {
			continue
		}
		look := o.askedAt + d.shortWait()
		if o.pair == nil {
			look = max(o.next, d.now+second/20)
		}
		at = min(at, look, max(o.ttl-d.margin(), d.now+1)) // a wait for probes must not outlast the TTL
	}
	return at
}

func (d *Dispatcher) heldFrom(number int) int {
	k, _ := slices.BinarySearchFunc(d.held, number, func(o *op, n int) int { return o.number - n })
	return k
}

// following is the next op of which something may be to decide: no push of it is out, or that one is overdue.
func (d *Dispatcher) following() *op {
	if !d.round {
		d.round = true
		for k, a := range d.out {
			d.late = append(d.late, a.Overdue(d.now, d.allowance(k))...)
		}
		slices.SortFunc(d.late, func(a, b *op) int { return a.number - b.number })
	}
	for len(d.late) > 0 && (d.late[0].number < d.at || !d.late[0].out) {
		d.late = d.late[1:]
	}
	k := d.heldFrom(d.at)
	if k < len(d.held) && (len(d.late) == 0 || d.held[k].number < d.late[0].number) {
		return d.held[k]
	}
	if len(d.late) == 0 {
		return nil
	}
	return d.late[0]
}

func (d *Dispatcher) decide(o *op) (do Verb, worker int, span Time) {
	switch {
	case o.over && !o.out:
		return Forget, 0, 0
	case o.out && !o.over && !o.silent && d.now >= d.overdue(o):
		o.silent = true
		d.judge(o.worker, false)
		// Connections fall silent and answers get lost. Such ops stood out until their TTL, too late for more.
		if (o.started > 0 || d.untaken(o)) && d.site.cancel && d.repeatable(o) {
			return CancelAttempt, 0, 0
		}
		return NoDecision, 0, 0
	case o.over || o.out:
		return NoDecision, 0, 0
	case d.now >= o.ttl-d.margin() || !d.repeatable(o):
		return d.giveUp(o, 0, d.spent(o))
	}
	if o.pair == nil {
		if d.now < o.next {
			return NoDecision, 0, 0
		}
		if o.legs+o.looks == 0 && o.next == 0 && d.figures().scarce && d.chance.Uniform() > d.rank(o) {
			return d.giveUp(o, d.spare(o)/2, CapacityShort)
		}
		from := d.candidates(o)
		if o.looks > 0 || d.site.peers {
			// Looking again where a queue was just seen costs probes and finds it still there.
			from = slices.DeleteFunc(from, func(i int) bool { return d.hopeless(o, i) })
			if len(from) == 0 {
				d.found(o, false)
				return d.giveUp(o, d.spare(o)/2, QueuesTooLong)
			}
		}
		if len(from) == 0 {
			if d.now > o.came+d.categories[o.cat].target {
				return d.giveUp(o, 0, NoEligibleWorker)
			}
			return NoDecision, 0, 0
		}
		o.pair = d.both(ShadowedPair, func() []int { return d.pair(o, d.homes(o, slices.Clone(from)), len(from)) })
		o.got = make([]bool, len(o.pair))
		o.askedAt = d.now
		d.met(stats.Bit(len(o.pair) > 0 && o.looks+o.legs == 0), 0)
	}
	if d.site.probes && o.asked < len(o.pair) {
		o.asked++
		return Probe, o.pair[o.asked-1], 0
	}
	if o.asked > 0 && slices.Contains(o.got, false) && d.now < o.askedAt+d.shortWait() {
		return NoDecision, 0, 0
	}
	i, spare, wait := d.both(ShadowedPlacement, func() []int { return []int{d.choose(o)} })[0], d.spare(o), Time(0)
	excess := max(spare, 1)
	if i >= 0 {
		wait = d.wait(o, i)
		excess = wait - d.patience(o)
	}
	if excess > 0 {
		// A queue that outlasts the op's time only makes it late there, and others too: look again, or say no.
		if o.looks++; spare <= 0 || o.looks >= d.looks(o) {
			d.found(o, false)
			return d.giveUp(o, min(excess, spare/2), StartTooLate)
		}
		o.unask()
		o.next = d.now + spare/4 + 1
		return NoDecision, 0, 0
	}
	d.found(o, true)
	o.place, o.foretold, o.looked = d.place(o, i), wait, d.fits(o, i)
	w := &d.workers[i]
	o.out, o.worker, o.sentAt, o.heard, o.started, o.silent = true, i, d.now, d.now, 0, false
	o.legs++
	w.out = append(w.out, o)
	d.tell(i)
	d.await(o)
	return Push, i, max(o.ttl-d.now-d.margin()+d.site.step, 1)
}
