package scheduler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/testsupport/fragmentpeer"
	"woaddyke/internal/workers/workerconn"
)

// stubClient is a client without a protocol. It stays connected until a test sets disconnected.
type stubClient struct {
	disconnected atomic.Bool
	mayHaveRunIn atomic.Pointer[reducer.Group]
}

func (c *stubClient) Disconnected() bool   { return c.disconnected.Load() }
func (c *stubClient) CheckConnected() bool { return !c.disconnected.Load() }

func (c *stubClient) Request(left time.Duration) []byte {
	head := "POST / HTTP/1.1\r\nHost: w\r\nContent-Length: 0\r\n"
	return fmt.Appendf(nil, "%sX-Left: %d\r\n\r\n", head, left.Milliseconds())
}

func (c *stubClient) MayHaveRun(group reducer.Group) { c.mayHaveRunIn.Store(&group) }

// startWorker starts a worker that answers each request with the result of op "a", and counts the requests.
func startWorker(t *testing.T) (addr string, attempts *atomic.Int32) {
	t.Helper()
	attempts = &atomic.Int32{}
	lines := `{"id":"a","state":"started"}` + "\n" + `{"id":"a","state":"done","result":"made"}` + "\n"
	addr = fragmentpeer.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.TrimSpace(line) != "" {
				continue
			}
			attempts.Add(1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines)
		}
	})
	return addr, attempts
}

// newLoop returns a loop with one worker at workerAddr and the category "look", with one attempt per op.
func newLoop(t *testing.T, workerAddr string) *Loop {
	t.Helper()
	category := map[string]any{"name": "look", "effect": "fragile", "ttlNs": 60e9, "targetLatencyNs": 60e9}
	return newLoopWithCategory(t, workerAddr, 1, config.CategoryRule{Effect: "fragile"}, category)
}

// newLoopWithCategory returns a loop with one worker at workerAddr and one category.
func newLoopWithCategory(
	t *testing.T, workerAddr string, maxAttempts int, rule config.CategoryRule, category map[string]any,
) *Loop {
	t.Helper()
	l := New(Options{
		Reducer: reducer.New(1, config.Flatten(map[string]any{
			"bounds":     map[string]any{"maxPushes": float64(maxAttempts), "connectTimeoutNs": 50e6},
			"categories": []any{category},
		})),
		Workers: workerconn.New(workerconn.Bounds{
			MaxOpen: 9, DialTimeout: time.Second, IdleTimeout: time.Second,
		}),
		Policy:         fixedPolicy{rule: rule, maxAttempts: maxAttempts},
		Checker:        invariant.New(zerolog.Nop()),
		Metrics:        metrics.New([]string{"look"}),
		Clock:          clock.New(),
		Log:            zerolog.Nop(),
		ConnectTimeout: time.Second,
		DrainGrace:     time.Second,
		OnStep:         func(time.Time) {},
	})
	l.Send(reducer.EndpointsChanged{Snapshot: true, Endpoints: []reducer.Endpoint{
		{Worker: "w", Addr: workerAddr, Zone: "east", Ready: true},
	}})
	return l
}

// newSubmission returns an op of a client, and the channel that receives its answer.
func newSubmission(l *Loop, number uint64, client Client) (Submit, <-chan reducer.Respond) {
	deadline := time.Now().Add(time.Minute)
	reply := make(chan reducer.Respond, 1)
	return Submit{
		Op: reducer.OpArrived{
			Op: number, ID: "a", Category: "look", TTL: config.RoundDown(l.opts.Clock.FromTime(deadline)),
		},
		Client:      client,
		Deadline:    deadline,
		Rule:        config.CategoryRule{Effect: "fragile"},
		MaxAttempts: 1,
		Reply:       reply,
	}, reply
}

func await[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: nothing received within 10 s", what)
		panic("unreachable")
	}
}

