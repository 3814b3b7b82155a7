package scheduler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// fixedPolicy has one rule for all categories.
type fixedPolicy struct {
	rule        config.CategoryRule
	maxAttempts int
	claims      bool // all categories need one
}

func (p fixedPolicy) Rule(string) config.CategoryRule { return p.rule }
func (p fixedPolicy) MaxAttempts() int                { return p.maxAttempts }
func (p fixedPolicy) ClaimRequired(string) bool       { return p.claims }

// opOf is an op with the attempts that it has had.
func opOf(rule config.CategoryRule, had attempts) *pendingOp {
	submitted := Submit{Op: reducer.OpArrived{Op: 1, ID: "a"}, Rule: rule, MaxAttempts: 3}
	return &pendingOp{Submit: submitted, attempts: had}
}

// Rules of categories, and groups of workers.
var (
	atMostOnce    = config.CategoryRule{Effect: "at-most-once"}
	repeatable    = config.CategoryRule{Effect: redeliverable}
	droppedInZone = config.CategoryRule{Effect: deduplicated, Scope: "zone", Window: time.Second}
	droppedByAll  = config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}
	eastern       = reducer.Group{Zone: "east"}
	western       = reducer.Group{Zone: "west"}
)

// newTestChecks are checks under one rule for all categories, with three attempts to an op.
func newTestChecks(rule config.CategoryRule) *checks {
	return newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: rule, maxAttempts: 3}, time.Second)
}

// ended are attempts in the east that have ended, the last one as long ago as given.
func ended(ago time.Duration, endings ...outcome.Ending) (all attempts) {
	for _, ending := range endings {
		all = append(all, attempt{worker: "w", group: eastern, decidedAt: time.Now().Add(-ago), ending: ending})
	}
	return all
}

// Each check of an attempt sees what it is for, and nothing else: one case of each violation, and one
// like it that is none.
func TestChecksOfAnAttempt(t *testing.T) {
	inFlight := attempts{{worker: "w", group: eastern, decidedAt: time.Now(), inFlight: true}}
	for name, c := range map[string]struct {
		rule     config.CategoryRule
		attempts attempts
		to       reducer.Group
		violated string
	}{
		"the first one":                   {atMostOnce, nil, eastern, ""},
		"after one that never ran":        {atMostOnce, ended(0, outcome.ConnRefused), eastern, ""},
		"after one that may have run":     {atMostOnce, ended(0, outcome.Reset), eastern, "repeating"},
		"a redeliverable one":             {repeatable, ended(0, outcome.Reset), western, ""},
		"a deduplicated one in its group": {droppedInZone, ended(0, outcome.TimedOut), eastern, ""},
		"a deduplicated one in another":   {droppedInZone, ended(0, outcome.TimedOut), western, "repeating"},
		"a deduplicated one past its window": {
			droppedInZone, ended(2*time.Second, outcome.TimedOut), eastern, "repeating",
		},
		"while another is in flight": {repeatable, inFlight, eastern, "repeating"},
		"one too many": {
			repeatable, ended(0, outcome.Reset, outcome.Reset, outcome.Reset), eastern, "repeating",
		},
		"after some that could not be sent": {
			repeatable, ended(0, outcome.NoResource, outcome.NoDescriptor, outcome.NoResource), eastern, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestChecks(c.rule)
			p := opOf(c.rule, c.attempts)
			checks.attemptStarting(time.Now(), p, reducer.Push{Op: 1, Worker: "v", Group: c.to})
			for rule, n := range checks.Counts() {
				if (rule == c.violated) != (n > 0) {
					t.Errorf("%s: %d violations", rule, n)
				}
			}
		})
	}
}

// A first attempt under an ID that another op has, and without the claim that it needs, is two violations.
func TestChecksOfAFirstAttempt(t *testing.T) {
	policy := fixedPolicy{rule: atMostOnce, maxAttempts: 3, claims: true}
	checks := newChecks(invariant.New(zerolog.Nop()), policy, time.Second)
	checks.ops["a"] = 7
	checks.attemptStarting(time.Now(), opOf(atMostOnce, nil), reducer.Push{Op: 1})
	if checks.Counts()["starting"] != 2 {
		t.Errorf("%v", checks.Counts())
	}
}

