package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/base/stats"
	"woaddyke/internal/scheduler/reducer"
)

const (
	silenceTold = 6 * time.Second // what a silent watch misses counts as told so long after it fell silent
	moveTold    = 4 * time.Second // what discovery has to tell counts as told so long after SIGHUP
	slack       = 50 * time.Millisecond
)

// agent is a stand-in for discovery's agent under a clock of the test's. What it has to say, it says on
// every call that it answers.
type agent struct {
	pipes
	from  time.Time
	mu    sync.Mutex
	calls []time.Time
	how   func(call int, since time.Duration) way
}

// way is how the agent takes one call.
type way int

const (
	answers way = iota // the head, and all that it has
	hangs              // no head, for ever
	headed             // the head and no more
	beats              // the head, empty lines, and then no more
	halved             // half an object and no more, under empty lines
	reset              // closed before the head
	turned             // a 503
)

func (a *agent) serve() {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := time.Since(a.from)
		a.mu.Lock()
		a.calls = append(a.calls, time.Now())
		call := len(a.calls)
		a.mu.Unlock()
		say := func(text string) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
		switch a.how(call, since) {
		case answers:
			say(`{"rev":9,"all":true,"targets":[]}` + "\n")
			for r.Context().Err() == nil {
				time.Sleep(heartbeatInterval)
				say("\n")
			}
		case hangs:
		case headed:
			w.WriteHeader(http.StatusOK)
			say("")
		case beats:
			say("\n")
			time.Sleep(heartbeatInterval)
			say("\n")
		case halved:
			say(`{"rev":9,"all":true,`)
			for r.Context().Err() == nil {
				time.Sleep(heartbeatInterval)
				say("\n")
			}
		case reset:
			panic(http.ErrAbortHandler)
		case turned:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-r.Context().Done()
	})}
	s.Serve(&a.pipes)
}

// From "told" to "applied", with all constants in the sum, stays within the grace of a drain plus its
// slack: the worst over many draws, for each way in which a list can be late, with one scheduler and
// with hundreds, and for graces short and long. The constants were guesses: a scheduler waited up to
// three seconds between two calls to an agent on its own machine.
func TestWhatIsToldIsAppliedWithinADrainsGrace(t *testing.T) {
	for _, grace := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
		for _, schedulers := range []int{1, 300} {
			for name, x := range map[string]struct {
				told time.Duration // counts from then, after the first call
				how  func(call int, since time.Duration) way
			}{
				"at the start":          {0, func(int, time.Duration) way { return answers }},
				"silent after its head": {silenceTold, func(call int, _ time.Duration) way { return []way{headed, answers}[min(call-1, 1)] }},
				"silent after a line":   {silenceTold + heartbeatInterval, func(call int, _ time.Duration) way { return []way{beats, answers}[min(call-1, 1)] }},
				"silent in an object":   {silenceTold, func(call int, _ time.Duration) way { return []way{halved, answers}[min(call-1, 1)] }},
				"silent twice":          {silenceTold, func(call int, _ time.Duration) way { return []way{headed, hangs, answers}[min(call-1, 2)] }},
				"silent twice, headed":  {silenceTold, func(call int, _ time.Duration) way { return []way{headed, headed, answers}[min(call-1, 2)] }},
				"reset":                 {0, func(call int, _ time.Duration) way { return []way{reset, answers}[min(call-1, 1)] }},
				"down for 8 s and back": {8 * time.Second, func(_ int, since time.Duration) way { return []way{hangs, answers}[stats.Bit(since >= 8*time.Second)] }},
				"away for 8 s and back": {8 * time.Second, func(_ int, since time.Duration) way { return []way{reset, answers}[stats.Bit(since >= 8*time.Second)] }},
				"turned away for 8 s": {8 * time.Second, func(_ int, since time.Duration) way {
					return []way{turned, answers}[stats.Bit(since >= 8*time.Second)]
				}},
				"hangs after a SIGHUP":   {moveTold, func(call int, _ time.Duration) way { return []way{hangs, answers}[min(call-1, 1)] }},
				"hangs twice after that": {moveTold, func(call int, _ time.Duration) way { return []way{hangs, hangs, answers}[min(call-1, 2)] }},
			} {
				t.Run(fmt.Sprint(name, " ", grace, " ", schedulers), func(t *testing.T) {
					worst, seed := time.Duration(0), uint64(0)
					for k := range uint64(12) {
						if late := applied(t, k, TimeoutsFor(true, schedulers, grace), x.how) - x.told; late > worst {
							worst, seed = late, k
						}
					}
					if worst > grace*9/10 { // a tenth is for the calls themselves, which take no time here
						t.Errorf("seed %d: applied %v after it counts as told, of a grace of %v", seed, worst, grace)
					}
				})
			}
		}
	}
}