// The loop depends only on the Client interface, so a frontend of any protocol may submit ops.
func TestAClientOfAnyProtocolIsServed(t *testing.T) {
	addr, attempts := startWorker(t)
	l := newLoop(t, addr)
	go l.Run(t.Context())
	await(t, "the first endpoint list", l.EndpointsReady())
	client := &stubClient{}
	op, reply := newSubmission(l, 1, client)
	if err := l.Submit(t.Context(), op); err != nil {
		t.Fatal(err)
	}
	if got := await(t, "an answer", reply); got.Verdict != reducer.Acked || string(got.Result) != "made" {
		t.Errorf("%v %q, attempts %d", got.Verdict, got.Result, attempts.Load())
	}
	if group := client.mayHaveRunIn.Load(); group == nil || group.Zone != "east" {
		t.Errorf("MayHaveRun was called with group %+v, want zone east", group)
	}
	for rule, violations := range l.opts.Checker.Counts() {
		if violations > 0 {
			t.Errorf("%s: %d violations", rule, violations)
		}
	}
}

// An op whose client disconnects while the op is in the inbox is dropped without an attempt.
func TestAnOpWhoseClientDisconnectsInTheInboxIsNotAccepted(t *testing.T) {
	addr, attempts := startWorker(t)
	l := newLoop(t, addr)
	disconnecting := &stubClient{}
	dropped, droppedReply := newSubmission(l, 1, disconnecting)
	op, reply := newSubmission(l, 2, &stubClient{})
	for _, s := range []Submit{dropped, op} {
		if err := l.Submit(t.Context(), s); err != nil {
			t.Fatal(err)
		}
	}
	disconnecting.disconnected.Store(true)
	go l.Run(t.Context())
	await(t, "the answer to the connected client", reply)
	states := make(chan State, 1)
	l.Inbox() <- Query(func(s State) { states <- s })
	s := await(t, "the state", states)
	if s.Submitted != 1 || s.Pending != 0 || len(droppedReply) > 0 || attempts.Load() != 1 {
		t.Errorf("%d ops accepted, %d pending, %d answers to the disconnected client, %d attempts",
			s.Submitted, s.Pending, len(droppedReply), attempts.Load())
	}
}

// Submit returns an error when the loop has ended. While the inbox is full, it waits only as long as the
// client is connected.
func TestSubmitReturnsOnceTheClientDisconnectsOrTheLoopEnds(t *testing.T) {
	cancelled, cancelClient := context.WithCancel(t.Context())
	cancelClient()
	full := newLoop(t, "127.0.0.1:9")
	for range cap(full.Inbox()) - len(full.Inbox()) {
		full.Inbox() <- Query(func(State) {})
	}
	expiring, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	ended := newLoop(t, "127.0.0.1:9")
	ended.Run(cancelled)
	for range cap(ended.Inbox()) - len(ended.Inbox()) {
		ended.Inbox() <- Query(func(State) {})
	}
	for name, c := range map[string]struct {
		loop   *Loop
		client context.Context
		want   error
	}{
		"the client has disconnected":          {newLoop(t, "127.0.0.1:9"), cancelled, context.Canceled},
		"the client disconnects":               {full, expiring, context.DeadlineExceeded},
		"the loop has ended with a full inbox": {ended, t.Context(), ErrStopped},
	} {
		op, _ := newSubmission(c.loop, 1, &stubClient{})
		if err := c.loop.Submit(c.client, op); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// Learned returns ErrBusy if the loop does not answer within learnedTimeout, and the loop goes on afterwards.
// A successor then lacks only the learned state.
func TestLearnedTimesOutOnABusyLoop(t *testing.T) {
	l := newLoop(t, "127.0.0.1:9")
	start := time.Now()
	if _, err := l.HandOver(nil); !errors.Is(err, ErrBusy) {
		t.Errorf("a loop that doesn't run: %v, want %v", err, ErrBusy)
	}
	if waited := time.Since(start); waited < learnedTimeout {
		t.Errorf("it timed out after %v, want at least %v", waited, learnedTimeout)
	}
	go l.Run(t.Context())
	if _, err := l.HandOver(nil); err != nil {
		t.Error(err)
	}
}
