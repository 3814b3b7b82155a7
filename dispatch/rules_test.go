package dispatch

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

func TestRandomFaultsKeepTheRulesOfTheReferenceModel(t *testing.T) {
	if err := quick.Check(func(seed int64) bool { return newFaultRun(t, seed).run() },
		&quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// faultRun exposes a dispatcher to random faults and checks each decision against the reference model.
type faultRun struct {
	t        *testing.T
	random   *rand.Rand
	settings Settings
	d        *Dispatcher
	model    *referenceModel
	numbers  []int // the model's op number by the dispatcher's op index; 0 if the index is free
	lastOp   int
	now      Time
}

const (
	faultRunSteps    = 400
	faultRunArrivals = 300 // steps in which ops are admitted; later steps are for their answers
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
			return r.failf("op %d of category %d got no answer", number, o.category)
		}
	}
	return true
}

// failf logs a failure and returns false.
func (r *faultRun) failf(format string, args ...any) bool {
	r.t.Helper()
	r.t.Logf(format, args...)
	return false
}

// updateEndpoints sends the dispatcher a snapshot, a delta or, in most steps, nothing.
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

// updateWorker changes whether a worker is ready, and sometimes restarts it. Load reports of the previous
// process do not apply to the new process.
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

// continueAttempt ends the last attempt of an op with a random outcome, reports progress, or does nothing.
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

// checkDecisions pulls all decisions, checks them and carries them out.
func (r *faultRun) checkDecisions() bool {
	for {
		if !r.mayPushAgrees() {
			return false
		}
		next := r.d.Next()
		if next.Kind == NoDecision {
			return r.noOpOutlivedItsTTL() && deadlinesMatchAFullScan(r.t, r.d)
		}
		if !r.checkDecision(next) {
			return false
		}
	}
}

// mayPushAgrees compares what the dispatcher and the model allow for each op and worker.
func (r *faultRun) mayPushAgrees() bool {
	for index, number := range r.numbers {
		o := r.d.ops.at(index)
		if number == 0 || o == nil {
			continue
		}
		for w := range r.d.fleet.workers {
			if want := r.model.mayPush(r.settings, number, w, r.now); r.d.mayPush(o, w) != want {
				return r.failf("op of category %d, worker %d: dispatcher %v, model %v", o.category, w, !want, want)
			}
		}
	}
	return true
}

func (r *faultRun) noOpOutlivedItsTTL() bool {
	for _, o := range r.model.ops {
		if !o.answered && r.now > o.ttl+100 && !o.inFlight() {
			return r.failf("an op of category %d outlived its TTL", o.category)
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
			return r.failf("an attempt was cancelled against the rules: category %d", o.category)
		}
		a := &o.attempts[len(o.attempts)-1]
		a.ended, a.outcome = true, Cancelled
		r.d.AttemptEnded(next.Op, len(o.attempts)-1, Cancelled, false)
	case Nack, DeadLetter:
		if o.answered || next.Kind == Nack && !m.mayNack(r.settings, number, r.now) || o.inFlight() {
			return r.failf("decision %v against the rules: category %d", next.Kind, o.category)
		}
		o.answered = true
	case Probe:
		if !m.ready[next.Worker] {
			return r.failf("a worker that is not ready was probed")
		}
		if r.random.Intn(4) > 0 {
			load := loadWithJobs(float64(r.random.Intn(7)))
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
		return r.failf("push against the rules: category %d worker %d", o.category, next.Worker)
	}
	o.attempts = append(o.attempts, referenceAttempt{group: m.groupOf[next.Worker], sentAt: r.now,
		timeoutAt: r.now + timeout, worker: next.Worker, slots: r.d.ops.byIndex[next.Op].slots})
	if r.settings.Probes && !m.hadCapacity(next.Worker, r.now) {
		return r.failf("push to warming worker %d without capacity", next.Worker)
	}
	return true
}

// deadlinesMatchAFullScan compares the deadline queues with a scan of all attempts in flight. An attempt
// missing from the queues would never be found overdue.
func deadlinesMatchAFullScan(t *testing.T, d *Dispatcher) bool {
	want, got := Time(math.MaxInt64), Time(math.MaxInt64)
	for _, o := range d.ops.byIndex {
		if o == nil || !o.lastAttempt.inFlight || o.finished || o.lastAttempt.silenceCounted {
			continue
		}
		limit := d.silenceDeadline(o)
		if d.now >= limit {
			t.Logf("op %d is overdue and was not considered", o.index)
			return false
		}
		if limit < o.ttl {
			want = min(want, limit)
		}
	}
	for k, a := range d.ops.inFlight {
		if at, ok := a.Next(d.silenceTimeout(awaitedEvent(k))); ok {
			got = min(got, at)
		}
	}
	if got != want {
		t.Logf("next deadline: %d by the queues, %d by the scan", got, want)
	}
	return got == want
}
