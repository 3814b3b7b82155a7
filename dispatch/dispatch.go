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
	maxState             = 15          // T_m: longer queues count as this long
	counterHalfLife      = 10 * second // the counters halve this often
	maxProbeRounds       = 3           // pairs probed before an op without a place in time is given up
	keyWorkersFactor     = 1.5         // a key's workers, over what its ops would fill alone
	finishNoiseRatio     = 1.3         // finishes closer than this are noise, and the draw decides
	reportLag            = second / 10 // a report may not yet show pushes younger than this
	subscribersPerWorker = 4           // workers of its own order of which a scheduler is told by the others
	maxPeerReportAge     = 10 * second // word from another scheduler older than this says nothing about now
	allKeys              = 0           // under which all are counted
	maxCountedKeys       = 4096        // keys counted; of one beyond them nothing says that it is asked for often
	demandHeadroom       = 1.5         // arrivals may grow by so much before it shows in what is served
	maxVerdictAge        = 15 * second // a verdict on a worker older than this says nothing about now
)

type reading struct {
	load       LoadReport
	answeredAt Time // when the probe was answered
	sentAt     Time // when it was sent
	paired     bool
}

// queueSample is where a push stood in a worker's queue, and how long it took to start.
type queueSample struct {
	position float64
	wait     Time
}

// startSample is when a job started and how long after its push.
type startSample struct{ at, delay Time }

type worker struct {
	known, ready, listed bool
	zone, group, kind    int
	identityHash         uint64 // its name, hashed: the same at every scheduler
	startedAt            Time
	readings             []reading // the last few, newest last
	queueSamples         []queueSample
	serviceTimeRatios    stats.Part             // how long jobs ran, over what was expected
	health               sprt.Test[Time]        // what outcomes say of it
	inFlight             []*op                  // this scheduler's pushes that are out there
	peerReports          peerload.Reports[Time] // of other schedulers: how many pushes they have out there
	subscribers          []int                  // schedulers whose regular it is: told what is pushed to it
	heardAt              Time                   // when it last said anything of a push
}

// machineKind is what is learned of a kind: who meets a worker once a minute learns little of that one.
type machineKind struct {
	serviceTimeRatios stats.Pool // of all its workers
	maxFreeSlots      float64    // the most that were seen free at one
}

type op struct {
	index, number, category           int  // number: in order of arrival
	maxAttempts                       int  // pushes, as of when it came
	ttl, arrivedAt, work              Time // came: when the client first asked, as far as can be told
	slots, memory                     float64
	key                               uint64 // what it needs at its worker, hashed; 0: nothing that workers keep
	pair                              []int  // the workers probed
	answered                          []bool
	probesSent, probeRounds, attempts int     // probes sent, pairs probed in vain, pushes
	queuePosition                     float64 // in the worker's queue when it was pushed
	notBefore                         Time    // held until then before another pair is probed
	probedAt                          Time
	inFlight                          bool // a push is out
	worker                            int  // of the last push
	sentAt                            Time
	startedAt, heardAt                Time  // when the last push was said to start, 0 before; when anything was heard of it
	predictedWait                     Time  // how long it was to wait
	reportedIdle                      bool  // a report said that it was to start at once
	silenceCounted                    bool  // it was counted against its worker
	calledInvalidBy                   []int // the workers that said so of it
	mayHaveRun, finished              bool  // ran: some push may have run
	ranAt                             Time  // when the first such push was sent
	ranZone, ranGroup                 int
	exhaustions                       int // pushes and probes for which this machine lacked the means
}

// digest is what is worked out of the samples for many decisions: over a large fleet, working it out for each
// worker of each op took more CPU than a scheduler has.
type digest struct {
	probeRTT, maxStartDelay Time    // the middle probe round trip; the longest start of late
	reportsStale            bool    // reports come late
	capacityShort           bool    // ops that were given all looks find no place
	reportAccuracy          float64 // the share of pushes that started at once, of those that a report said would
}