// applied is when the list was applied, from the first call on, or from the start where that is the
// question.
func applied(t *testing.T, seed uint64, spans Timeouts, how func(int, time.Duration) way) (after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &agent{pipes: pipes{make(chan net.Conn), make(chan struct{})}, from: time.Now(), how: how}
		go a.serve()
		at := make(chan time.Time, 99)
		r := NewClient("discovery", EndpointList{}, spans, seed, unknown(), func(reducer.Input) { at <- time.Now() }, zerolog.Nop())
		r.httpClient.Transport.(*http.Transport).DialContext = a.dial
		go r.Run(ctx)
		got := <-at
		a.mu.Lock()
		if after = got.Sub(a.from); len(a.calls) > 1 && how(1, 0) != hangs && how(1, 0) != reset && how(1, 0) != turned {
			after = got.Sub(a.calls[0])
		}
		a.mu.Unlock()
		stop()
		close(a.ended)
		time.Sleep(time.Minute) // all ends
	})
	return after
}

// Lists may come indented. The watch read them line by line, took the first brace for a spoilt list,
// and never had one.
func TestAnIndentedListIsReadWhole(t *testing.T) {
	addr, _ := discovery(t, "\n{\n  \"rev\": 44,\n\n  \"all\": true,\n  \"targets\": [\n    {\"uid\": \"w\",\n     \"endpoint\": \"a:1\",\n"+
		"     \"state\": \"SERVING\"}\n  ]\n}\n\n{\"rev\":45,\n\"all\":false,\n\"targets\":[\n]}{\"rev\":46,\"all\":false,\"targets\":[]}\n")
	var told []reducer.EndpointsChanged
	r := NewClient(addr, EndpointList{Rev: 1}, lone, 7, unknown(), func(in reducer.Input) { told = append(told, in.(reducer.EndpointsChanged)) }, zerolog.Nop())
	if _, err := r.watch(context.Background()); err == nil {
		t.Error("a watch that ends is broken")
	}
	if len(told) != 3 || !told[0].Snapshot || len(told[0].Endpoints) != 1 || !told[0].Endpoints[0].Ready || r.revision != 46 {
		t.Errorf("told %+v, version %d", told, r.revision)
	}
}

