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

// outage is a discovery that can't be reached for a while, under a clock of the test's. It has a list
// before, and another after.
type outage struct {
	pipes
	from      time.Time
	cut, back time.Duration // it can't be reached between them
	open      way           // what becomes of an open watch when it is cut: reset or hangs
	how       []way         // of the calls in between, in turn
	slow      time.Duration // an answer takes so long after that
	then      string        // the entries of its list by then
	*tally
}

// tally is the calls while discovery can't be reached.
type tally struct {
	mu    sync.Mutex
	calls int
	last  time.Duration // of them
}

func (c *tally) add(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls, c.last = c.calls+1, at
}

func (c *tally) sum() (calls int, last time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.last
}

const (
	refused way = 100 + iota // no connection
	dialing                  // one that never comes up
	enough                   // a 429
)

func (o *outage) is() (w way, down bool) {
	since := time.Since(o.from)
	if since < o.cut || since >= o.back {
		return answers, false
	}
	calls, _ := o.sum()
	return o.how[calls%len(o.how)], true
}

func (o *outage) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	switch w, _ := o.is(); w {
	case refused:
		o.add(time.Since(o.from))
		return nil, errors.New("refused")
	case dialing:
		o.add(time.Since(o.from))
		ctx, stop := context.WithTimeout(ctx, dialTimeout)
		defer stop()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.pipes.dial(ctx, network, addr)
}

func (o *outage) serve() {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		how, down := o.is()
		say := func(text string) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
		beats := func(until time.Duration) {
			for r.Context().Err() == nil && time.Since(o.from) < until {
				time.Sleep(min(heartbeatInterval, until-time.Since(o.from)))
				say("\n")
			}
		}
		if down {
			o.add(time.Since(o.from))
		}
		switch how {
		case answers:
			if time.Since(o.from) < o.cut {
				say(`{"rev":8,"all":true,"targets":[]}` + "\n")
				if beats(o.cut); o.open == reset {
					panic(http.ErrAbortHandler)
				}
				break
			}
			time.Sleep(o.slow)
			say(`{"rev":9,"all":true,"targets":[` + o.then + "]}\n")
			beats(time.Hour)
		case headed:
			say("")
		case halved:
			say(`{"rev":9,"all":true,`)
			beats(time.Hour)
		case reset:
			panic(http.ErrAbortHandler)
		case turned:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case enough:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		<-r.Context().Done()
	})}
	s.Serve(&o.pipes)
}

// late is how long after discovery's return its list was applied; a move to another address comes in
// between where one is given.
func (o *outage) late(t *testing.T, seed uint64, spans Timeouts, move time.Duration) (after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		o.pipes, o.from, o.tally = pipes{make(chan net.Conn), make(chan struct{})}, time.Now(), &tally{}
		go o.serve()
		at := make(chan time.Time, 99)
		r := NewClient("discovery", EndpointList{}, spans, seed, unknown(), func(in reducer.Input) {
			if in.(reducer.EndpointsChanged).Revision == 9 {
				at <- time.Now()
			}
		}, zerolog.Nop())
		r.httpClient.Transport.(*http.Transport).DialContext = o.dial
		go r.Run(ctx)
		if move > 0 {
			time.Sleep(move)
			r.SetAddress("another")
		}
		after = (<-at).Sub(o.from) - o.back
		stop()
		close(o.ended)
		time.Sleep(time.Minute) // all ends
	})
	return after
}