// Dispatcher is one scheduler's decisions and what they rest on.
type Dispatcher struct {
	random                       stats.Chance
	settings                     Settings  // but for the categories
	shadow                       *Settings // under which decisions are repeated, nil for none
	divergence                   [ShadowedReport + 1]int
	categories                   []category // by place
	placesInForce                []int      // the places of those in force, in the order of the settings
	now                          Time
	workers                      []worker
	ready                        int
	zones                        []sprt.Test[Time]              // by zone: can its workers be reached from here?
	ops                          []*op                          // by index
	pendingPeerReports           [][2]int                       // to whom, of which worker
	admitted                     int                            // ops so far
	pending                      []*op                          // with no push out, in order of arrival
	inFlight                     [3]*deadlines.Queue[*op, Time] // pushes out, by what is awaited of them
	overdue                      []*op                          // those overdue in this round, in order of arrival
	nextNumber                   int                            // the number that Next goes on from
	observed, idleAfter          [maxState + 1]float64
	halvedAt                     Time
	startDelays                  []Time          // from probe to start, the last few
	probeRTTs                    []Time          // probe round trips, the last few
	placements                   sprt.Test[Time] // do ops find a place?
	startSamples                 []startSample   // of jobs that were to start at once, the last few
	minObjective                 Time            // the least target latency
	highestWeight                highestWeight
	kinds                        []machineKind
	keyCounts, previousKeyCounts map[uint64]float64 // of each key in this span of ageing, and in the last
	queuePositions               float64            // all workers' places and what they took
	queueWaits                   Time
	digestValid                  bool // the digest holds
	overdueCollected             bool // late is worked out
	digest                       digest
	opsAsking, opsServed         float64 // ops, of late
	workersAcknowledge           bool    // workers say at once that they have taken a push
	timerAt                      Time
}

// New starts a scheduler's dispatcher from its seed and its settings.
func New(seed uint64, settings Settings) *Dispatcher {
	d := &Dispatcher{random: stats.NewChance(seed), keyCounts: map[uint64]float64{},
		kinds: make([]machineKind, 1), placements: sprt.New(0.1, 0.5, maxVerdictAge/3), settings: settings}
	d.settings.Categories = nil // they change while the dispatcher runs; d.categories holds those in force
	d.SetCategories(settings)
	for k := range d.inFlight {
		d.inFlight[k] = deadlines.New(func(o *op) (base, ttl Time, counts bool) {
			return d.silenceSince(o, k), o.ttl, o.inFlight && !o.finished && !o.silenceCounted && d.awaited(o) == k
		})
	}
	return d
}

// SetShadowSettings has this dispatcher count how often other settings would have had it decide otherwise.
func (d *Dispatcher) SetShadowSettings(settings Settings) { d.shadow = &settings }

// ShadowDivergence returns the decisions that shadow settings would have made otherwise.
func (d *Dispatcher) ShadowDivergence() [ShadowedReport + 1]int { return d.divergence }

// withShadow decides, where there are shadow settings first under these, with the same random numbers. Peer
// reports are never sent under them, so they decide as if there were none.
func (d *Dispatcher) withShadow(kind ShadowedDecision, decide func() []int) []int {
	if d.shadow == nil {
		return decide()
	}
	settings, chance := d.settings, d.random
	d.settings, d.settings.PeerMessages = *d.shadow, false
	would := decide()
	d.settings, d.random = settings, chance
	is := decide()
	d.divergence[kind] += stats.Bit(!slices.Equal(would, is))
	return is
}

// AdvanceClock tells the time; it never goes back.
func (d *Dispatcher) AdvanceClock(now Time) {
	d.now = max(d.now, now)
	d.nextNumber, d.overdue, d.digestValid, d.overdueCollected = 0, d.overdue[:0], false, false
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
	if !w.known || entry.StartedAt > w.startedAt {
		// A restarted process is another worker under the same id: nothing learned of the old one holds.
		d.discardSamples(w)
		*w = worker{known: true, startedAt: entry.StartedAt, inFlight: w.inFlight, health: sprt.New(0.05, 0.5, maxVerdictAge)}
		for _, o := range w.inFlight {
			d.track(o) // silence of what the old process has is measured from its sending again
		}
	}
	for len(d.zones) <= entry.Zone {
		d.zones = append(d.zones, sprt.New(0.2, 0.9, maxVerdictAge)) // a few dead workers don't make a zone lost
	}
	w.zone, w.group, w.ready, w.listed = entry.Zone, entry.Group, entry.Ready, true
	for len(d.kinds) <= entry.MachineKind {
		d.kinds = append(d.kinds, machineKind{})
	}
	if len(w.serviceTimeRatios) == 0 { // what was learned of a worker counts in its kind's pool, so the kind must stay
		w.identityHash, w.kind = entry.IdentityHash, entry.MachineKind
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
		d.assignSubscribers()
	}
}

