package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/outcome"
)

// fakeOutage simulates a discovery service that is unreachable for a while, on the test's clock. It has one
// list before and another after.
type fakeOutage struct {
	pipeListener
	startedAt     time.Time
	downAt, upAt  time.Duration // it is unreachable between them
	openWatch     behavior      // of a watch that is open at downAt: resetConn or hang
	behaviors     []behavior    // of the calls while it is unreachable, in rotation
	responseDelay time.Duration // of responses from upAt on
	entriesAfter  string        // targets of its list from upAt on
	*callCounter
}

// callCounter counts the calls while discovery is unreachable.
type callCounter struct {
	mu       sync.Mutex
	calls    int
	lastCall time.Duration // time of the last call
}

func (c *callCounter) add(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls, c.lastCall = c.calls+1, at
}

func (c *callCounter) totals() (calls int, last time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.lastCall
}

const (
	refuseDial behavior = 100 + iota // refuses the connection
	hangDial                         // never establishes the connection
	reject429                        // responds with 429
)

func (o *fakeOutage) currentBehavior() (w behavior, down bool) {
	since := time.Since(o.startedAt)
	if since < o.downAt || since >= o.upAt {
		return respond, false
	}
	calls, _ := o.totals()
	return o.behaviors[calls%len(o.behaviors)], true
}

func (o *fakeOutage) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch w, _ := o.currentBehavior(); w {
	case refuseDial:
		o.add(time.Since(o.startedAt))
		return nil, errors.New("refused")
	case hangDial:
		o.add(time.Since(o.startedAt))
		ctx, stop := context.WithTimeout(ctx, dialTimeout)
		defer stop()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.pipeListener.dial(ctx, network, addr)
}

func (o *fakeOutage) serve() {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current, down := o.currentBehavior()
		send := func(text string) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
		sendHeartbeats := func(until time.Duration) {
			for r.Context().Err() == nil && time.Since(o.startedAt) < until {
				time.Sleep(min(heartbeatInterval, until-time.Since(o.startedAt)))
				send("\n")
			}
		}
		if down {
			o.add(time.Since(o.startedAt))
		}
		switch current {
		case respond:
			if time.Since(o.startedAt) < o.downAt {
				send(`{"rev":8,"all":true,"targets":[]}` + "\n")
				if sendHeartbeats(o.downAt); o.openWatch == resetConn {
					panic(http.ErrAbortHandler)
				}
				break
			}
			time.Sleep(o.responseDelay)
			send(`{"rev":9,"all":true,"targets":[` + o.entriesAfter + "]}\n")
			sendHeartbeats(time.Hour)
		case headOnly:
			send("")
		case partialObject:
			send(`{"rev":9,"all":true,`)
			sendHeartbeats(time.Hour)
		case resetConn:
			panic(http.ErrAbortHandler)
		case reject503:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case reject429:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		<-r.Context().Done()
	})}
	s.Serve(&o.pipeListener)
}

// measureDelay returns how long after discovery's return its list was applied. If move is positive, the
// address changes at that time.
func (o *fakeOutage) measureDelay(t *testing.T, seed uint64, timeouts Timeouts, move time.Duration) (after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		o.pipeListener, o.startedAt, o.callCounter = pipeListener{make(chan net.Conn), make(chan struct{})}, time.Now(), &callCounter{}
		go o.serve()
		at := make(chan time.Time, 99)
		client := NewClient("discovery", EndpointList{}, timeouts, seed, newEmptyStartTimes(), func(in reducer.Input) {
			if in.(reducer.EndpointsChanged).Revision == 9 {
				at <- time.Now()
			}
		}, zerolog.Nop())
		client.httpClient.Transport.(*http.Transport).DialContext = o.dial
		go client.Run(ctx)
		if move > 0 {
			time.Sleep(move)
			client.SetAddress("another")
		}
		after = (<-at).Sub(o.startedAt) - o.upAt
		stop()
		close(o.closed)
		time.Sleep(time.Minute) // until all goroutines have ended
	})
	return after
}

