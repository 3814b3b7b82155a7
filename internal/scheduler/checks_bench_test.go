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

// BenchmarkChecks measures all checks of an op that has one attempt and is answered.
func BenchmarkChecks(b *testing.B) {
	rule := config.CategoryRule{Effect: "at-most-once"}
	c := newChecks(invariant.New(zerolog.Nop()), fixedPolicy{rule: rule, maxAttempts: 3}, time.Second)
	c.workers.drainingSince["w"] = time.Time{}
	pending := map[uint64]*pendingOp{}
	now := time.Now()
	push := reducer.Push{Op: 1, Worker: "w"}
	b.ReportAllocs()
	for range b.N {
		p := &pendingOp{Submit: Submit{
			Op:          reducer.OpArrived{Op: 1, ID: "a", Category: "c"},
			Rule:        rule,
			MaxAttempts: 3,
			Deadline:    now.Add(time.Hour),
		}}
		p.checkedAt.Store(&now)
		pending[1] = p
		c.addAttempt(now, p, push)
		p.checkedAt.Store(timePointer(time.Now()))
		c.checkFirstByte(p, "w", time.Second)
		c.recordEnding(pending[1], reducer.AttemptEnded{Op: 1, Ending: outcome.Done})
		c.checkAnswer(now, p, reducer.Respond{Op: 1, Verdict: reducer.Acked})
	}
	if counts := c.Counts(); counts["sending"]+counts["repeating"]+counts["starting"] > 0 {
		b.Errorf("%v", counts)
	}
}

func timePointer(t time.Time) *time.Time { return &t }
