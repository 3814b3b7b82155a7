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
	rule          config.CategoryRule
	maxAttempts   int
	claimRequired bool // in all categories
}

func (p fixedPolicy) Rule(string) config.CategoryRule { return p.rule }
func (p fixedPolicy) MaxAttempts() int                { return p.maxAttempts }
func (p fixedPolicy) ClaimRequired(string) bool       { return p.claimRequired }

// newPendingOp returns an op with its attempts so far.
func newPendingOp(rule config.CategoryRule, previous attempts) *pendingOp {
	submitted := Submit{Op: reducer.OpArrived{Op: 1, ID: "a"}, Rule: rule, MaxAttempts: 3}
	return &pendingOp{Submit: submitted, attempts: previous}
}

// Rules of categories, and worker groups.
var (
	atMostOnceRule      = config.CategoryRule{Effect: "at-most-once"}
	redeliverableRule   = config.CategoryRule{Effect: redeliverable}
	dedupInZoneRule     = config.CategoryRule{Effect: deduplicated, Scope: "zone", Window: time.Second}
	dedupEverywhereRule = config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}
	eastGroup           = reducer.Group{Zone: "east"}
	westGroup           = reducer.Group{Zone: "west"}
)

// newTestChecks returns checks with one rule for all categories and at most three attempts per op.
func newTestChecks(rule config.CategoryRule) *checks {
	return newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: rule, maxAttempts: 3}, time.Second)
}

// endedAttempts returns attempts in eastGroup that were decided the given time ago and have ended.
func endedAttempts(ago time.Duration, endings ...outcome.Ending) (all attempts) {
	for _, ending := range endings {
		all = append(all, attempt{
			worker: "w", group: eastGroup, decidedAt: time.Now().Add(-ago), ending: ending,
		})
	}
	return all
}

// A forbidden attempt counts as a violation of its rule and of no other rule. Each forbidden case stands next
// to a similar case that is allowed.
func TestOnlyAForbiddenAttemptIsAViolation(t *testing.T) {
	inFlight := attempts{{worker: "w", group: eastGroup, decidedAt: time.Now(), inFlight: true}}
	for name, c := range map[string]struct {
		rule     config.CategoryRule
		attempts attempts
		to       reducer.Group
		violated string
	}{
		"a first attempt": {atMostOnceRule, nil, eastGroup, ""},
		"after an attempt that never ran": {
			atMostOnceRule, endedAttempts(0, outcome.ConnRefused), eastGroup, "",
		},
		"after an attempt that may have run": {
			atMostOnceRule, endedAttempts(0, outcome.Reset), eastGroup, "repeating",
		},
		"a redeliverable op": {
			redeliverableRule, endedAttempts(0, outcome.Reset), westGroup, "",
		},
		"a deduplicated op in its group": {
			dedupInZoneRule, endedAttempts(0, outcome.TimedOut), eastGroup, "",
		},
		"a deduplicated op in another group": {
			dedupInZoneRule, endedAttempts(0, outcome.TimedOut), westGroup, "repeating",
		},
		"a deduplicated op after its window": {
			dedupInZoneRule, endedAttempts(2*time.Second, outcome.TimedOut), eastGroup, "repeating",
		},
		"while another attempt is in flight": {redeliverableRule, inFlight, eastGroup, "repeating"},
		"more attempts than allowed": {
			redeliverableRule,
			endedAttempts(0, outcome.Reset, outcome.Reset, outcome.Reset),
			eastGroup,
			"repeating",
		},
		"after attempts that could not be sent": {
			redeliverableRule,
			endedAttempts(0, outcome.NoResource, outcome.NoDescriptor, outcome.NoResource),
			eastGroup,
			"",
		},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestChecks(c.rule)
			p := newPendingOp(c.rule, c.attempts)
			checks.addAttempt(time.Now(), p, reducer.Push{Op: 1, Worker: "v", Group: c.to})
			for rule, n := range checks.Counts() {
				if (rule == c.violated) != (n > 0) {
					t.Errorf("%s: %d violations", rule, n)
				}
			}
		})
	}
}

// A first attempt with the ID of another open op and without the required claim causes two violations.
func TestADuplicateIDAndAMissingClaimAreViolations(t *testing.T) {
	policy := fixedPolicy{rule: atMostOnceRule, maxAttempts: 3, claimRequired: true}
	checks := newChecks(invariant.New(zerolog.Nop()), policy, time.Second)
	checks.opsByID["a"] = 7
	checks.addAttempt(time.Now(), newPendingOp(atMostOnceRule, nil), reducer.Push{Op: 1})
	if checks.Counts()["starting"] != 2 {
		t.Errorf("violations: %v, want 2 of starting", checks.Counts())
	}
}

func TestAFirstByteAgainstTheRulesIsAViolation(t *testing.T) {
	checks := newTestChecks(atMostOnceRule)
	now := time.Now()
	checks.workers.drainingSince = map[string]time.Time{"drained": now.Add(-time.Minute), "draining": now}
	for name, c := range map[string]struct {
		worker     string
		timeLeft   time.Duration // given to the worker
		checkedAgo time.Duration // since the last check of the client's connection
		clientLeft time.Duration // until the client's deadline
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
			p := newPendingOp(atMostOnceRule, nil)
			p.Deadline = time.Now().Add(c.clientLeft)
			checkedAt := time.Now().Add(-c.checkedAgo)
			p.checkedAt.Store(&checkedAt)
			before := checks.Counts()["sending"]
			checks.checkFirstByte(p, c.worker, c.timeLeft)
			if got := checks.Counts()["sending"] - before; got != c.violations {
				t.Errorf("%d violations, want %d", got, c.violations)
			}
		})
	}
}

func TestANackOfAnOpThatMayHaveRunIsAViolation(t *testing.T) {
	for name, c := range map[string]struct {
		rule       config.CategoryRule
		attempts   attempts
		violations uint64
	}{
		"an op that never ran":                 {atMostOnceRule, endedAttempts(0, outcome.Returned), 0},
		"an at-most-once op that may have run": {atMostOnceRule, endedAttempts(0, outcome.TimedOut), 1},
		"a redeliverable op":                   {redeliverableRule, endedAttempts(0, outcome.TimedOut), 0},
		"a deduplicated op within its window":  {dedupEverywhereRule, endedAttempts(0, outcome.TimedOut), 0},
		"a deduplicated op after its window": {
			dedupEverywhereRule, endedAttempts(2*time.Second, outcome.TimedOut), 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestChecks(c.rule)
			checks.checkAnswer(
				time.Now(), newPendingOp(c.rule, c.attempts), reducer.Respond{Verdict: reducer.Nacked})
			if got := checks.Counts()["repeating"]; got != c.violations {
				t.Errorf("%d violations, want %d", got, c.violations)
			}
		})
	}
}

// A worker is draining from the first list that reports it as draining or omits it, until a list reports it
// as ready again.
func TestADrainingWorkerAcceptsAttemptsOnlyWithinTheGrace(t *testing.T) {
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
	w.update(list(false, false, "a"), at(900)) // repeated: the grace does not restart
	accepts("a", 1100, true)
	accepts("a", 1101, false)
	accepts("b", 1101, true)
	w.update(list(true, true, "a"), at(2000)) // omits b
	accepts("a", 9000, true)
	accepts("b", 3000, true)
	accepts("b", 3001, false)
	w.update(list(true, true, "a"), at(2000).Add(MaxTTL+time.Second))
	if len(w.drainingSince) != 1 {
		t.Errorf("workers known after MaxTTL: %v, want only a", w.drainingSince)
	}
}