// A change is in force 6 s after discovery has it and is reachable. After calls were rejected for 20 s, a
// single scheduler applied the change 17.7 s later, and one of three hundred 18.7 s later: the backoff
// doubled up to 16 s plus half of that, its first value grew with the number of schedulers, and it was added
// to the duration of calls that hung.
func TestAChangeIsAppliedWithinSixSecondsOfDiscoverysReturn(t *testing.T) {
	for name, x := range map[string]struct {
		fakeOutage
		move time.Duration
	}{
		"down at the start":     {fakeOutage: fakeOutage{upAt: 4 * time.Second, behaviors: []behavior{refuseDial}}},
		"hangs at the start":    {fakeOutage: fakeOutage{upAt: 7 * time.Second, behaviors: []behavior{hang}}},
		"503 at the start":      {fakeOutage: fakeOutage{upAt: 11 * time.Second, behaviors: []behavior{reject503}}},
		"a silent watch":        {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 9 * time.Second, openWatch: hang}},
		"a reset watch":         {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 9 * time.Second, openWatch: resetConn}},
		"refused":               {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: resetConn, behaviors: []behavior{refuseDial}}},
		"reset":                 {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: resetConn, behaviors: []behavior{resetConn}}},
		"dials hang":            {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: hang, behaviors: []behavior{hangDial}}},
		"hangs":                 {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: hang, behaviors: []behavior{hang}}},
		"hangs after the head":  {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: hang, behaviors: []behavior{headOnly}}},
		"hangs in an object":    {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: hang, behaviors: []behavior{partialObject}}},
		"503":                   {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 29 * time.Second, openWatch: resetConn, behaviors: []behavior{reject503}}},
		"503 for minutes":       {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 150 * time.Second, openWatch: resetConn, behaviors: []behavior{reject503}}},
		"429":                   {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 12 * time.Second, openWatch: resetConn, behaviors: []behavior{reject429}}},
		"429 for minutes":       {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 100 * time.Second, openWatch: hang, behaviors: []behavior{reject429}}},
		"all in rotation":       {fakeOutage: fakeOutage{downAt: 9 * time.Second, upAt: 40 * time.Second, openWatch: resetConn, behaviors: []behavior{reject503, hang, refuseDial, headOnly, resetConn, partialObject, hangDial}}},
		"503 across a SIGHUP":   {fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: resetConn, behaviors: []behavior{reject503}}, 24500 * time.Millisecond},
		"hangs across a SIGHUP": {fakeOutage{downAt: 9 * time.Second, upAt: 25 * time.Second, openWatch: hang, behaviors: []behavior{hang}}, 24500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, pushes := range []bool{true, false} {
				for _, schedulers := range []int{1, 300} { // for more than 300, the timeouts are the same
					if pushes && schedulers > 1 {
						continue // an agent serves one scheduler
					}
					for _, grace := range []time.Duration{250 * time.Millisecond, 10 * time.Second} {
						for _, slow := range []time.Duration{0, usualResponseTime, responseTimeout - timingSlack} {
							if slow > 0 && pushes {
								continue // an agent responds immediately
							}
							timeouts, worst, seed := TimeoutsFor(pushes, schedulers, grace), time.Duration(0), uint64(0)
							runs := uint64(3)
							if x.upAt > time.Minute {
								runs = 1
							}
							for k := range runs {
								o := x.fakeOutage
								if o.responseDelay = slow; o.upAt > o.downAt {
									o.upAt += time.Duration(k) * 970 * time.Millisecond // varies the position between two calls
								}
								if delay := o.measureDelay(t, k, timeouts, x.move); delay > worst {
									worst, seed = delay, k
								}
							}
							limit := changeDeadline - applyTime
							if slow > usualResponseTime {
								limit += min(grace*9/10, slow-usualResponseTime)
							}
							if worst > limit {
								t.Errorf("pushes %t, %d schedulers, grace %v, responses in %v, seed %d: applied %v after the return", pushes, schedulers, grace, slow, seed, worst)
							}
						}
					}
				}
			}
		})
	}
}