// A change counts as told 6 s after discovery had it and could be reached. A scheduler that asks alone
// and whose calls were turned away for 20 s applied it 17.7 s after that, one of three hundred 18.7 s:
// waits doubled, up to 16 s and a half more, started from the number of schedulers, and came on top of
// calls that hung.
func TestWhatDiscoveryHasIsAppliedWithinSixSecondsOfItsReturn(t *testing.T) {
	for name, x := range map[string]struct {
		outage
		move time.Duration
	}{
		"down at the start":        {outage: outage{back: 4 * time.Second, how: []way{refused}}},
		"silent at the start":      {outage: outage{back: 7 * time.Second, how: []way{hangs}}},
		"turned away at the start": {outage: outage{back: 11 * time.Second, how: []way{turned}}},
		"a silent watch":           {outage: outage{cut: 9 * time.Second, back: 9 * time.Second, open: hangs}},
		"a reset watch":            {outage: outage{cut: 9 * time.Second, back: 9 * time.Second, open: reset}},
		"refused":                  {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: reset, how: []way{refused}}},
		"reset":                    {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: reset, how: []way{reset}}},
		"dials that hang":          {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: hangs, how: []way{dialing}}},
		"hangs":                    {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: hangs, how: []way{hangs}}},
		"hangs behind its head":    {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: hangs, how: []way{headed}}},
		"hangs in an object":       {outage: outage{cut: 9 * time.Second, back: 25 * time.Second, open: hangs, how: []way{halved}}},
		"503":                      {outage: outage{cut: 9 * time.Second, back: 29 * time.Second, open: reset, how: []way{turned}}},
		"503 for minutes":          {outage: outage{cut: 9 * time.Second, back: 150 * time.Second, open: reset, how: []way{turned}}},
		"429":                      {outage: outage{cut: 9 * time.Second, back: 12 * time.Second, open: reset, how: []way{enough}}},
		"429 for minutes":          {outage: outage{cut: 9 * time.Second, back: 100 * time.Second, open: hangs, how: []way{enough}}},
		"one and the other":        {outage: outage{cut: 9 * time.Second, back: 40 * time.Second, open: reset, how: []way{turned, hangs, refused, headed, reset, halved, dialing}}},
		"503 across a SIGHUP":      {outage{cut: 9 * time.Second, back: 25 * time.Second, open: reset, how: []way{turned}}, 24500 * time.Millisecond},
		"hangs across a SIGHUP":    {outage{cut: 9 * time.Second, back: 25 * time.Second, open: hangs, how: []way{hangs}}, 24500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, pushes := range []bool{true, false} {
				for _, schedulers := range []int{1, 300} { // for more, the spans are the same
					if pushes && schedulers > 1 {
						continue // an agent has one scheduler
					}
					for _, grace := range []time.Duration{250 * time.Millisecond, 10 * time.Second} {
						for _, slow := range []time.Duration{0, usualResponseTime, responseTimeout - slack} {
							if slow > 0 && pushes {
								continue // an agent answers at once
							}
							spans, worst, seed := TimeoutsFor(pushes, schedulers, grace), time.Duration(0), uint64(0)
							plays := uint64(3)
							if x.back > time.Minute {
								plays = 1
							}
							for k := range plays {
								o := x.outage
								if o.slow = slow; o.back > o.cut {
									o.back += time.Duration(k) * 970 * time.Millisecond // anywhere between two calls
								}
								if late := o.late(t, k, spans, x.move); late > worst {
									worst, seed = late, k
								}
							}
							most := changeDeadline - applyTime
							if slow > usualResponseTime {
								most += min(grace*9/10, slow-usualResponseTime)
							}
							if worst > most {
								t.Errorf("pushes %t, %d schedulers, grace %v, answers in %v, seed %d: applied %v after the return", pushes, schedulers, grace, slow, seed, worst)
							}
						}
					}
				}
			}
		})
	}
}

// From discovery to the pushes: a worker that drains at discovery's return gets nothing new from 6 s
// and the grace on. After 20 s of 503s it had its last one 17.6 s after that (seed 0).
func TestNothingIsPushedLateAfterDiscoveryTurnedCallsAway(t *testing.T) {
	const old, other = `{"uid":"old","endpoint":"a:1","state":"SERVING"}`, `{"uid":"other","endpoint":"a:2","state":"SERVING"}`
	for _, schedulers := range []int{1, 300} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 2500 * time.Millisecond} {
			for _, how := range [][]way{{turned}, {turned, hangs, refused}} {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) {
						o := outage{tally: &tally{}, pipes: pipes{make(chan net.Conn), make(chan struct{})}, from: time.Now(), how: how, slow: usualResponseTime,
							back: 20*time.Second + time.Duration(seed)*1100*time.Millisecond, then: strings.Replace(old, "SERVING", "DRAINING", 1) + "," + other}
						go o.serve()
						var known EndpointList
						if err := json.Unmarshal([]byte("{\"targets\":["+old+","+other+"]}"), &known); err != nil {
							t.Fatal(err)
						}
						decisions, inputs := reducer.New(seed, map[string]any{"bounds.maxPushes": 1.0, "step": 10.0, "categories.0.name": "look",
							"categories.0.ttl": 5.0, "categories.0.effect": "redeliverable", "categories.0.targetLatency": 10_000.0}), make(chan reducer.Input, 9)
						at := func() dispatch.Time { return config.RoundUp(time.Since(o.from).Nanoseconds()) + 1 }
						list := known.EndpointsChanged(unknown())
						list.Snapshot, list.Cached = true, true
						decisions.Step(at(), list)
						r := NewClient("discovery", known, TimeoutsFor(false, schedulers, grace), seed, unknown(), func(in reducer.Input) { inputs <- in }, zerolog.Nop())
						r.httpClient.Transport.(*http.Transport).DialContext = o.dial
						ctx, stop := context.WithCancel(context.Background())
						go r.Run(ctx)
						last, pushes := map[string]time.Duration{}, map[string]int{}
						for n := uint64(1); time.Since(o.from) < o.back+25*time.Second; n++ {
							var todo []reducer.Effect
							select {
							case in := <-inputs:
								todo = decisions.Step(at(), in)
							case <-time.After(50 * time.Millisecond):
								todo = decisions.Step(at(), reducer.OpArrived{Op: n, ID: fmt.Sprint(n), Category: "look", TTL: at() + 20_000})
							}
							for _, e := range todo {
								if p, ok := e.(reducer.Push); ok {
									last[p.Worker], pushes[p.Worker] = time.Since(o.from)-o.back, pushes[p.Worker]+1
									decisions.Step(at(), reducer.AttemptEnded{Op: p.Op, Ending: outcome.Done})
								}
							}
						}
						if late := last["old"]; late > changeDeadline+grace || late < 0 {
							t.Errorf("%d schedulers, grace %v, seed %d: the last push to a worker that drains %v after discovery's return", schedulers, grace, seed, late)
						}
						if last["other"] < 24*time.Second || pushes["old"] < 50 {
							t.Errorf("pushes: %v, the last of them at %v", pushes, last)
						}
						stop()
						close(o.ended)
						time.Sleep(time.Minute) // all ends
					})
				}
			}
		}
	}
}

