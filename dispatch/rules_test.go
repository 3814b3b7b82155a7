package dispatch

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"woaddyke/internal/base/stats"
)

// referenceModel is the rules, told slowly: it keeps all that happened and works out afresh what is allowed.
type referenceModel struct {
	ready      map[int]bool
	groupOf    map[int][2]int // zone and cell
	startedAt  map[int]Time
	ops        map[int]*referenceOp
	freeSlots  map[int]float64 // slots, by the last report
	reportedAt map[int]Time    // when that came
}

type referenceOp struct {
	category int
	ttl      Time
	attempts []referenceAttempt
	answered bool
}

type referenceAttempt struct {
	group     [2]int
	sentAt    Time
	timeoutAt Time
	ended     bool
	outcome   Outcome
	worker    int
	slots     float64
}

func (p referenceAttempt) mayHaveRun() bool {
	return !p.ended || p.outcome != Rejected && p.outcome != Unreachable && p.outcome != NotSent && p.outcome != LocalExhaustion
}

func (m *referenceModel) mayPush(s Settings, op, worker int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	sent := 0
	for _, p := range o.attempts {
		if !p.ended || p.outcome != LocalExhaustion { // that one reached nobody
			sent++
		}
	}
	if o.answered || !m.ready[worker] || sent >= s.MaxAttempts {
		return false
	}
	for _, p := range o.attempts {
		if !p.ended {
			return false
		}
	}
	for _, p := range o.attempts {
		if !p.mayHaveRun() {
			continue
		}
		switch {
		case c.Effect == Idempotent:
		case c.Effect == AtMostOnce, now >= p.sentAt+c.DedupWindow:
			return false
		case c.DedupScope == DedupInZone && m.groupOf[worker][0] != p.group[0],
			c.DedupScope == DedupInGroup && m.groupOf[worker] != p.group:
			return false
		}
		break // the first that may have run fixes group and window
	}
	return true
}

func (m *referenceModel) mayNack(s Settings, op int, now Time) bool {
	o := m.ops[op]
	c := s.Categories[o.category]
	for _, p := range o.attempts {
		past := now >= p.sentAt+c.DedupWindow
		if p.mayHaveRun() && c.Effect != Idempotent &&
			(c.Effect == AtMostOnce || c.DedupScope != DedupEverywhere || past) {
			return false
		}
	}
	return true
}

func TestRulesAgreeWithPlainModel(t *testing.T) {
	if err := quick.Check(func(seed int64) bool { return runRandomFaults(t, seed) },
		&quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Fatal(err)
	}
}

// runRandomFaults drives a dispatcher through made-up trouble and checks each decision against the plain rules.
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
			m.startedAt[i], m.freeSlots[i] = now, 0 // what the process before it told says nothing of this one
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

// deadlinesAgree holds the queues of deadlines against a walk over all that is out: a push that they lose is never found silent.
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

// hadCapacity tells whether a cold worker's push goes into a slot that its last report and later pushes left.
func (m *referenceModel) hadCapacity(worker int, now Time) bool {
	if since := m.startedAt[worker]; since == 0 || now >= since+80_000 {
		return true
	}
	room := m.freeSlots[worker]
	for _, o := range m.ops {
		for _, p := range o.attempts {
			if p.worker == worker && !p.ended && p.sentAt >= m.reportedAt[worker] {
				room -= p.slots
			}
		}
	}
	return room >= 0
}