// Covers the path from discovery to the pushes: a worker that is draining when discovery returns gets no push
// later than 6 s plus the drain grace after the return. After 20 s of 503s, such a worker got its last push
// 17.6 s after the return (seed 0). In this test it is the worker "old", which is serving in the known list
// and draining in the list after the return.
func TestADrainingWorkerGetsNoLatePushAfterRejectedCalls(t *testing.T) {
	const drainingEntry, otherEntry = `{"uid":"old","endpoint":"a:1","state":"SERVING"}`, `{"uid":"other","endpoint":"a:2","state":"SERVING"}`
	for _, schedulers := range []int{1, 300} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 2500 * time.Millisecond} {
			for _, behaviors := range [][]behavior{{reject503}, {reject503, hang, refuseDial}} {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) {
						o := fakeOutage{callCounter: &callCounter{}, pipeListener: pipeListener{make(chan net.Conn), make(chan struct{})}, startedAt: time.Now(), behaviors: behaviors, responseDelay: usualResponseTime,
							upAt: 20*time.Second + time.Duration(seed)*1100*time.Millisecond, entriesAfter: strings.Replace(drainingEntry, "SERVING", "DRAINING", 1) + "," + otherEntry}
						go o.serve()
						var known EndpointList
						if err := json.Unmarshal([]byte("{\"targets\":["+drainingEntry+","+otherEntry+"]}"), &known); err != nil {
							t.Fatal(err)
						}
						scheduling, inputs := reducer.New(seed, map[string]any{"bounds.maxPushes": 1.0, "step": 10.0, "categories.0.name": "look",
							"categories.0.ttl": 5.0, "categories.0.effect": "redeliverable", "categories.0.targetLatency": 10_000.0}), make(chan reducer.Input, 9)
						at := func() dispatch.Time { return config.RoundUp(time.Since(o.startedAt).Nanoseconds()) + 1 }
						list := known.EndpointsChanged(newEmptyStartTimes())
						list.Snapshot, list.Cached = true, true
						scheduling.Step(at(), list)
						client := NewClient("discovery", known, TimeoutsFor(false, schedulers, grace), seed, newEmptyStartTimes(), func(in reducer.Input) { inputs <- in }, zerolog.Nop())
						client.httpClient.Transport.(*http.Transport).DialContext = o.dial
						ctx, stop := context.WithCancel(context.Background())
						go client.Run(ctx)
						last, pushes := map[string]time.Duration{}, map[string]int{}
						for n := uint64(1); time.Since(o.startedAt) < o.upAt+25*time.Second; n++ {
							var effects []reducer.Effect
							select {
							case in := <-inputs:
								effects = scheduling.Step(at(), in)
							case <-time.After(50 * time.Millisecond):
								effects = scheduling.Step(at(), reducer.OpArrived{Op: n, ID: fmt.Sprint(n), Category: "look", TTL: at() + 20_000})
							}
							for _, e := range effects {
								if p, ok := e.(reducer.Push); ok {
									last[p.Worker], pushes[p.Worker] = time.Since(o.startedAt)-o.upAt, pushes[p.Worker]+1
									scheduling.Step(at(), reducer.AttemptEnded{Op: p.Op, Ending: outcome.Done})
								}
							}
						}
						if lastPush := last["old"]; lastPush > changeDeadline+grace || lastPush < 0 {
							t.Errorf("%d schedulers, grace %v, seed %d: last push to a draining worker %v after discovery's return", schedulers, grace, seed, lastPush)
						}
						if last["other"] < 24*time.Second || pushes["old"] < 50 {
							t.Errorf("pushes: %v, the last at %v", pushes, last)
						}
						stop()
						close(o.closed)
						time.Sleep(time.Minute) // until all goroutines have ended
					})
				}
			}
		}
	}
}

// An address change interrupts a backoff and causes one immediate call. The interrupted backoff must not
// shorten the backoff after that call.
func TestARejectingAddressIsCalledOnceAfterAnAddressChange(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			o := fakeOutage{callCounter: &callCounter{}, pipeListener: pipeListener{make(chan net.Conn), make(chan struct{})}, startedAt: time.Now(), behaviors: []behavior{reject503}, upAt: time.Hour}
			go o.serve()
			client := NewClient("discovery", EndpointList{}, TimeoutsFor(false, 300, 2500*time.Millisecond), seed, newEmptyStartTimes(), func(reducer.Input) {}, zerolog.Nop())
			client.httpClient.Transport.(*http.Transport).DialContext = o.dial
			ctx, stop := context.WithCancel(context.Background())
			go client.Run(ctx)
			time.Sleep(time.Minute)
			before, _ := o.totals()
			now := time.Since(o.startedAt)
			client.SetAddress("another")
			time.Sleep(time.Second)
			if calls, last := o.totals(); calls != before+1 || last != now {
				t.Errorf("seed %d: %d calls in the second after the address change, the last %v after it", seed, calls-before, last-now)
			}
			stop()
			close(o.closed)
			time.Sleep(time.Minute) // until all goroutines have ended
		})
	}
}

