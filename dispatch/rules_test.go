package dispatch

import (
	"math"
	"math/rand"
	"testing"
	"testing/quick"
)

func TestRulesAgreeWithPlainModel(t *testing.T) {
	if err := quick.Check(func(seed int64) bool { return runRandomFaults(t, seed) },
		&quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// runRandomFaults drives a dispatcher through random faults and checks each decision against the reference
// model.
func runRandomFaults(t *testing.T, seed int64) bool {
	r := rand.New(rand.NewSource(seed))
	settings := testSettings(func(s *Settings) {
		s.Probes = r.Intn(5) > 0
		s.ProgressInterval = 2_000 * Time(r.Intn(2))
		s.PeerMessages = r.Intn(2) == 0
		s.AffinityKeys = true
		s.ConnectionPrice = 0.05 * float64(r.Intn(2))
	})
	d := New(uint64(seed), settings)
	m := &referenceModel{map[int]bool{}, map[int][2]int{}, map[int]Time{}, map[int]*referenceOp{}, map[int]float64{},
		map[int]Time{}}
	now, next := Time(1_000_000), 0
	names := make([]int, 400) // op index to the model's op
	d.AdvanceClock(now)
	entry := func(i int) {
		if m.groupOf[i] == [2]int{} {
			m.groupOf[i] = [2]int{1 + i%2, i % 4}
		}
		m.ready[i] = r.Intn(4) > 0
		if r.Intn(8) == 0 {
			m.startedAt[i], m.freeSlots[i] = now, 0 // reports of the process before say nothing of this one
		}
		d.UpsertWorker(i, WorkerEntry{Zone: m.groupOf[i][0], Group: m.groupOf[i][1], Ready: m.ready[i], StartedAt: m.startedAt[i]})
		identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, i%3)
		d.PeerReport(r.Intn(5)-1, i, r.Intn(4)-1)
	}
	for step := range 400 {
		if step == 0 || r.Intn(60) == 0 {
			d.BeginSnapshot()
			for i := range m.ready {
				m.ready[i] = false
			}
			for i := range 6 {
				entry(i)
			}
			d.EndUpdate()
		} else if r.Intn(15) == 0 {
			entry(r.Intn(8))
			d.EndUpdate()
		}
		if step < 300 && r.Intn(3) == 0 {
			i := 0
			for names[i] != 0 {
				i++
			}
			next++
			names[i] = next
			o := &referenceOp{category: r.Intn(5), ttl: now + Time(r.Intn(30_000))}
			m.ops[next] = o
			spec := OpSpec{Category: o.category, TTL: o.ttl, Slots: float64(1 + r.Intn(2))}
			if r.Intn(2) == 0 {
				spec.AffinityKey = uint64(1 + r.Intn(4))
			}
			d.AddOp(i, spec)
		}
		for i, name := range names {
			if name == 0 || len(m.ops[name].attempts) == 0 {
				continue
			}
			o := m.ops[name]
			p := &o.attempts[len(o.attempts)-1]
			if p.ended || now < p.timeoutAt && r.Intn(8) > 0 {
				continue
			}
			if now < p.timeoutAt && r.Intn(2) == 0 {
				d.AttemptProgress(i, len(o.attempts)-1, Progress{Started: r.Intn(3) > 0})
				continue
			}
			if p.ended, p.outcome = true, Outcome(r.Intn(int(LocalExhaustion)+1)); now >= p.timeoutAt {
				p.outcome = TimedOut
			}
			o.answered = o.answered || p.outcome == Succeeded
			d.AttemptEnded(i, len(o.attempts)-1, p.outcome, o.answered)
		}
		d.AdvanceClock(now)
		if !checkDecisions(t, d, m, settings, names, now, r) {
			return false
		}
		now += Time(r.Intn(300))
		if step > 300 {
			now += 500
		}
	}
	for name, o := range m.ops {
		if !o.answered {
			t.Logf("op %d of category %d never answered", name, o.category)
			return false
		}
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

func checkDecisions(t *testing.T, d *Dispatcher, m *referenceModel, settings Settings, names []int, now Time,
	r *rand.Rand) bool {
	for {
		for i, name := range names {
			if o := d.ops.at(i); name != 0 && o != nil {
				for w := range d.fleet.workers {
					if want := m.mayPush(settings, name, w, now); d.mayPush(o, w) != want {
						t.Logf("op of category %d, worker %d: module %v, rules %v", o.category, w, !want, want)
						return false
					}
				}
			}
		}
		next := d.Next()
		op, worker, timeout := next.Op, next.Worker, next.Duration
		name := names[op]
		switch next.Kind {
		case NoDecision:
			for _, o := range m.ops {
				if !o.answered && now > o.ttl+100 && (len(o.attempts) == 0 || o.attempts[len(o.attempts)-1].ended) {
					t.Logf("an op of category %d outlived its TTL", o.category)
					return false
				}
			}
			return deadlinesAgree(t, d)
		case Push:
			o := m.ops[name]
			if !m.mayPush(settings, name, worker, now) || now+timeout >= o.ttl && timeout > 1 || now >= o.ttl {
				t.Logf("push against the rules: category %d worker %d", o.category, worker)
				return false
			}
			o.attempts = append(o.attempts, referenceAttempt{m.groupOf[worker], now, now + timeout, false, Succeeded, worker,
				d.ops.byIndex[op].slots})
			if settings.Probes && !m.hadCapacity(worker, now) {
				t.Logf("a push to cold worker %d that has no room", worker)
				return false
			}
		case CancelAttempt:
			o := m.ops[name]
			p := &o.attempts[len(o.attempts)-1]
			if p.ended || !settings.CancelsAttempts {
				t.Logf("called off against the rules: category %d", o.category)
				return false
			}
			p.ended, p.outcome = true, Cancelled
			d.AttemptEnded(op, len(o.attempts)-1, Cancelled, false)
		case Nack, DeadLetter:
			o := m.ops[name]
			if o.answered || next.Kind == Nack && !m.mayNack(settings, name, now) ||
				len(o.attempts) > 0 && !o.attempts[len(o.attempts)-1].ended {
				t.Logf("%v against the rules: category %d", next.Kind, o.category)
				return false
			}
			o.answered = true
		case Probe:
			if !m.ready[worker] {
				t.Logf("probe of a worker that is not ready")
				return false
			}
			if r.Intn(4) > 0 {
				load := jobs(float64(r.Intn(7)))
				d.ProbeAnswered(worker, 0, load)
				m.freeSlots[worker], m.reportedAt[worker] = load.FreeSlots, now
			}
		case Forget:
			names[op] = 0
		}
	}
}
