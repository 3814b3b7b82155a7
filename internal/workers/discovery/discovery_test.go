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

// lone are the spans of a scheduler that asks alone.
var lone = TimeoutsFor(false, 1, time.Second)

// discovery answers each call with the next lines, and then closes it, or keeps it open where none are
// left.
func discovery(t *testing.T, answers ...string) (addr string, calls chan string) {
	calls = make(chan string, 9)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if len(answers) == 0 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, answers[0])
		answers = answers[1:]
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

func TestABrokenWatchGoesOnFromItsVersion(t *testing.T) {
	addr, calls := discovery(t,
		`{"rev":43,"all":false,"targets":[{"uid":"w","endpoint":"a:1","az":"z","pod_group":3,"state":"DRAINING",`+
			`"boot_ms":5},{"endpoint":"no name"}]}`+"\n\n")
	told := make(chan reducer.Input, 9)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go NewClient(addr, EndpointList{Rev: 41}, lone, 7, unknown(), func(in reducer.Input) { told <- in }, zerolog.Nop()).Run(ctx)
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
	in, ok := (<-told).(reducer.EndpointsChanged)
	if !ok || in.Snapshot || len(in.Endpoints) != 1 {
		t.Fatalf("%+v", in)
	}
	want := reducer.Endpoint{Worker: "w", Addr: "a:1", Zone: "z", WorkerGroup: 3, BootID: 5, StartedAt: in.Endpoints[0].StartedAt}
	if in.Endpoints[0] != want || want.StartedAt <= 0 {
		t.Errorf("%+v", in.Endpoints[0])
	}
}

// After a move what discovery tells counts as told 4 s later: an agent that takes the call and says
// nothing held the watch for 6 s.
func TestASilentAgentIsSoonCalledAgain(t *testing.T) {
	calls := make(chan bool, 9)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- true
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := NewClient("127.0.0.1:1", EndpointList{Rev: 1}, lone, 7, unknown(), func(reducer.Input) {}, zerolog.Nop())
	go r.Run(ctx)
	r.SetAddress(s.Listener.Addr().String())
	for range 2 {
		select {
		case <-calls:
		case <-time.After(lone.Response + time.Second):
			t.Fatal("not called")
		}
	}
}

// pipes is a listener without a network, for a clock that the test owns.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Eighty schedulers started together and asked a discovery that does thirteen calls a second, in turn,
// and fails what has waited for 2 s though it does the work. They came back within 320 ms, so its time
// went to calls that had failed by then: a fifth of them had a list again, the others never. One that
// does four a second can't be had by spreading alone: its eighty schedulers waited for up to 24 s
// between two calls, and by then what it has counts as told for long. So of such a discovery it is
// asked what it can bear, two dozen; and of one that turns away at once what it has no time for, that
// it serves all eighty as fast as it can. Each roster here has its own seed and nothing else.
func TestADiscoveryThatIsAskedByAllAnswersMost(t *testing.T) {
	for name, x := range map[string]crowd{
		"80, 13 a second, in turn":      {80, time.Second / 13, 4 * time.Second, 20 * time.Second},
		"24, 4 a second, in turn":       {24, time.Second / 4, 4 * time.Second, time.Minute},
		"80, 4 a second, or not at all": {80, time.Second / 4, time.Second / 2, 25 * time.Second},
	} {
		t.Run(name, x.ask)
	}
}

// crowd is some schedulers that ask at once.
type crowd struct {
	schedulers int
	each       time.Duration // a call takes so long
	most       time.Duration // what would wait for longer is turned away at once
	within     time.Duration // nine in ten are to be served
}

func (c crowd) ask(t *testing.T) {
	const wait = 2 * time.Second
	schedulers, each, most, within := c.schedulers, c.each, c.most, c.within
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		p := &pipes{make(chan net.Conn), make(chan struct{})}
		var mu sync.Mutex
		var busy time.Time // until then it has work
		begin, calls, served := time.Now(), map[int]int{}, 0
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			now := time.Now()
			calls[int(now.Sub(begin)/time.Second)]++
			if busy.Before(now) {
				busy = now
			}
			if busy.Sub(now) > most {
				mu.Unlock()
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			busy = busy.Add(each)
			left := busy.Sub(now)
			mu.Unlock()
			if time.Sleep(min(left, wait)); left > wait {
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
			r := NewClient("discovery", EndpointList{}, TimeoutsFor(false, schedulers, 2500*time.Millisecond), uint64(i), unknown(), func(reducer.Input) {}, zerolog.Nop())
			r.httpClient.Transport.(*http.Transport).DialContext = p.dial
			go r.Run(ctx)
		}
		time.Sleep(within)
		mu.Lock()
		if served < schedulers*9/10 {
			t.Errorf("%d of %d schedulers watch after %v; calls by second: %v", served, schedulers, within, calls)
		}
		for s, n := range calls {
			if n > 3*callsPerSecond {
				t.Errorf("%d calls in second %d", n, s)
			}
		}
		// A scheduler that asked 4 s after its start pushed to workers that had gone, 2.55 s after it
		// counted as told.
		if first := calls[0] + calls[1]; first < schedulers {
			t.Errorf("%d of %d have asked within the grace of a drain", first, schedulers)
		}
		mu.Unlock()
		stop()
		close(p.ended)
		s.Close()
		time.Sleep(time.Minute) // all ends
	})
}
