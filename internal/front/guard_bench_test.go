package front

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/guard"
	"woaddyke/internal/ops"
	"woaddyke/internal/outcome"
	"woaddyke/internal/terms"
)

// BenchmarkGuards is what all guards of one op cost that is pushed once and answered.
func BenchmarkGuards(b *testing.B) {
	rule := terms.CategoryRule{Effect: "at-most-once"}
	l := &loop{guard: guard.New(zerolog.Nop()), byID: map[string]uint64{}, held: map[uint64]*held{}, workers: watched{grace: time.Second, since: map[string]time.Time{"w": {}}},
		rule: func(string) terms.CategoryRule { return rule }, mostPushes: func() int { return 3 }}
	now := time.Now()
	push := ops.Push{Op: 1, Worker: "w"}
	b.ReportAllocs()
	for range b.N {
		h := &held{OpArrived: ops.OpArrived{Op: 1, ID: "a", Category: "c"}, client: context.Background(), rule: rule, mostPushes: 3, until: now.Add(time.Hour)}
		h.looked.Store(&now)
		l.held[1] = h
		l.begin(now, h, push)
		h.looked.Store(ref(time.Now()))
		l.sending(h, "w", time.Second)
		l.noteEnd(ops.AttemptEnded{Op: 1, Ending: outcome.Done})
		l.checkAnswer(now, h, ops.Respond{Op: 1, Verdict: ops.Acked})
	}
	if counts := l.guard.Counts(); counts["sending"]+counts["repeating"]+counts["starting"] > 0 {
		b.Errorf("%v", counts)
	}
}

func ref(t time.Time) *time.Time { return &t }
