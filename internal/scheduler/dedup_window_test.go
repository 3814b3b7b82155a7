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

// Guards against a retry that is decided within the deduplication window of its worker group but written
// after the window. The write may be delayed by a dial that takes its full timeout, by an endpoint list that
// is being read, or by a worker whose machine accepts no data.
func TestNoRetryIsWrittenAfterTheDeduplicationWindow(t *testing.T) {
	const (
		window     = 400 * time.Millisecond
		resetAfter = 200 * time.Millisecond // from a request to its reset; the attempt may have run
		retryDelay = 460 * time.Millisecond // from the first attempt until a retry may be written
		tolerance  = 50 * time.Millisecond  // for delays of the sockets
		observeFor = 300 * time.Millisecond // after the answer, to see a retry that must not arrive
	)
	var mu sync.Mutex
	var arrivals []time.Time
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
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			time.Sleep(resetAfter)
			c.SetLinger(0)
			c.Close()
		}
	})
	rule := config.CategoryRule{Effect: deduplicated, Scope: "all", Window: window}
	l := newLoopWithCategory(t, worker, 3, rule, map[string]any{"name": "look", "effect": "dedup",
		"dedupScope": "all", "windowNs": float64(window), "ttlNs": 60e9, "targetLatencyNs": 60e9})
	l.opts.Workers.Stale = func() bool { // delays the retry, but not the first attempt
		mu.Lock()
		defer mu.Unlock()
		return len(arrivals) > 0 && time.Since(arrivals[0]) < retryDelay
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx)
	op, reply := newSubmission(l, 1, &stubClient{})
	op.Rule, op.MaxAttempts = rule, 3
	if err := l.Submit(ctx, op); err != nil {
		t.Fatal(err)
	}
	if answer := await(t, "the op's answer", reply); answer.Verdict == reducer.Acked {
		t.Errorf("the op was acked: %+v", answer)
	}
	time.Sleep(observeFor)
	mu.Lock()
	defer mu.Unlock()
	for _, at := range arrivals[1:] {
		if after := at.Sub(arrivals[0]); after > window+tolerance {
			t.Errorf("a retry arrived %v after the first attempt, the window is %v", after, window)
		}
	}
}