func TestChecksOfAFirstByte(t *testing.T) {
	checks := newTestChecks(atMostOnce)
	now := time.Now()
	checks.workers.drainingSince = map[string]time.Time{"drained": now.Add(-time.Minute), "draining": now}
	for name, c := range map[string]struct {
		worker     string
		timeLeft   time.Duration // that the worker is told
		checkedAgo time.Duration // the client
		clientLeft time.Duration // until its deadline
		violations uint64
	}{
		"no violation":                 {"w", time.Second, 0, time.Minute, 0},
		"a client checked a while ago": {"w", time.Second, time.Second, time.Minute, 1},
		"past the deadline":            {"w", 0, 0, -time.Millisecond, 1},
		"more time than is left":       {"w", 2 * time.Minute, 0, time.Minute, 1},
		"a worker that has drained":    {"drained", time.Second, 0, time.Minute, 1},
		"a worker within the grace":    {"draining", time.Second, 0, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := opOf(atMostOnce, nil)
			p.Deadline = time.Now().Add(c.clientLeft)
			checkedAt := time.Now().Add(-c.checkedAgo)
			p.checkedAt.Store(&checkedAt)
			before := checks.Counts()["sending"]
			checks.sending(p, c.worker, c.timeLeft)
			if got := checks.Counts()["sending"] - before; got != c.violations {
				t.Errorf("%d violations, want %d", got, c.violations)
			}
		})
	}
}

func TestChecksOfANack(t *testing.T) {
	for name, c := range map[string]struct {
		rule       config.CategoryRule
		attempts   attempts
		violations uint64
	}{
		"of what never ran":                      {atMostOnce, ended(0, outcome.Returned), 0},
		"of what may have run":                   {atMostOnce, ended(0, outcome.TimedOut), 1},
		"of what may run again":                  {repeatable, ended(0, outcome.TimedOut), 0},
		"of what all workers drop":               {droppedByAll, ended(0, outcome.TimedOut), 0},
		"of what all workers dropped for a time": {droppedByAll, ended(2*time.Second, outcome.TimedOut), 1},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestChecks(c.rule)
			checks.responding(time.Now(), opOf(c.rule, c.attempts), reducer.Respond{Verdict: reducer.Nacked})
			if got := checks.Counts()["repeating"]; got != c.violations {
				t.Errorf("%d violations, want %d", got, c.violations)
			}
		})
	}
}

// A worker is known to be draining from the first list that says so or leaves it out, until a list has it
// ready again.
func TestWorkersThatDrain(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	list := func(snapshot, ready bool, workers ...string) (in reducer.EndpointsChanged) {
		in.Snapshot = snapshot
		for _, worker := range workers {
			in.Endpoints = append(in.Endpoints, reducer.Endpoint{Worker: worker, Ready: ready})
		}
		return in
	}
	w := newWorkerStates(time.Second)
	accepts := func(worker string, ms int, want bool) {
		t.Helper()
		if got := w.accepts(worker, at(ms)); got != want {
			t.Errorf("%s after %d ms: accepts %v", worker, ms, got)
		}
	}
	w.update(list(true, true, "a", "b"), at(0))
	accepts("a", 5000, true)
	w.update(list(false, false, "a"), at(100))
	w.update(list(false, false, "a"), at(900)) // said again: the grace does not start anew
	accepts("a", 1100, true)
	accepts("a", 1101, false)
	accepts("b", 1101, true)
	w.update(list(true, true, "a"), at(2000)) // without b
	accepts("a", 9000, true)
	accepts("b", 3000, true)
	accepts("b", 3001, false)
	w.update(list(true, true, "a"), at(2000).Add(MaxTTL+time.Second))
	if len(w.drainingSince) != 1 {
		t.Errorf("known: %v", w.drainingSince)
	}
}