// A move calls at once, and once: what it broke off was no wait that the new address has to make up
// for.
func TestAnAddressThatTurnsAwayIsCalledOnceAtAMove(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			o := outage{tally: &tally{}, pipes: pipes{make(chan net.Conn), make(chan struct{})}, from: time.Now(), how: []way{turned}, back: time.Hour}
			go o.serve()
			r := NewClient("discovery", EndpointList{}, TimeoutsFor(false, 300, 2500*time.Millisecond), seed, unknown(), func(reducer.Input) {}, zerolog.Nop())
			r.httpClient.Transport.(*http.Transport).DialContext = o.dial
			ctx, stop := context.WithCancel(context.Background())
			go r.Run(ctx)
			time.Sleep(time.Minute)
			before, _ := o.sum()
			now := time.Since(o.from)
			r.SetAddress("another")
			time.Sleep(time.Second)
			if calls, last := o.sum(); calls != before+1 || last != now {
				t.Errorf("seed %d: %d calls in the second after the move, the last %v after it", seed, calls-before, last-now)
			}
			stop()
			close(o.ended)
			time.Sleep(time.Minute) // all ends
		})
	}
}

// The same over real sockets, for a scheduler that asks alone: it is turned away, refused a head, cut
// in an object, and then told.
func TestAListComesThroughRealSocketsAfterFailedCalls(t *testing.T) {
	t.Parallel()
	ways := []way{turned, enough, reset, halved, turned, answers}
	var asked atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch ways[min(int(asked.Add(1)), len(ways))-1] {
		case turned:
			w.WriteHeader(http.StatusServiceUnavailable)
		case enough:
			w.WriteHeader(http.StatusTooManyRequests)
		case reset:
			panic(http.ErrAbortHandler)
		case halved:
			io.WriteString(w, `{"rev":8,"all":true,`)
		case answers:
			io.WriteString(w, `{"rev":9,"all":true,"targets":[]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer s.Close()
	heard := make(chan int64, 9)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go NewClient(s.Listener.Addr().String(), EndpointList{Rev: 7}, lone, 7, unknown(), func(in reducer.Input) { heard <- in.(reducer.EndpointsChanged).Revision }, zerolog.Nop()).Run(ctx)
	select {
	case rev := <-heard:
		if rev != 9 || asked.Load() != int64(len(ways)) {
			t.Errorf("told version %d by call %d of %d", rev, asked.Load(), len(ways))
		}
	case <-time.After(time.Minute):
		t.Errorf("not told after %d calls", asked.Load())
	}
}

// The same as sums, for every number of schedulers and every grace, with the worst draws of chance.
func TestTheSpansOfAWatchFitIntoSixSeconds(t *testing.T) {
	for _, pushes := range []bool{true, false} {
		for _, schedulers := range []int{1, 2, 20, 68, 88, 300, 1000, 4096, 6300, 20000} {
			for _, grace := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second,
				1250 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second, time.Minute} {
				t.Run(fmt.Sprint(pushes, " ", schedulers, " ", grace), func(t *testing.T) {
					s := TimeoutsFor(pushes, schedulers, grace)
					over := time.Duration(0) // of the grace, where an answer takes as long as is waited for
					if !pushes {
						over = time.Duration(graceFraction * float64(grace))
					}
					for _, answer := range []struct{ takes, over time.Duration }{{min(usualResponseTime, s.Response), 0}, {s.Response, over}} {
						sum := func(name string, from time.Duration) {
							if sum := from + answer.takes + applyTime; sum > changeDeadline+answer.over {
								t.Errorf("%s: %v, with an answer in %v", name, sum, answer.takes)
							}
						}
						sum("the start, or a watch that ended", s.nextBackoff(callHistory{}, 1))
						sum("a silent watch", s.Idle+s.nextBackoff(callHistory{idle: true}, 1))
						for fails := 1; fails < 70; fails++ {
							for _, luck := range []float64{0, 0.5, 1} {
								for _, away := range []int{0, 1, fails/2 + 1, fails} {
									for _, took := range []time.Duration{0, dialTimeout, s.Response} {
										b := callHistory{failures: fails, rejections: min(away, fails), duration: took}
										sum(fmt.Sprint(b, luck), took+s.nextBackoff(b, luck))
										if b.backoff = s.nextBackoff(callHistory{}, luck); fails == 1 && away == 1 && took == 0 {
											sum("turned away at the start or after a break", b.backoff+s.nextBackoff(b, 1))
										}
									}
								}
							}
						}
						// A call that is silent behind its head, or in an object, was reached at that
						// moment.
						sum("a call without a body", s.Idle+s.nextBackoff(callHistory{failures: 9, rejections: 9, idle: true, duration: s.Idle}, 1))
					}
				})
			}
		}
	}
}
