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

// Dispatcher is one scheduler's decisions and what they rest on.
type Dispatcher struct {
	chance            stats.Chance
	settings          Settings  // but for the categories
	shadow            *Settings // under which decisions are repeated, nil for none
	otherwise         [ShadowedReport + 1]int
	categories        []category // by place
	entries           []int      // the places of those in force, in the order of the settings
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
}

// New starts a scheduler's dispatcher from its seed and its settings.
func New(seed uint64, settings Settings) *Dispatcher {
	d := &Dispatcher{chance: stats.NewChance(seed), asks: map[uint64]float64{},
		kinds: make([]machines, 1), room: sprt.New(0.1, 0.5, healthMax/3), settings: settings}
	d.settings.Categories = nil // they change while the dispatcher runs; d.categories holds those in force
	d.SetCategories(settings)
	for k := range d.out {
		d.out[k] = deadlines.New(func(o *op) (base, ttl Time, counts bool) {
			return d.silentFrom(o, k), o.ttl, o.out && !o.over && !o.silent && d.awaited(o) == k
		})
	}
	return d
}

// SetShadowSettings has this dispatcher count how often other settings would have had it decide otherwise.
func (d *Dispatcher) SetShadowSettings(settings Settings) { d.shadow = &settings }

// ShadowDivergence returns the decisions that shadow settings would have made otherwise.
func (d *Dispatcher) ShadowDivergence() [ShadowedReport + 1]int { return d.otherwise }