// A single scheduler calls over real sockets. Its calls are rejected, reset before the head, or get a partial
// object; it must call again until a call gets a list.
func TestAListIsReceivedOverRealSocketsAfterFailedCalls(t *testing.T) {
	t.Parallel()
	behaviors := []behavior{reject503, reject429, resetConn, partialObject, reject503, respond}
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch behaviors[min(int(calls.Add(1)), len(behaviors))-1] {
		case reject503:
			w.WriteHeader(http.StatusServiceUnavailable)
		case reject429:
			w.WriteHeader(http.StatusTooManyRequests)
		case resetConn:
			panic(http.ErrAbortHandler)
		case partialObject:
			io.WriteString(w, `{"rev":8,"all":true,`)
		case respond:
			io.WriteString(w, `{"rev":9,"all":true,"targets":[]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer s.Close()
	revisions := make(chan int64, 9)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go NewClient(s.Listener.Addr().String(), EndpointList{Rev: 7}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) { revisions <- in.(reducer.EndpointsChanged).Revision }, zerolog.Nop()).Run(ctx)
	select {
	case rev := <-revisions:
		if rev != 9 || calls.Load() != int64(len(behaviors)) {
			t.Errorf("received revision %d by call %d of %d", rev, calls.Load(), len(behaviors))
		}
	case <-time.After(time.Minute):
		t.Errorf("no list after %d calls", calls.Load())
	}
}

// Verifies the sums of timeouts and backoffs for many numbers of schedulers and graces, with the extreme
// random values.
func TestTheTimeoutsOfAWatchFitIntoSixSeconds(t *testing.T) {
	for _, pushes := range []bool{true, false} {
		for _, schedulers := range []int{1, 2, 20, 68, 88, 300, 1000, 4096, 6300, 20000} {
			for _, grace := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second,
				1250 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second, time.Minute} {
				t.Run(fmt.Sprint(pushes, " ", schedulers, " ", grace), func(t *testing.T) {
					s := TimeoutsFor(pushes, schedulers, grace)
					// By how much a sum may exceed changeDeadline if a response takes its full timeout: a part of
					// the grace if discovery is polled, none if it pushes.
					allowedExcess := time.Duration(0)
					if !pushes {
						allowedExcess = time.Duration(graceFraction * float64(grace))
					}
					for _, response := range []struct{ duration, maxExcess time.Duration }{{min(usualResponseTime, s.Response), 0}, {s.Response, allowedExcess}} {
						checkSum := func(name string, beforeCall time.Duration) {
							if sum := beforeCall + response.duration + applyTime; sum > changeDeadline+response.maxExcess {
								t.Errorf("%s: %v, with a response in %v", name, sum, response.duration)
							}
						}
						checkSum("the start, or a watch that ended", s.nextBackoff(callHistory{}, 1))
						checkSum("a silent watch", s.Idle+s.nextBackoff(callHistory{idle: true}, 1))
						for failures := 1; failures < 70; failures++ {
							for _, random := range []float64{0, 0.5, 1} {
								for _, rejections := range []int{0, 1, failures/2 + 1, failures} {
									for _, duration := range []time.Duration{0, dialTimeout, s.Response} {
										h := callHistory{failures: failures, rejections: min(rejections, failures), duration: duration}
										checkSum(fmt.Sprint(h, random), duration+s.nextBackoff(h, random))
										if h.backoff = s.nextBackoff(callHistory{}, random); failures == 1 && rejections == 1 && duration == 0 {
											checkSum("rejected at the start or after a break", h.backoff+s.nextBackoff(h, 1))
										}
									}
								}
							}
						}
						// Discovery is reachable until a call falls silent after its head or in an object. So
						// the sum counts from that moment.
						checkSum("a call without a complete body", s.Idle+s.nextBackoff(callHistory{failures: 9, rejections: 9, idle: true, duration: s.Idle}, 1))
					}
				})
			}
		}
	}
}
