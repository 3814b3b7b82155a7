package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// BenchmarkGuards is what all guards of one op cost that is pushed once and answered.
func BenchmarkGuards(b *testing.B) {
	rule := config.CategoryRule{Effect: "at-most-once"}
	l := &loop{guard: invariant.New(zerolog.Nop()), byID: map[string]uint64{}, held: map[uint64]*held{}, workers: watched{grace: time.Second, since: map[string]time.Time{"w": {}}},
		rule: func(string) config.CategoryRule { return rule }, mostPushes: func() int { return 3 }}
	now := time.Now()
	push := reducer.Push{Op: 1, Worker: "w"}
	b.ReportAllocs()
	for range b.N {
		h := &held{OpArrived: reducer.OpArrived{Op: 1, ID: "a", Category: "c"}, client: context.Background(), rule: rule, mostPushes: 3, until: now.Add(time.Hour)}
		h.looked.Store(&now)
		l.held[1] = h
		l.begin(now, h, push)
		h.looked.Store(ref(time.Now()))
		l.sending(h, "w", time.Second)
		l.noteEnd(reducer.AttemptEnded{Op: 1, Ending: outcome.Done})
		l.checkAnswer(now, h, reducer.Respond{Op: 1, Verdict: reducer.Acked})
	}
	if counts := l.guard.Counts(); counts["sending"]+counts["repeating"]+counts["starting"] > 0 {
		b.Errorf("%v", counts)
	}
}

func ref(t time.Time) *time.Time { return &t }