// withShadow decides, where there are shadow settings first under these, with the same random numbers. Peer
// reports are never sent under them, so they decide as if there were none.
func (d *Dispatcher) withShadow(kind ShadowedDecision, decide func() []int) []int {
	if d.shadow == nil {
		return decide()
	}
	settings, chance := d.settings, d.chance
	d.settings, d.settings.PeerMessages = *d.shadow, false
	would := decide()
	d.settings, d.chance = settings, chance
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

// UpsertWorker takes up one entry of an endpoint list.
func (d *Dispatcher) UpsertWorker(i int, entry WorkerEntry) {
	for len(d.workers) <= i {
		d.workers = append(d.workers, worker{})
	}
	w := &d.workers[i]
	if !w.known || entry.StartedAt > w.since {
		// A restarted process is another worker under the same id: nothing learned of the old one holds.
		d.unlearn(w)
		*w = worker{known: true, since: entry.StartedAt, out: w.out, health: sprt.New(0.05, 0.5, healthMax)}
		for _, o := range w.out {
			d.await(o) // silence of what the old process has is measured from its sending again
		}
	}
	for len(d.zones) <= entry.Zone {
		d.zones = append(d.zones, sprt.New(0.2, 0.9, healthMax)) // a few dead workers don't make a zone lost
	}
	w.zone, w.cell, w.ready, w.listed = entry.Zone, entry.Group, entry.Ready, true
	for len(d.kinds) <= entry.MachineKind {
		d.kinds = append(d.kinds, machines{})
	}
	if len(w.strides) == 0 { // what was learned of a worker counts in its kind's pool, so the kind must stay
		w.mark, w.kind = entry.IdentityHash, entry.MachineKind
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
	if d.settings.exchangesPeerReports() || d.shadow != nil && d.shadow.exchangesPeerReports() {
		d.audiences()
	}
}

// AddOp admits a new op. It returns false for a category that the settings do not name and the host has not
// retained.
func (d *Dispatcher) AddOp(i int, spec OpSpec) bool {
	if spec.Category < 0 || spec.Category >= len(d.categories) || !d.categories[spec.Category].named() {
		return false
	}
	for len(d.ops) <= i {
		d.ops = append(d.ops, nil)
	}
	// A client's TTL runs over all its tries: one that comes with less of it than others has come before.
	c := &d.categories[spec.Category]
	c.longest, c.open = max(c.longest, spec.TTL-d.now), c.open+1
	o := &op{index: i, cat: spec.Category, ttl: spec.TTL, came: spec.TTL - c.longest, slots: spec.Slots,
		memory: spec.Memory, work: spec.Work, most: d.settings.MaxAttempts, key: spec.AffinityKey}
	o.number, d.numbered = d.numbered, d.numbered+1
	d.ops[i], d.held = o, append(d.held, o)
	if o.key != 0 {
		d.countKey(o.key)
	}
	if p := spec.PriorAttempt; p != nil {
		o.ran, o.ranAt, o.ranZone, o.ranGrp = true, p.StartedAt, p.Zone, p.Group
	}
	return true
}

// countKey counts how often an affinity key is asked for.
func (d *Dispatcher) countKey(key uint64) {
	d.age()
	if len(d.asks) < maxKeys || d.asks[key] > 0 {
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
		} else if !d.settings.ReportsStarts {
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
func (d *Dispatcher) margin() Time { return 2*d.settings.Step + 1 }

// Next returns one decision; the host calls it until its kind is NoDecision.
func (d *Dispatcher) Next() Decision {
	for o := d.following(); o != nil; o = d.following() {
		if next := d.decide(o); next.Kind != NoDecision {
			next.Op = o.index
			d.carryOut(o, next.Kind)
			return next
		}
		d.at = o.number + 1
	}
	d.at = d.numbered
	if len(d.tells) > 0 {
		x := d.tells[0]
		d.tells = d.tells[1:]
		return Decision{Kind: ReportToPeer, Peer: x[0], Worker: x[1], InFlight: len(d.workers[x[1]].out)}
	}
	if at := d.due(); at > d.now && (d.woken <= d.now || at < d.woken) && at < math.MaxInt64 {
		d.woken = at
		return Decision{Kind: SetTimer, Duration: at - d.now}
	}
	return Decision{}
}

// carryOut takes an op that is pushed or forgotten out of the pending ones.
func (d *Dispatcher) carryOut(o *op, kind DecisionKind) {
	if kind != Forget && kind != Push {
		return
	}
	k := d.heldFrom(o.number)
	d.held = slices.Delete(d.held, k, k+1)
	if kind == Forget {
		d.ops[o.index] = nil
		d.categories[o.cat].open--
	}
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

// decide returns what is due for one op, without its index.
func (d *Dispatcher) decide(o *op) Decision {
	switch {
	case o.over && !o.out:
		return Decision{Kind: Forget}
	case o.over:
		return Decision{}
	case o.out:
		return d.checkSilence(o)
	case d.now >= o.ttl-d.margin() || !d.repeatable(o):
		return d.giveUp(o, 0, d.spent(o))
	}
	if o.pair == nil {
		if next, drawn := d.drawPair(o); !drawn {
			return next
		}
	}
	if d.settings.Probes && o.asked < len(o.pair) {
		o.asked++
		return Decision{Kind: Probe, Worker: o.pair[o.asked-1]}
	}
	if o.asked > 0 && slices.Contains(o.got, false) && d.now < o.askedAt+d.shortWait() {
		return Decision{}
	}
	return d.placeOp(o)
}

// checkSilence counts an overdue attempt against its worker, once, and cancels it where another one may follow.
func (d *Dispatcher) checkSilence(o *op) Decision {
	if o.silent || d.now < d.overdue(o) {
		return Decision{}
	}
	o.silent = true
	d.judge(o.worker, false)
	// A silent connection or a lost answer would otherwise occupy the op until its TTL, too late for a retry.
	if (o.started > 0 || d.untaken(o)) && d.settings.CancelsAttempts && d.repeatable(o) {
		return Decision{Kind: CancelAttempt}
	}
	return Decision{}
}

// drawPair draws the workers to probe; not drawn, the op waits or is given up.
func (d *Dispatcher) drawPair(o *op) (next Decision, drawn bool) {
	if d.now < o.next {
		return Decision{}, false
	}
	if o.legs+o.looks == 0 && o.next == 0 && d.figures().scarce && d.chance.Uniform() > d.rank(o) {
		return d.giveUp(o, d.spare(o)/2, CapacityShort), false
	}
	from := d.candidates(o)
	if o.looks > 0 || d.settings.PeerMessages {
		// Looking again where a queue was just seen costs probes and finds it still there.
		from = slices.DeleteFunc(from, func(i int) bool { return d.hopeless(o, i) })
		if len(from) == 0 {
			d.found(o, false)
			return d.giveUp(o, d.spare(o)/2, QueuesTooLong), false
		}
	}
	if len(from) == 0 {
		if d.now > o.came+d.categories[o.cat].LatencyObjective {
			return d.giveUp(o, 0, NoEligibleWorker), false
		}
		return Decision{}, false
	}
	o.pair = d.withShadow(ShadowedPair, func() []int { return d.pair(o, d.homes(o, slices.Clone(from)), len(from)) })
	o.got = make([]bool, len(o.pair))
	o.askedAt = d.now
	d.met(stats.Bit(len(o.pair) > 0 && o.looks+o.legs == 0), 0)
	return Decision{}, true
}

// placeOp pushes the op to the worker chosen of its pair, looks for another pair, or gives the op up.
func (d *Dispatcher) placeOp(o *op) Decision {
	chosen := d.withShadow(ShadowedPlacement, func() []int { return []int{d.choose(o)} })[0]
	spare, wait := d.spare(o), Time(0)
	excess := max(spare, 1)
	if chosen >= 0 {
		wait = d.wait(o, chosen)
		excess = wait - d.patience(o)
	}
	if excess <= 0 {
		return d.push(o, chosen, wait)
	}
	// A queue that outlasts the op's time would make it late there, and those behind it too.
	if o.looks++; spare <= 0 || o.looks >= d.looks(o) {
		d.found(o, false)
		return d.giveUp(o, min(excess, spare/2), StartTooLate)
	}
	o.unask()
	o.next = d.now + spare/4 + 1
	return Decision{}
}

// push starts an attempt at a worker, where the op is predicted to wait for so long.
func (d *Dispatcher) push(o *op, i int, wait Time) Decision {
	d.found(o, true)
	o.place, o.foretold, o.looked = d.place(o, i), wait, d.fits(o, i)
	w := &d.workers[i]
	o.out, o.worker, o.sentAt, o.heard, o.started, o.silent = true, i, d.now, d.now, 0, false
	o.legs++
	w.out = append(w.out, o)
	d.tell(i)
	d.await(o)
	return Decision{Kind: Push, Worker: i, Duration: max(o.ttl-d.now-d.margin()+d.settings.Step, 1)}
}
