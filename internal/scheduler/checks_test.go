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

// Each check sees what it is for, and nothing else: one case of each rule that is broken, and its like
// that is not.
func TestWhatTheChecksSee(t *testing.T) {
	now := time.Now()
	once := config.CategoryRule{Effect: "at-most-once"}
	group := config.CategoryRule{Effect: deduplicated, Scope: "zone", Window: time.Second}
	any := config.CategoryRule{Effect: redeliverable}
	east, west := reducer.Group{Zone: "east"}, reducer.Group{Zone: "west"}
	past := func(how outcome.Ending, ago time.Duration) attempts {
		return attempts{{worker: "w", group: east, decidedAt: now.Add(-ago), ending: how}}
	}
	for name, c := range map[string]struct {
		rule     config.CategoryRule
		attempts attempts
		to       reducer.Group
		broken   string
	}{
		"a first push":                      {once, nil, east, ""},
		"one after one that never ran":      {once, past(outcome.ConnRefused, 0), east, ""},
		"one after one that may have run":   {once, past(outcome.Reset, 0), east, "repeating"},
		"a redeliverable one":               {any, past(outcome.Reset, 0), west, ""},
		"a deduplicated one in its group":   {group, past(outcome.TimedOut, 0), east, ""},
		"in another group":                  {group, past(outcome.TimedOut, 0), west, "repeating"},
		"beyond its window":                 {group, past(outcome.TimedOut, 2*time.Second), east, "repeating"},
		"while another is out":              {any, attempts{{worker: "w", group: east, decidedAt: now, inFlight: true}}, east, "repeating"},
		"one too many":                      {any, append(past(outcome.Reset, 0), append(past(outcome.Reset, 0), past(outcome.Reset, 0)...)...), east, "repeating"},
		"after some that could not be sent": {any, append(past(outcome.NoResource, 0), append(past(outcome.NoDescriptor, 0), past(outcome.NoResource, 0)...)...), east, ""},
	} {
		checks := newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: c.rule, maxAttempts: 3}, time.Second)
		p := opOf(c.rule, c.attempts)
		checks.attemptStarting(now, p, reducer.Push{Op: 1, Worker: "v", Group: c.to})
		for rule, n := range checks.Counts() {
			if (rule == c.broken) != (n > 0) {
				t.Errorf("%s: %s %d times", name, rule, n)
			}
		}
	}
	checks := newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: once, maxAttempts: 3, claims: true}, time.Second)
	checks.ops["a"] = 7
	checks.workers.drainingSince = map[string]time.Time{"gone": now.Add(-time.Minute), "going": now}
	p := opOf(once, nil)
	p.Deadline = now.Add(time.Minute)
	if checks.attemptStarting(now, p, reducer.Push{Op: 1}); checks.Counts()["starting"] != 2 {
		t.Errorf("an id that is out, and nobody granted it: %v", checks.Counts())
	}
	sent := func(worker string, left time.Duration, checkedAt, deadline time.Time) uint64 {
		before := checks.Counts()["sending"]
		p.Deadline = deadline
		p.checkedAt.Store(&checkedAt)
		checks.sending(p, worker, left)
		return checks.Counts()["sending"] - before
	}
	soon := now.Add(time.Minute)
	for name, got := range map[string]uint64{
		"a look of a second ago":    sent("w", time.Second, now.Add(-time.Second), soon),
		"after its time":            sent("w", 0, time.Now(), now.Add(-time.Millisecond)),
		"more time than is left":    sent("w", 2*time.Minute, time.Now(), soon),
		"a worker that is gone":     sent("gone", time.Second, time.Now(), soon),
		"all is well":               1 + sent("w", time.Second, time.Now(), soon),
		"a worker within the grace": 1 + sent("going", time.Second, time.Now(), soon),
	} {
		if got != 1 {
			t.Errorf("%s: %d", name, got)
		}
	}
	for name, c := range map[string]struct {
		rule     config.CategoryRule
		attempts attempts
		want     uint64
	}{"never ran": {once, past(outcome.Returned, 0), 0}, "may have run": {once, past(outcome.TimedOut, 0), 1}, "may be rerun": {any, past(outcome.TimedOut, 0), 0},
		"all workers drop it": {config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}, past(outcome.TimedOut, 0), 0},
		"no more by then":     {config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}, past(outcome.TimedOut, 2*time.Second), 1}} {
		checks := newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: c.rule, maxAttempts: 3}, time.Second)
		checks.responding(now, opOf(c.rule, c.attempts), reducer.Respond{Verdict: reducer.Nacked})
		if got := checks.Counts()["repeating"]; got != c.want {
			t.Errorf("a nack of what %s: %d", name, got)
		}
	}
}
