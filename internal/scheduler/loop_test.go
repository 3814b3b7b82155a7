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

// stubClient is a client of no protocol at all: it waits until it is told to leave.
type stubClient struct {
	left     atomic.Bool
	mayRunIn atomic.Pointer[reducer.Group]
}

func (c *stubClient) Disconnected() bool   { return c.left.Load() }
func (c *stubClient) CheckConnected() bool { return !c.left.Load() }

func (c *stubClient) Request(left time.Duration) []byte {
	head := "POST / HTTP/1.1\r\nHost: w\r\nContent-Length: 0\r\n"
	return fmt.Appendf(nil, "%sX-Left: %d\r\n\r\n", head, left.Milliseconds())
}

func (c *stubClient) MayHaveRun(group reducer.Group) { c.mayRunIn.Store(&group) }

// servingWorker is the address of a worker that serves each op under the ID "a", and counts what comes.
func servingWorker(t *testing.T) (addr string, attempts *atomic.Int32) {
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

// newLoop is a loop that knows one worker and serves the category "look", with one attempt to an op.
func newLoop(t *testing.T, worker string) *Loop {
	t.Helper()
	category := map[string]any{"name": "look", "effect": "fragile", "ttlNs": 60e9, "targetLatencyNs": 60e9}
	return newLoopOf(t, worker, 1, config.CategoryRule{Effect: "fragile"}, category)
}

// newLoopOf is a loop that knows one worker and serves one category, with so many attempts to an op.
func newLoopOf(t *testing.T, worker string, maxAttempts int, rule config.CategoryRule, category map[string]any) *Loop {
	t.Helper()
	l := New(Options{
		Reducer: reducer.New(1, config.Flatten(map[string]any{
			"bounds":     map[string]any{"maxPushes": float64(maxAttempts), "connectTimeoutNs": 50e6},
			"categories": []any{category},
		})),
		Workers:        workerconn.New(workerconn.Bounds{MaxOpen: 9, DialTimeout: time.Second, IdleTimeout: time.Second}),
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
		{Worker: "w", Addr: worker, Zone: "east", Ready: true},
	}})
	return l
}

// submission is an op of a client; its answer comes on the channel.
func submission(l *Loop, number uint64, client Client) (Submit, <-chan reducer.Respond) {
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

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: never", what)
		panic("unreachable")
	}
}

// The loop serves a client that it knows by its interface alone: a frontend of any protocol may submit ops.
func TestAClientOfAnyProtocolIsServed(t *testing.T) {
	addr, attempts := servingWorker(t)
	l := newLoop(t, addr)
	go l.Run(t.Context())
	receive(t, "listed", l.EndpointsReady())
	client := &stubClient{}
	op, reply := submission(l, 1, client)
	if err := l.Submit(t.Context(), op); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, "an answer", reply); got.Verdict != reducer.Acked || string(got.Result) != "made" {
		t.Errorf("%v %q, attempts %d", got.Verdict, got.Result, attempts.Load())
	}
	if group := client.mayRunIn.Load(); group == nil || group.Zone != "east" {
		t.Errorf("the client was told that it may have run in %+v", group)
	}
	for rule, violations := range l.opts.Checker.Counts() {
		if violations > 0 {
			t.Errorf("%s: %d violations", rule, violations)
		}
	}
}

// An op whose client disconnects while the op is in the inbox is not taken.
func TestAnOpOfAClientThatLeftInTheInboxIsNotTaken(t *testing.T) {
	addr, attempts := servingWorker(t)
	l := newLoop(t, addr)
	gone := &stubClient{}
	dropped, noReply := submission(l, 1, gone)
	op, reply := submission(l, 2, &stubClient{})
	for _, s := range []Submit{dropped, op} {
		if err := l.Submit(t.Context(), s); err != nil {
			t.Fatal(err)
		}
	}
	gone.left.Store(true)
	go l.Run(t.Context())
	receive(t, "the answer of the client that stays", reply)
	states := make(chan State, 1)
	l.Inbox() <- Query(func(s State) { states <- s })
	s := receive(t, "the state", states)
	if s.Submitted != 1 || s.Pending != 0 || len(noReply) > 0 || attempts.Load() != 1 {
		t.Errorf("%d taken, %d pending, %d answers to who left, %d attempts", s.Submitted, s.Pending, len(noReply),
			attempts.Load())
	}
}

// Nobody waits for a loop that has ended, or longer than its client stays for one that is full.
func TestSubmitGivesUp(t *testing.T) {
	disconnected, disconnect := context.WithCancel(t.Context())
	disconnect()
	full := newLoop(t, "127.0.0.1:9")
	for range cap(full.Inbox()) - len(full.Inbox()) {
		full.Inbox() <- Query(func(State) {})
	}
	leaves, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer leave()
	ended := newLoop(t, "127.0.0.1:9")
	ended.Run(disconnected)
	for range cap(ended.Inbox()) - len(ended.Inbox()) {
		ended.Inbox() <- Query(func(State) {})
	}
	for name, c := range map[string]struct {
		loop   *Loop
		client context.Context
		want   error
	}{
		"the client has left":      {newLoop(t, "127.0.0.1:9"), disconnected, context.Canceled},
		"the client leaves":        {full, leaves, context.DeadlineExceeded},
		"the loop has ended, full": {ended, t.Context(), ErrStopped},
	} {
		op, _ := submission(c.loop, 1, &stubClient{})
		if err := c.loop.Submit(c.client, op); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// A loop that is busy for too long costs a successor what was learned, and nothing else.
func TestLearnedGivesUpOnABusyLoop(t *testing.T) {
	l := newLoop(t, "127.0.0.1:9")
	began := time.Now()
	if _, err := l.Learned(); !errors.Is(err, ErrBusy) {
		t.Errorf("of a loop that doesn't run: %v", err)
	}
	if waited := time.Since(began); waited < learnedTimeout {
		t.Errorf("it gave up after %v", waited)
	}
	go l.Run(t.Context())
	if _, err := l.Learned(); err != nil {
		t.Error(err)
	}
}
