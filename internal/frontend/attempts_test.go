package frontend

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// Each guard sees what it is for, and nothing else: one case of each rule that is broken, and its like that is not.
func TestWhatTheGuardsSee(t *testing.T) {
	now := time.Now()
	once, group, any := config.CategoryRule{Effect: "at-most-once"}, config.CategoryRule{Effect: deduplicated, Scope: "zone", Window: time.Second}, config.CategoryRule{Effect: redeliverable}
	east, west := reducer.Group{Zone: "east"}, reducer.Group{Zone: "west"}
	past := func(how outcome.Ending, ago time.Duration) attempts {
		return attempts{{worker: "w", group: east, decided: now.Add(-ago), how: how}}
	}
	for name, c := range map[string]struct {
		rule   config.CategoryRule
		pushes attempts
		to     reducer.Group
		broken string
	}{
		"a first push":                      {once, nil, east, ""},
		"one after one that never ran":      {once, past(outcome.ConnRefused, 0), east, ""},
		"one after one that may have run":   {once, past(outcome.Reset, 0), east, "repeating"},
		"a redeliverable one":               {any, past(outcome.Reset, 0), west, ""},
		"a deduplicated one in its group":   {group, past(outcome.TimedOut, 0), east, ""},
		"in another group":                  {group, past(outcome.TimedOut, 0), west, "repeating"},
		"beyond its window":                 {group, past(outcome.TimedOut, 2*time.Second), east, "repeating"},
		"while another is out":              {any, attempts{{worker: "w", group: east, decided: now, out: true}}, east, "repeating"},
		"one too many":                      {any, append(past(outcome.Reset, 0), append(past(outcome.Reset, 0), past(outcome.Reset, 0)...)...), east, "repeating"},
		"after some that could not be sent": {any, append(past(outcome.NoResource, 0), append(past(outcome.NoDescriptor, 0), past(outcome.NoResource, 0)...)...), east, ""},
	} {
		l := &loop{guard: invariant.New(zerolog.Nop()), byID: map[string]uint64{}, rule: func(string) config.CategoryRule { return c.rule }, mostPushes: func() int { return 3 }}
		h := &held{OpArrived: reducer.OpArrived{Op: 1, ID: "a"}, rule: c.rule, mostPushes: 3, pushes: c.pushes}
		l.begin(now, h, reducer.Push{Op: 1, Worker: "v", Group: c.to})
		for rule, n := range l.guard.Counts() {
			if (rule == c.broken) != (n > 0) {
				t.Errorf("%s: %s %d times", name, rule, n)
			}
		}
	}
	l := &loop{guard: invariant.New(zerolog.Nop()), byID: map[string]uint64{"a": 7}, rule: func(string) config.CategoryRule { return once }, mostPushes: func() int { return 3 },
		granted: func(string) bool { return true }, workers: watched{grace: time.Second, since: map[string]time.Time{"gone": now.Add(-time.Minute), "going": now}}}
	h := &held{OpArrived: reducer.OpArrived{Op: 1, ID: "a"}, rule: once, mostPushes: 3, until: now.Add(time.Minute)}
	if l.begin(now, h, reducer.Push{Op: 1}); l.guard.Counts()["starting"] != 2 {
		t.Errorf("an id that is out, and nobody granted it: %v", l.guard.Counts())
	}
	sent := func(worker string, left time.Duration, looked, until time.Time) uint64 {
		before := l.guard.Counts()["sending"]
		h.until = until
		h.looked.Store(&looked)
		l.sending(h, worker, left)
		return l.guard.Counts()["sending"] - before
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
		rule   config.CategoryRule
		pushes attempts
		want   uint64
	}{"never ran": {once, past(outcome.Returned, 0), 0}, "may have run": {once, past(outcome.TimedOut, 0), 1}, "may be rerun": {any, past(outcome.TimedOut, 0), 0},
		"all workers drop it": {config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}, past(outcome.TimedOut, 0), 0},
		"no more by then":     {config.CategoryRule{Effect: deduplicated, Scope: "all", Window: time.Second}, past(outcome.TimedOut, 2*time.Second), 1}} {
		l := &loop{guard: invariant.New(zerolog.Nop()), byID: map[string]uint64{}, rule: func(string) config.CategoryRule { return c.rule }, mostPushes: func() int { return 3 }}
		l.checkAnswer(now, &held{rule: c.rule, pushes: c.pushes}, reducer.Respond{Verdict: reducer.Nacked})
		if got := l.guard.Counts()["repeating"]; got != c.want {
			t.Errorf("a nack of what %s: %d", name, got)
		}
	}
}