// Hundreds of schedulers, most of them quiet and a few that carry most, meet one cold worker at full load,
// and reports tell them nothing: together they must stay within its budget.
func TestSlowStartBudgetAcrossHundredsOfSchedulers(t *testing.T) {
	const schedulers, workers, length, rate, days = 200, 200, 500, 480, 3 // 480 ops of 50 ms a worker in 6 s
	total, worst := 0, 0.0
	for day := range days {
		r := rand.New(rand.NewSource(int64(day)))
		all := make([]*Dispatcher, schedulers)
		for i := range all {
			all[i] = New(r.Uint64(), testSettings(func(s *Settings) { s.Schedulers, s.Scheduler = 200, i }))
			all[i].AdvanceClock(1_000_000)
			all[i].BeginSnapshot()
			for w := range workers {
				all[i].UpsertWorker(w, WorkerEntry{Ready: true, StartedAt: Time(1_000_000 * stats.Bit(w == 0))})
			}
			all[i].EndUpdate()
		}
		var at []Time
		for n := range workers * rate {
			now := 1_000_000 + Time(n*60_000/(workers*rate))
			s := r.Intn(schedulers)
			if r.Intn(4) > 0 {
				s = r.Intn(5)
			}
			d := all[s]
			d.AdvanceClock(now)
			d.AddOp(0, OpSpec{TTL: now + 50_000, Slots: 1})
			for _, a := range decisions(d) {
				if a.Kind == Probe {
					d.ProbeAnswered(a.Worker, 0, jobs(2*float64(stats.Bit(a.Worker > 0)))) // the cold one reads idle
				}
			}
			d.AdvanceClock(now)
			for _, a := range decisions(d) {
				if a.Kind == Push && a.Worker == 0 {
					at, total = append(at, now), total+1
				}
			}
			d.AttemptEnded(0, 0, Succeeded, true)
			d.AdvanceClock(now)
			decisions(d)
		}
		for i := range at {
			for j := range i + 1 {
				if span := at[i] - at[j]; span < 15_000 {
					share := 0.3 + 0.7*float64(at[i]-15_000-1_000_000)/80_000
					worst = max(worst, float64((i-j+1)*length)/(2.5*4*max(share, 0.3)*15_000))
				}
			}
		}
	}
	if total < days*rate/10 {
		t.Errorf("%d pushes to a cold worker: it lies idle", total)
	}
	if worst > 1 {
		t.Errorf("%.2f of a cold worker's budget was sent", worst)
	}
}

// Settings that change while ops are open: an op pushed again under rules that it was not taken with breaks rule 2.
func TestOpenOpsKeepTheRulesThatTheyCameWith(t *testing.T) {
	settings := func(effect Effect, attempts int) Settings {
		return settingsOf([]CategoryRules{{Name: "pay", Effect: effect, TTL: 50_000, LatencyObjective: 1000}}, attempts)
	}
	d := New(3, settings(Idempotent, 3))
	d.AdvanceClock(1)
	d.BeginSnapshot()
	for i := range 3 {
		d.UpsertWorker(i, WorkerEntry{Group: i, Ready: true})
	}
	d.EndUpdate()
	broken := func(op, place int) (pushes int) { // how often an op is pushed whose pushes all break
		if !d.AddOp(op, OpSpec{Category: place, TTL: d.now + 50_000, Slots: 1}) {
			t.Fatalf("no place %d", place)
		}
		for {
			next := d.Next()
			switch {
			case next.Kind == Push && next.Op == op:
				pushes++
				if op == 0 && pushes == 1 { // under the first op the settings change
					if places := d.SetCategories(settings(AtMostOnce, 1)); !slices.Equal(places, []int{1}) {
						t.Fatalf("another effect has place %v", places)
					}
				}
				d.AdvanceClock(d.now + 10)
				d.AttemptEnded(op, pushes-1, ConnectionLost, false)
			case next.Kind == NoDecision:
				return pushes
			}
		}
	}
	if n := broken(0, 0); n != 3 {
		t.Errorf("an op of before is pushed %d times, not 3", n)
	}
	if n := broken(1, 1); n != 1 {
		t.Errorf("an at-most-once op that may have run is pushed %d times", n)
	}
	if places := d.SetCategories(settings(Idempotent, 2)); !slices.Equal(places, []int{0}) {
		t.Errorf("terms that were known have place %v: what was learned is lost", places)
	}
	if n := broken(2, 0); n != 2 {
		t.Errorf("an op is pushed %d times where the settings now say 2", n)
	}
}

// Two categories alike in all but nothing: each needs a place of its own, or their names would mean one another.
func TestEqualCategoriesHaveSeparatePlaces(t *testing.T) {
	settings := settingsOf([]CategoryRules{{TTL: 5}, {TTL: 5}}, 1)
	d := New(3, settings)
	if places := d.SetCategories(settings); !slices.Equal(places, []int{0, 1}) {
		t.Errorf("places %v", places)
	}
}