// AddOp admits a new op. It returns false for a category that the settings do not name and the host has not
// retained.
func (d *Dispatcher) AddOp(i int, spec OpSpec) bool {
	if spec.Category < 0 || spec.Category >= len(d.categories) || !d.categories[spec.Category].acceptsOps() {
		return false
	}
	for len(d.ops) <= i {
		d.ops = append(d.ops, nil)
	}
	// A client's TTL runs over all its tries: one that comes with less of it than others has come before.
	c := &d.categories[spec.Category]
	c.longestTTL, c.openOps = max(c.longestTTL, spec.TTL-d.now), c.openOps+1
	o := &op{index: i, category: spec.Category, ttl: spec.TTL, arrivedAt: spec.TTL - c.longestTTL, slots: spec.Slots,
		memory: spec.Memory, work: spec.Work, maxAttempts: d.settings.MaxAttempts, key: spec.AffinityKey}
	o.number, d.admitted = d.admitted, d.admitted+1
	d.ops[i], d.pending = o, append(d.pending, o)
	if o.key != 0 {
		d.countAffinityKey(o.key)
	}
	if p := spec.PriorAttempt; p != nil {
		o.mayHaveRun, o.ranAt, o.ranZone, o.ranGroup = true, p.StartedAt, p.Zone, p.Group
	}
	return true
}

// countAffinityKey counts how often an affinity key is asked for.
func (d *Dispatcher) countAffinityKey(key uint64) {
	d.halveCounters()
	if len(d.keyCounts) < maxCountedKeys || d.keyCounts[key] > 0 {
		d.keyCounts[key]++
	}
	d.keyCounts[allKeys]++
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
	if o == nil || !o.inFlight || leg != o.attempts-1 {
		return
	}
	before := d.awaited(o)
	o.heardAt, d.workers[o.worker].heardAt, d.digestValid = max(d.now, o.sentAt+1), d.now, false
	if done < 0 && !d.workersAcknowledge {
		d.workersAcknowledge = true // pushes that were not taken yet are awaited otherwise from here on
		for _, p := range d.ops {
			if p != nil && p.inFlight && p != o {
				d.track(p)
			}
		}
	}
	if started && o.startedAt == 0 {
		o.startedAt = d.now
		if o.reportedIdle {
			d.startSamples = stats.Keep(d.startSamples, startSample{d.now, d.now - o.sentAt})
		}
		d.startDelays = stats.Keep(d.startDelays, d.now-o.probedAt)
		d.zones[d.workers[o.worker].zone].Add(d.now, true) // of the worker a start says little: it may fail all
		if o.queuePosition > 0 {
			d.addQueueSample(&d.workers[o.worker], queueSample{o.queuePosition, d.now - o.sentAt})
		}
	}
	if d.awaited(o) != before {
		d.track(o)
	}
}

// AttemptEnded ends a push.
func (d *Dispatcher) AttemptEnded(i, leg int, how Outcome, elapsed Time, over bool) {
	o := d.op(i)
	if o == nil || !o.inFlight || leg != o.attempts-1 {
		return
	}
	o.inFlight = false
	d.pending = slices.Insert(d.pending, d.pendingFrom(o.number), o)
	o.finished = o.finished || over
	w := &d.workers[o.worker]
	w.inFlight = slices.DeleteFunc(w.inFlight, func(p *op) bool { return p == o })
	d.reportToPeers(o.worker)
	if how != TimedOut && how != Cancelled && how != NotSent && how != LocalExhaustion {
		w.heardAt = d.now // those are this side's own word
	}
	switch how {
	case Succeeded:
		for _, i := range o.calledInvalidBy { // the op is sound, so it was they that were at fault
			d.recordVerdict(i, false)
		}
		if o.startedAt > 0 {
			w.serviceTimeRatios.Add(&d.kinds[w.kind].serviceTimeRatios, float64(d.now-o.startedAt)/float64(max(d.expectedServiceTime(o), 1)))
			d.addServiceTime(o.category, d.now-o.startedAt)
			d.digestValid = false
		} else if !d.settings.ReportsStarts {
			d.startDelays = stats.Keep(d.startDelays, d.now-o.probedAt)
		}
		d.recordVerdict(o.worker, true)
		d.countDemand(0, 1)
	case LocalExhaustion:
		d.refundAttempt(o)
	case Rejected, NotSent, Unreachable:
	default:
		if !o.mayHaveRun { // the first push that may have run fixes group and window for every further one
			o.mayHaveRun, o.ranAt, o.ranZone, o.ranGroup = true, o.sentAt, w.zone, w.group
		}
	}
	if how == InvalidRequest {
		o.calledInvalidBy = append(o.calledInvalidBy, o.worker)
	}
	if how == Failed || how == TimedOut || how == ConnectionLost || how == Unreachable {
		d.recordVerdict(o.worker, false)
	}
	o.probeRounds = 0
	o.discardPair()
}