// What is no list leaves the one that is held, and the watch is opened anew from its version: a whole
// list without entries sent all workers away, and an object without a version had the next call ask
// from the beginning.
func TestASpoiltListLeavesTheOneThatIsHeld(t *testing.T) {
	const good = `{"rev":42,"all":true,"targets":[{"uid":"w","endpoint":"a:1","state":"SERVING"}]}` + "\n"
	for name, spoilt := range map[string]string{
		"no version":           `{"all":true,"targets":[]}`,
		"no entries":           `{"rev":50,"all":true}`,
		"null for entries":     `{"rev":50,"all":true,"targets":null}`,
		"nothing in it":        `{}`,
		"no object":            `[]`,
		"a number":             `7`,
		"an entry of numbers":  `{"rev":50,"all":true,"targets":[7]}`,
		"a name that is none":  `{"rev":50,"all":true,"targets":[{"uid":7}]}`,
		"a brace too many":     `}`,
		"text":                 `<html>`,
		"cut":                  `{"rev":50,"all":true,"targets":[`,
		"a version of a story": `{"rev":"fifty","all":true,"targets":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := discovery(t, good+spoilt)
			told := 0
			r := NewClient(addr, EndpointList{Rev: 1}, lone, 7, unknown(), func(reducer.Input) { told++ }, zerolog.Nop())
			if _, err := r.watch(context.Background()); err == nil || told != 1 || r.revision != 42 || len(r.workers) != 1 {
				t.Fatalf("%v, told %d times, version %d, %d workers", err, told, r.revision, len(r.workers))
			}
			<-calls
			ctx, stop := context.WithCancel(context.Background())
			go r.watch(ctx)
			if got := <-calls; got != "stream=1&index=42" {
				t.Errorf("called with %s", got)
			}
			stop()
		})
	}
	in := (&EndpointList{Targets: []target{{UID: "a", State: "SERVING", Endpoint: "a:1"}, {UID: "a", State: "SERVING"}, {UID: "b", State: "HATCHING", Endpoint: "b:1"},
		{UID: "c", State: "SERVING", Endpoint: "c:1", BootMS: 1 << 62}, {UID: "d", BootMS: -1 << 62}}}).EndpointsChanged(unknown())
	for k, e := range in.Endpoints {
		if e.StartedAt < 0 || k == 2 && e.Ready {
			t.Errorf("%+v", e)
		}
	}
}

// An object without an end filled the memory; one that is only slow came through.
func TestAnObjectWithoutAnEndIsBounded(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":50,"all":true,"targets":[`)
		entry := strings.Repeat(`{"uid":"w","endpoint":"a:1","state":"SERVING"},`, 2000)
		for {
			if _, err := io.WriteString(w, entry); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	r := NewClient(s.Listener.Addr().String(), EndpointList{Rev: 1}, lone, 7, unknown(), func(reducer.Input) { t.Error("told") }, zerolog.Nop())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := r.watch(context.Background()); !errors.Is(err, errObjectTooLarge) {
		t.Errorf("%v", err)
	}
	if runtime.ReadMemStats(&after); after.TotalAlloc-before.TotalAlloc > 12*maxObjectBytes {
		t.Errorf("%d MB were taken for it", (after.TotalAlloc-before.TotalAlloc)>>20)
	}
	if r.revision != 1 {
		t.Errorf("version %d", r.revision)
	}
}

// blanks is an endless stream of empty lines.
type blanks struct{ left int }

func (b *blanks) Read(p []byte) (int, error) {
	if b.left--; b.left < 0 {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
}

// The decoder keeps what stands before an object: empty lines of months, or a flood of them, stayed in
// memory.
func TestEmptyLinesAreNotKept(t *testing.T) {
	m := &objectReader{source: &blanks{1 << 16}, remaining: maxObjectBytes, onActivity: func() {}, onHeartbeat: func() {}}
	if n, err := m.Read(make([]byte, 512)); n != 0 || err != io.EOF || !m.alive {
		t.Errorf("%d bytes go on, %v", n, err)
	}
}

// After a move the old discovery's last line, already read, must not stand over the new one's list; and
// the new one, which counts as it likes, is asked for all.
func TestAMoveInTheMiddleOfALine(t *testing.T) {
	half, rest := make(chan bool), make(chan bool)
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":90,"all":true,"targets":[{"uid":"old","endpoint":"a:1","state":"SERVING"}]`)
		w.(http.Flusher).Flush()
		half <- true
		<-rest
		io.WriteString(w, "}\n")
	}))
	defer old.Close()
	fresh, calls := discovery(t, `{"rev":3,"all":true,"targets":[{"uid":"new","endpoint":"a:1","state":"SERVING"}]}`+"\n")
	told := make(chan reducer.EndpointsChanged, 9)
	r := NewClient(old.Listener.Addr().String(), EndpointList{Rev: 80}, lone, 7, unknown(), func(in reducer.Input) { told <- in.(reducer.EndpointsChanged) }, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.Run(ctx)
	<-half
	r.SetAddress(fresh)
	r.SetAddress(fresh) // told twice at once
	close(rest)
	if got := <-calls; got != "stream=1&index=0" {
		t.Errorf("called with %s", got)
	}
	if l := <-told; l.Revision != 3 || l.Endpoints[0].Worker != "new" {
		t.Errorf("told %+v", l)
	}
	// A line that was read whole before the move and is taken in after it.
	on, end := context.WithCancel(ctx)
	end()
	if r.apply(on, &EndpointList{Rev: 91, All: true}) || len(r.workers) != 1 {
		t.Error("a line of a watch that has ended was taken in")
	}
}
