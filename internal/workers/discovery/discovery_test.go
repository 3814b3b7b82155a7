package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
)

// singleSchedulerTimeouts are the timeouts of a single scheduler.
var singleSchedulerTimeouts = TimeoutsFor(false, 1, time.Second)

// serveDiscovery responds to each call with the next response and then closes the call. Once no response is
// left, it keeps calls open.
func serveDiscovery(t *testing.T, responses ...string) (addr string, calls chan string) {
	calls = make(chan string, 9)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if len(responses) == 0 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, responses[0])
		responses = responses[1:]
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

func TestABrokenWatchResumesFromItsRevision(t *testing.T) {
	addr, calls := serveDiscovery(t,
		`{"rev":43,"all":false,"targets":[{"uid":"w","endpoint":"a:1","az":"z","pod_group":3,"state":"DRAINING",`+
			`"boot_ms":5},{"endpoint":"no name"}]}`+"\n\n")
	received := make(chan reducer.Input, 9)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go NewClient(addr, EndpointList{Rev: 41}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) { received <- in }, zerolog.Nop()).Run(ctx)
	for _, want := range []string{"stream=1&index=41", "stream=1&index=43"} {
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("called with %s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("not called again")
		}
	}
	in, ok := (<-received).(reducer.EndpointsChanged)
	if !ok || in.Snapshot || len(in.Endpoints) != 1 {
		t.Fatalf("%+v", in)
	}
	want := reducer.Endpoint{Worker: "w", Addr: "a:1", Zone: "z", WorkerGroup: 3, BootID: 5, StartedAt: in.Endpoints[0].StartedAt}
	if in.Endpoints[0] != want || want.StartedAt <= 0 {
		t.Errorf("%+v", in.Endpoints[0])
	}
}

// The list of a new address is in force 4 s after the address change. Guards against a wait that is too long:
// an agent that accepted the call and stayed silent blocked the watch for 6 s.
func TestASilentAgentIsCalledAgainAfterTheResponseTimeout(t *testing.T) {
	calls := make(chan bool, 9)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- true
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	client := NewClient("127.0.0.1:1", EndpointList{Rev: 1}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(reducer.Input) {}, zerolog.Nop())
	go client.Run(ctx)
	client.SetAddress(s.Listener.Addr().String())
	for range 2 {
		select {
		case <-calls:
		case <-time.After(singleSchedulerTimeouts.Response + time.Second):
			t.Fatal("not called")
		}
	}
}

// pipeListener is an in-memory listener, for tests with a fake clock. Its Close method does nothing: a test
// closes the channel closed instead.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Schedulers that differ only in their seed start together and call an overloaded discovery service:
//
//   - The service serves 13 calls per second in sequence. A call that has waited for 2 s fails, but the
//     service still does the work for it. The calls of 80 schedulers must be spread. With retries within
//     320 ms, the service worked on calls that had already failed, and only a fifth of the schedulers ever
//     got a list again.
//   - The service serves 4 calls per second in sequence. Spreading the calls is not enough for 80 schedulers:
//     they waited up to 24 s between two calls, but a change is in force much earlier. So this case has only
//     24 schedulers.
//   - The service serves 4 calls per second and immediately rejects those that it has no time for. It must
//     serve 80 schedulers as fast as it can.
func TestAnOverloadedDiscoveryServesMostSchedulers(t *testing.T) {
	for name, x := range map[string]overload{
		"80, 13 per second, in sequence":    {80, time.Second / 13, 4 * time.Second, 20 * time.Second},
		"24, 4 per second, in sequence":     {24, time.Second / 4, 4 * time.Second, time.Minute},
		"80, 4 per second, others rejected": {80, time.Second / 4, time.Second / 2, 25 * time.Second},
	} {
		t.Run(name, x.run)
	}
}

// overload describes schedulers that call a slow discovery service simultaneously.
type overload struct {
	schedulers   int
	callDuration time.Duration // duration of one call
	maxQueueTime time.Duration // a call that would wait longer is rejected immediately
	deadline     time.Duration // by which nine in ten schedulers must be served
}

func (c overload) run(t *testing.T) {
	const maxWait = 2 * time.Second
	schedulers, callDuration, maxQueueTime, deadline := c.schedulers, c.callDuration, c.maxQueueTime, c.deadline
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		p := &pipeListener{make(chan net.Conn), make(chan struct{})}
		var mu sync.Mutex
		var busyUntil time.Time // when all accepted calls are served
		startedAt, calls, served := time.Now(), map[int]int{}, 0
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			now := time.Now()
			calls[int(now.Sub(startedAt)/time.Second)]++
			if busyUntil.Before(now) {
				busyUntil = now
			}
			if busyUntil.Sub(now) > maxQueueTime {
				mu.Unlock()
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			busyUntil = busyUntil.Add(callDuration)
			wait := busyUntil.Sub(now)
			mu.Unlock()
			if time.Sleep(min(wait, maxWait)); wait > maxWait {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mu.Lock()
			served++
			mu.Unlock()
			for r.Context().Err() == nil {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
				time.Sleep(heartbeatInterval)
			}
		})}
		go s.Serve(p)
		for i := range schedulers {
			client := NewClient("discovery", EndpointList{}, TimeoutsFor(false, schedulers, 2500*time.Millisecond), uint64(i), newEmptyStartTimes(), func(reducer.Input) {}, zerolog.Nop())
			client.httpClient.Transport.(*http.Transport).DialContext = p.dial
			go client.Run(ctx)
		}
		time.Sleep(deadline)
		mu.Lock()
		if served < schedulers*9/10 {
			t.Errorf("%d of %d schedulers watch after %v; calls by second: %v", served, schedulers, deadline, calls)
		}
		for s, n := range calls {
			if n > 3*callsPerSecond {
				t.Errorf("%d calls in second %d", n, s)
			}
		}
		// A scheduler that first called 4 s after its start pushed to workers that had left, 2.55 s after
		// the change was in force.
		if first := calls[0] + calls[1]; first < schedulers {
			t.Errorf("%d of %d schedulers have called within the drain grace", first, schedulers)
		}
		mu.Unlock()
		stop()
		close(p.closed)
		s.Close()
		time.Sleep(time.Minute) // until all goroutines have ended
	})
}