func (d *Dispatcher) addQueueSample(w *worker, p queueSample) {
	if len(w.queueSamples) == stats.Few {
		d.queuePositions, d.queueWaits = d.queuePositions-w.queueSamples[0].position, d.queueWaits-w.queueSamples[0].wait
	}
	w.queueSamples = stats.Keep(w.queueSamples, p)
	d.queuePositions, d.queueWaits = d.queuePositions+p.position, d.queueWaits+p.wait
}

// discardPair lets the next pair be drawn.
func (o *op) discardPair() { o.pair, o.answered, o.probesSent = nil, nil, 0 }

// ClientDisconnected says that the client has gone; nothing is owed.
func (d *Dispatcher) ClientDisconnected(i int) {
	if o := d.op(i); o != nil {
		o.finished = true
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
	for o := d.nextUndecided(); o != nil; o = d.nextUndecided() {
		if next := d.decide(o); next.Kind != NoDecision {
			next.Op = o.index
			d.carryOut(o, next.Kind)
			return next
		}
		d.nextNumber = o.number + 1
	}
	d.nextNumber = d.admitted
	if len(d.pendingPeerReports) > 0 {
		x := d.pendingPeerReports[0]
		d.pendingPeerReports = d.pendingPeerReports[1:]
		return Decision{Kind: ReportToPeer, Peer: x[0], Worker: x[1], InFlight: len(d.workers[x[1]].inFlight)}
	}
	if at := d.nextDeadline(); at > d.now && (d.timerAt <= d.now || at < d.timerAt) && at < math.MaxInt64 {
		d.timerAt = at
		return Decision{Kind: SetTimer, Duration: at - d.now}
	}
	return Decision{}
}

// carryOut takes an op that is pushed or forgotten out of the pending ones.
func (d *Dispatcher) carryOut(o *op, kind DecisionKind) {
	if kind != Forget && kind != Push {
		return
	}
	k := d.pendingFrom(o.number)
	d.pending = slices.Delete(d.pending, k, k+1)
	if kind == Forget {
		d.ops[o.index] = nil
		d.categories[o.category].openOps--
	}
}

// nextDeadline is the next moment at which something may be decided without an input.
func (d *Dispatcher) nextDeadline() Time {
	at := Time(math.MaxInt64)
	for k, a := range d.inFlight {
		if limit, ok := a.Next(d.silenceAllowance(k)); ok {
			at = min(at, max(limit, d.now+1))
		}
	}
	for _, o := range d.pending {
		if o.finished {
			continue
		}
		look := o.probedAt + d.shortWait()
		if o.pair == nil {
			look = max(o.notBefore, d.now+second/20)
		}
		at = min(at, look, max(o.ttl-d.margin(), d.now+1)) // a wait for probes must not outlast the TTL
	}
	return at
}

func (d *Dispatcher) pendingFrom(number int) int {
	k, _ := slices.BinarySearchFunc(d.pending, number, func(o *op, n int) int { return o.number - n })
	return k
}

// nextUndecided is the next op of which something may be to decide: no push of it is out, or that one is overdue.
func (d *Dispatcher) nextUndecided() *op {
	if !d.overdueCollected {
		d.overdueCollected = true
		for k, a := range d.inFlight {
			d.overdue = append(d.overdue, a.Overdue(d.now, d.silenceAllowance(k))...)
		}
		slices.SortFunc(d.overdue, func(a, b *op) int { return a.number - b.number })
	}
	for len(d.overdue) > 0 && (d.overdue[0].number < d.nextNumber || !d.overdue[0].inFlight) {
		d.overdue = d.overdue[1:]
	}
	k := d.pendingFrom(d.nextNumber)
	if k < len(d.pending) && (len(d.overdue) == 0 || d.pending[k].number < d.overdue[0].number) {
		return d.pending[k]
	}
	if len(d.overdue) == 0 {
		return nil
	}
	return d.overdue[0]
}

// decide returns what is due for one op, without its index.
func (d *Dispatcher) decide(o *op) Decision {
	switch {
	case o.finished && !o.inFlight:
		return Decision{Kind: Forget}
	case o.finished:
		return Decision{}
	case o.inFlight:
		return d.checkSilence(o)
	case d.now >= o.ttl-d.margin() || !d.mayAttempt(o):
		return d.giveUp(o, 0, d.exhaustionReason(o))
	}
	if o.pair == nil {
		if next, drawn := d.drawPair(o); !drawn {
			return next
		}
	}
	if d.settings.Probes && o.probesSent < len(o.pair) {
		o.probesSent++
		return Decision{Kind: Probe, Worker: o.pair[o.probesSent-1]}
	}
	if o.probesSent > 0 && slices.Contains(o.answered, false) && d.now < o.probedAt+d.shortWait() {
		return Decision{}
	}
	return d.placeOp(o)
}

// checkSilence counts an overdue attempt against its worker, once, and cancels it where another one may follow.
func (d *Dispatcher) checkSilence(o *op) Decision {
	if o.silenceCounted || d.now < d.silenceLimit(o) {
		return Decision{}
	}
	o.silenceCounted = true
	d.recordVerdict(o.worker, false)
	// A silent connection or a lost answer would otherwise occupy the op until its TTL, too late for a retry.
	if (o.startedAt > 0 || d.unacknowledged(o)) && d.settings.CancelsAttempts && d.mayAttempt(o) {
		return Decision{Kind: CancelAttempt}
	}
	return Decision{}
}

// drawPair draws the workers to probe; not drawn, the op waits or is given up.
func (d *Dispatcher) drawPair(o *op) (next Decision, drawn bool) {
	if d.now < o.notBefore {
		return Decision{}, false
	}
	if o.attempts+o.probeRounds == 0 && o.notBefore == 0 && d.currentDigest().capacityShort && d.random.Uniform() > d.relativeWeight(o) {
		return d.giveUp(o, d.spareTime(o)/2, CapacityShort), false
	}
	from := d.candidates(o)
	if o.probeRounds > 0 || d.settings.PeerMessages {
		// Looking again where a queue was just seen costs probes and finds it still there.
		from = slices.DeleteFunc(from, func(i int) bool { return d.queueTooLong(o, i) })
		if len(from) == 0 {
			d.recordPlacement(o, false)
			return d.giveUp(o, d.spareTime(o)/2, QueuesTooLong), false
		}
	}
	if len(from) == 0 {
		if d.now > o.arrivedAt+d.categories[o.category].LatencyObjective {
			return d.giveUp(o, 0, NoEligibleWorker), false
		}
		return Decision{}, false
	}
	o.pair = d.withShadow(ShadowedPair, func() []int { return d.samplePair(o, d.preferredWorkers(o, slices.Clone(from)), len(from)) })
	o.answered = make([]bool, len(o.pair))
	o.probedAt = d.now
	d.countDemand(stats.Bit(len(o.pair) > 0 && o.probeRounds+o.attempts == 0), 0)
	return Decision{}, true
}

// placeOp pushes the op to the worker chosen of its pair, looks for another pair, or gives the op up.
func (d *Dispatcher) placeOp(o *op) Decision {
	chosen := d.withShadow(ShadowedPlacement, func() []int { return []int{d.chooseWorker(o)} })[0]
	spare, wait := d.spareTime(o), Time(0)
	excess := max(spare, 1)
	if chosen >= 0 {
		wait = d.predictWait(o, chosen)
		excess = wait - d.patience(o)
	}
	if excess <= 0 {
		return d.push(o, chosen, wait)
	}
	// A queue that outlasts the op's time would make it late there, and those behind it too.
	if o.probeRounds++; spare <= 0 || o.probeRounds >= d.allowedProbeRounds(o) {
		d.recordPlacement(o, false)
		return d.giveUp(o, min(excess, spare/2), StartTooLate)
	}
	o.discardPair()
	o.notBefore = d.now + spare/4 + 1
	return Decision{}
}

// push starts an attempt at a worker, where the op is predicted to wait for so long.
func (d *Dispatcher) push(o *op, i int, wait Time) Decision {
	d.recordPlacement(o, true)
	o.queuePosition, o.predictedWait, o.reportedIdle = d.queuePosition(o, i), wait, d.hasCapacity(o, i)
	w := &d.workers[i]
	o.inFlight, o.worker, o.sentAt, o.heardAt, o.startedAt, o.silenceCounted = true, i, d.now, d.now, 0, false
	o.attempts++
	w.inFlight = append(w.inFlight, o)
	d.reportToPeers(i)
	d.track(o)
	return Decision{Kind: Push, Worker: i, Duration: max(o.ttl-d.now-d.margin()+d.settings.Step, 1)}
}
