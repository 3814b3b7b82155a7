package dispatch

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

func TestRulesAgreeWithPlainModel(t *testing.T) {
	if err := quick.Check(func(seed int64) bool { return newFaultRun(t, seed).run() },
		&quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// faultRun drives a dispatcher through random faults and checks each decision against the reference model.
type faultRun struct {
	t        *testing.T
	random   *rand.Rand
	settings Settings
	d        *Dispatcher
	model    *referenceModel
	numbers  []int // the model's op by the dispatcher's index, 0 where that is free
	lastOp   int
	now      Time
}

const (
	faultRunSteps    = 400
	faultRunArrivals = 300 // steps in which ops arrive; after them all have to get their answers
)

func newFaultRun(t *testing.T, seed int64) *faultRun {
	r := &faultRun{t: t, random: rand.New(rand.NewSource(seed)), model: newReferenceModel(),
		numbers: make([]int, faultRunSteps), now: 1_000_000}
	r.settings = testSettings(func(s *Settings) {
		s.Probes = r.random.Intn(5) > 0
		s.ProgressInterval = 2_000 * Time(r.random.Intn(2))
		s.PeerMessages = r.random.Intn(2) == 0
		s.AffinityKeys = true
		s.ConnectionPrice = 0.05 * float64(r.random.Intn(2))
	})
	r.d = New(uint64(seed), r.settings)
	r.d.AdvanceClock(r.now)
	return r
}

func (r *faultRun) run() bool {
	for step := range faultRunSteps {
		r.updateEndpoints(step == 0)
		if step < faultRunArrivals && r.random.Intn(3) == 0 {
			r.admitOp()
		}
		for index, number := range r.numbers {
			if number != 0 && len(r.model.ops[number].attempts) > 0 {
				r.continueAttempt(index, r.model.ops[number])
			}
		}
		r.d.AdvanceClock(r.now)
		if !r.checkDecisions() {
			return false
		}
		r.now += Time(r.random.Intn(300))
		if step > faultRunArrivals {
			r.now += 500
		}
	}
	for number, o := range r.model.ops {
		if !o.answered {
			return r.fault("op %d of category %d never answered", number, o.category)
		}
	}
	return true
}

// fault logs what was found and returns false.
func (r *faultRun) fault(format string, args ...any) bool {
	r.t.Helper()
	r.t.Logf(format, args...)
	return false
}

// updateEndpoints gives the dispatcher a snapshot, a delta or, most often, nothing.
func (r *faultRun) updateEndpoints(first bool) {
	switch {
	case first || r.random.Intn(60) == 0:
		r.d.BeginSnapshot()
		for i := range r.model.ready {
			r.model.ready[i] = false
		}
		for i := range 6 {
			r.updateWorker(i)
		}
	case r.random.Intn(15) == 0:
		r.updateWorker(r.random.Intn(8))
	default:
		return
	}
	r.d.EndUpdate()
}

// updateWorker changes whether a worker is ready, and sometimes restarts it: reports of its last process say
// nothing of the new one.
func (r *faultRun) updateWorker(i int) {
	m := r.model
	if m.groupOf[i] == [2]int{} {
		m.groupOf[i] = [2]int{1 + i%2, i % 4}
	}
	m.ready[i] = r.random.Intn(4) > 0
	if r.random.Intn(8) == 0 {
		m.startedAt[i], m.freeSlots[i] = r.now, 0
	}
	r.d.UpsertWorker(i, WorkerEntry{Zone: m.groupOf[i][0], Group: m.groupOf[i][1], Ready: m.ready[i],
		StartedAt: m.startedAt[i], IdentityHash: uint64(i+1) * 0x51ed2701_9b3c1d77, MachineKind: i % 3})
	r.d.PeerReport(r.random.Intn(5)-1, i, r.random.Intn(4)-1)
}

func (r *faultRun) admitOp() {
	index := slices.Index(r.numbers, 0)
	r.lastOp++
	r.numbers[index] = r.lastOp
	o := &referenceOp{category: r.random.Intn(5), ttl: r.now + Time(r.random.Intn(30_000))}
	r.model.ops[r.lastOp] = o
	spec := OpSpec{Category: o.category, TTL: o.ttl, Slots: float64(1 + r.random.Intn(2))}
	if r.random.Intn(2) == 0 {
		spec.AffinityKey = uint64(1 + r.random.Intn(4))
	}
	r.d.AddOp(index, spec)
}

// continueAttempt ends the last attempt of an op in any way, has it progress, or leaves it.
func (r *faultRun) continueAttempt(index int, o *referenceOp) {
	number := len(o.attempts) - 1
	a := &o.attempts[number]
	if a.ended || r.now < a.timeoutAt && r.random.Intn(8) > 0 {
		return
	}
	if r.now < a.timeoutAt && r.random.Intn(2) == 0 {
		r.d.AttemptProgress(index, number, Progress{Started: r.random.Intn(3) > 0})
		return
	}
	a.ended, a.outcome = true, Outcome(r.random.Intn(int(LocalExhaustion)+1))
	if r.now >= a.timeoutAt {
		a.outcome = TimedOut
	}
	o.answered = o.answered || a.outcome == Succeeded
	r.d.AttemptEnded(index, number, a.outcome, o.answered)
}

// checkDecisions pulls all decisions, carries them out and checks them.
func (r *faultRun) checkDecisions() bool {
	for {
		if !r.mayPushAgrees() {
			return false
		}
		next := r.d.Next()
		if next.Kind == NoDecision {
			return r.nobodyOutlivedItsTTL() && deadlinesAgree(r.t, r.d)
		}
		if !r.checkDecision(next) {
			return false
		}
	}
}

// mayPushAgrees compares what the dispatcher and the model allow, for each op and worker.
func (r *faultRun) mayPushAgrees() bool {
	for index, number := range r.numbers {
		o := r.d.ops.at(index)
		if number == 0 || o == nil {
			continue
		}
		for w := range r.d.fleet.workers {
			if want := r.model.mayPush(r.settings, number, w, r.now); r.d.mayPush(o, w) != want {
				return r.fault("op of category %d, worker %d: dispatcher %v, model %v", o.category, w, !want, want)
			}
		}
	}
	return true
}

func (r *faultRun) nobodyOutlivedItsTTL() bool {
	for _, o := range r.model.ops {
		if !o.answered && r.now > o.ttl+100 && !o.inFlight() {
			return r.fault("an op of category %d outlived its TTL", o.category)
		}
	}
	return true
}

func (r *faultRun) checkDecision(next Decision) bool {
	m, number := r.model, r.numbers[next.Op]
	o := m.ops[number]
	switch next.Kind {
	case Push:
		return r.checkPush(next)
	case CancelAttempt:
		if !o.inFlight() || !r.settings.CancelsAttempts {
			return r.fault("cancelled against the rules: category %d", o.category)
		}
		a := &o.attempts[len(o.attempts)-1]
		a.ended, a.outcome = true, Cancelled
		r.d.AttemptEnded(next.Op, len(o.attempts)-1, Cancelled, false)
	case Nack, DeadLetter:
		if o.answered || next.Kind == Nack && !m.mayNack(r.settings, number, r.now) || o.inFlight() {
			return r.fault("decision %v against the rules: category %d", next.Kind, o.category)
		}
		o.answered = true
	case Probe:
		if !m.ready[next.Worker] {
			return r.fault("probe of a worker that is not ready")
		}
		if r.random.Intn(4) > 0 {
			load := jobs(float64(r.random.Intn(7)))
			r.d.ProbeAnswered(next.Worker, 0, load)
			m.freeSlots[next.Worker], m.reportedAt[next.Worker] = load.FreeSlots, r.now
		}
	case Forget:
		r.numbers[next.Op] = 0
	}
	return true
}

func (r *faultRun) checkPush(next Decision) bool {
	m, number, timeout := r.model, r.numbers[next.Op], next.Duration
	o := m.ops[number]
	tooLong := r.now+timeout >= o.ttl && timeout > 1
	if !m.mayPush(r.settings, number, next.Worker, r.now) || tooLong || r.now >= o.ttl {
		return r.fault("push against the rules: category %d worker %d", o.category, next.Worker)
	}
	o.attempts = append(o.attempts, referenceAttempt{group: m.groupOf[next.Worker], sentAt: r.now,
		timeoutAt: r.now + timeout, worker: next.Worker, slots: r.d.ops.byIndex[next.Op].slots})
	if r.settings.Probes && !m.hadCapacity(next.Worker, r.now) {
		return r.fault("a push to warming worker %d without capacity", next.Worker)
	}
	return true
}

// deadlinesAgree compares the queues of deadlines with a scan of all attempts in flight: one that they lose
// is never found silent.
func deadlinesAgree(t *testing.T, d *Dispatcher) bool {
	want, got := Time(math.MaxInt64), Time(math.MaxInt64)
	for _, o := range d.ops.byIndex {
		if o == nil || !o.last.inFlight || o.finished || o.last.silenceCounted {
			continue
		}
		limit := d.silenceLimit(o)
		if d.now >= limit {
			t.Logf("op %d is overdue and was not looked at", o.index)
			return false
		}
		if limit < o.ttl {
			want = min(want, limit)
		}
	}
	for k, a := range d.ops.inFlight {
		if at, ok := a.Next(d.silenceAllowance(awaited(k))); ok {
			got = min(got, at)
		}
	}
	if got != want {
		t.Logf("the queues of deadlines wake at %d, a walk at %d", got, want)
	}
	return got == want
}
