package scheduler

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/testsupport/fragmentpeer"
)

// A repeat of a deduplicated op is decided on within the window in which its worker group drops it, and is held up on its way: a dial that takes
// its whole time, a list that is being read, a worker whose machine takes nothing. It must not be written once the window is over.
func TestNoRepeatIsWrittenAfterItsWindow(t *testing.T) {
	const (
		window  = 400 * time.Millisecond
		resets  = 200 * time.Millisecond // after the first attempt, which may have run by then
		held    = 460 * time.Millisecond // the repeat may be written again, so long after the first attempt
		socket  = 50 * time.Millisecond  // by which limits are longer on sockets
		further = 300 * time.Millisecond // for a repeat that must not come
	)
	var mu sync.Mutex
	var came []time.Time
	worker := fragmentpeer.Serve(t, func(c *net.TCPConn) {
		for in := bufio.NewReader(c); ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.TrimSpace(line) != "" {
				continue
			}
			mu.Lock()
			came = append(came, time.Now())
			mu.Unlock()
			time.Sleep(resets)
			c.SetLinger(0)
			c.Close()
		}
	})
	rule := config.CategoryRule{Effect: deduplicated, Scope: "all", Window: window}
	l := newLoopOf(t, worker, 3, rule, map[string]any{"name": "look", "effect": "dedup", "dedupScope": "all",
		"windowNs": float64(window), "ttlNs": 60e9, "targetLatencyNs": 60e9})
	l.opts.Workers.Stale = func() bool { // the repeat is held up, the first attempt is not
		mu.Lock()
		defer mu.Unlock()
		return len(came) > 0 && time.Since(came[0]) < held
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx)
	op, reply := submission(l, 1, &stubClient{})
	op.Rule, op.MaxAttempts = rule, 3
	if err := l.Submit(ctx, op); err != nil {
		t.Fatal(err)
	}
	if answer := receive(t, "the op's answer", reply); answer.Verdict == reducer.Acked {
		t.Errorf("%+v", answer)
	}
	time.Sleep(further)
	mu.Lock()
	defer mu.Unlock()
	for _, at := range came[1:] {
		if after := at.Sub(came[0]); after > window+socket {
			t.Errorf("a repeat came %v after the first attempt, the window is %v", after, window)
		}
	}
}
