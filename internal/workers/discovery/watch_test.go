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
	inForceAfterSilence = 6 * time.Second // from the start of a silence until a missed change is in force
	inForceAfterMove    = 4 * time.Second // from SIGHUP until the list of the new address is in force
	timingSlack         = 50 * time.Millisecond
)

// fakeAgent simulates the agent of the discovery service on the test's clock. It sends its list on every call
// that it responds to. behave gets the number of the call, from 1, and the time since startedAt.
type fakeAgent struct {
	pipeListener
	startedAt time.Time
	mu        sync.Mutex
	calls     []time.Time
	behave    func(call int, since time.Duration) behavior
}

// behavior is how the fake agent handles one call.
type behavior int

const (
	respond        behavior = iota // sends the head and the complete list, then heartbeats
	hang                           // never sends a head
	headOnly                       // sends the head, then nothing
	heartbeatsOnly                 // sends the head and two heartbeats, then nothing
	partialObject                  // sends a partial object, then heartbeats
	resetConn                      // closes the connection before the head
	reject503                      // responds with 503
)

func (a *fakeAgent) serve() {
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := time.Since(a.startedAt)
		a.mu.Lock()
		a.calls = append(a.calls, time.Now())
		call := len(a.calls)
		a.mu.Unlock()
		send := func(text string) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
		switch a.behave(call, since) {
		case respond:
			send(`{"rev":9,"all":true,"targets":[]}` + "\n")
			for r.Context().Err() == nil {
				time.Sleep(heartbeatInterval)
				send("\n")
			}
		case hang:
		case headOnly:
			w.WriteHeader(http.StatusOK)
			send("")
		case heartbeatsOnly:
			send("\n")
			time.Sleep(heartbeatInterval)
			send("\n")
		case partialObject:
			send(`{"rev":9,"all":true,`)
			for r.Context().Err() == nil {
				time.Sleep(heartbeatInterval)
				send("\n")
			}
		case resetConn:
			panic(http.ErrAbortHandler)
		case reject503:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-r.Context().Done()
	})}
	s.Serve(&a.pipeListener)
}

// A change must be applied within the drain grace after it is in force. The test takes the worst of many
// seeds for each reason why a list can be late, for one scheduler and for hundreds, and for short and long
// graces. Guards against timeouts and backoffs that together exceed the grace: a scheduler waited up to three
// seconds between two calls to the agent on its own machine.
func TestAChangeIsAppliedWithinTheDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
		for _, schedulers := range []int{1, 300} {
			for name, x := range map[string]struct {
				inForceAt time.Duration // when the change is in force; counted as by measureApplyTime
				behave    func(call int, since time.Duration) behavior
			}{
				"at the start":          {0, func(int, time.Duration) behavior { return respond }},
				"silent after its head": {inForceAfterSilence, func(call int, _ time.Duration) behavior { return []behavior{headOnly, respond}[min(call-1, 1)] }},
				"silent after beats":    {inForceAfterSilence + heartbeatInterval, func(call int, _ time.Duration) behavior { return []behavior{heartbeatsOnly, respond}[min(call-1, 1)] }},
				"silent in an object":   {inForceAfterSilence, func(call int, _ time.Duration) behavior { return []behavior{partialObject, respond}[min(call-1, 1)] }},
				"silent twice":          {inForceAfterSilence, func(call int, _ time.Duration) behavior { return []behavior{headOnly, hang, respond}[min(call-1, 2)] }},
				"silent twice, heads": {inForceAfterSilence, func(call int, _ time.Duration) behavior {
					return []behavior{headOnly, headOnly, respond}[min(call-1, 2)]
				}},
				"reset": {0, func(call int, _ time.Duration) behavior { return []behavior{resetConn, respond}[min(call-1, 1)] }},
				"down for 8 s and back": {8 * time.Second, func(_ int, since time.Duration) behavior {
					return []behavior{hang, respond}[stats.BoolToInt(since >= 8*time.Second)]
				}},
				"away for 8 s and back": {8 * time.Second, func(_ int, since time.Duration) behavior {
					return []behavior{resetConn, respond}[stats.BoolToInt(since >= 8*time.Second)]
				}},
				"rejected for 8 s": {8 * time.Second, func(_ int, since time.Duration) behavior {
					return []behavior{reject503, respond}[stats.BoolToInt(since >= 8*time.Second)]
				}},
				"hangs after a SIGHUP":     {inForceAfterMove, func(call int, _ time.Duration) behavior { return []behavior{hang, respond}[min(call-1, 1)] }},
				"hangs twice after SIGHUP": {inForceAfterMove, func(call int, _ time.Duration) behavior { return []behavior{hang, hang, respond}[min(call-1, 2)] }},
			} {
				t.Run(fmt.Sprint(name, " ", grace, " ", schedulers), func(t *testing.T) {
					worst, seed := time.Duration(0), uint64(0)
					for k := range uint64(12) {
						if late := measureApplyTime(t, k, TimeoutsFor(true, schedulers, grace), x.behave) - x.inForceAt; late > worst {
							worst, seed = late, k
						}
					}
					if worst > grace*9/10 { // a tenth is reserved for the calls, which take no time here
						t.Errorf("seed %d: applied %v after the change was in force, grace %v", seed, worst, grace)
					}
				})
			}
		}
	}
}

// measureApplyTime returns the time until the list was applied. If the first call opened a watch (status
// 200) that then fell silent, the time counts from that call, as a change may be missed from then on.
// Otherwise it counts from the start.
func measureApplyTime(t *testing.T, seed uint64, timeouts Timeouts, behave func(int, time.Duration) behavior) (after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &fakeAgent{pipeListener: pipeListener{make(chan net.Conn), make(chan struct{})}, startedAt: time.Now(), behave: behave}
		go a.serve()
		at := make(chan time.Time, 99)
		client := NewClient("discovery", EndpointList{}, timeouts, seed, newEmptyStartTimes(), func(reducer.Input) { at <- time.Now() }, zerolog.Nop())
		client.httpClient.Transport.(*http.Transport).DialContext = a.dial
		go client.Run(ctx)
		got := <-at
		a.mu.Lock()
		if after = got.Sub(a.startedAt); len(a.calls) > 1 && behave(1, 0) != hang && behave(1, 0) != resetConn && behave(1, 0) != reject503 {
			after = got.Sub(a.calls[0])
		}
		a.mu.Unlock()
		stop()
		close(a.closed)
		time.Sleep(time.Minute) // until all goroutines have ended
	})
	return after
}

// Lists may be indented. Guards against a watch that reads line by line, takes the first brace for a
// malformed list and never receives a list.
func TestAnIndentedListIsReadCompletely(t *testing.T) {
	addr, _ := serveDiscovery(t, "\n{\n  \"rev\": 44,\n\n  \"all\": true,\n  \"targets\": [\n    {\"uid\": \"w\",\n     \"endpoint\": \"a:1\",\n"+
		"     \"state\": \"SERVING\"}\n  ]\n}\n\n{\"rev\":45,\n\"all\":false,\n\"targets\":[\n]}{\"rev\":46,\"all\":false,\"targets\":[]}\n")
	var received []reducer.EndpointsChanged
	client := NewClient(addr, EndpointList{Rev: 1}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) { received = append(received, in.(reducer.EndpointsChanged)) }, zerolog.Nop())
	if _, err := client.watch(context.Background()); err == nil {
		t.Error("no error from a watch that ended")
	}
	if len(received) != 3 || !received[0].Snapshot || len(received[0].Endpoints) != 1 || !received[0].Endpoints[0].Ready || client.revision != 46 {
		t.Errorf("received %+v, revision %d", received, client.revision)
	}
}

// A malformed list leaves the current list unchanged, and the watch is reopened from its revision. Guards
// against a snapshot without entries that removes all workers, and against an object without a revision
// that makes the next call start from the beginning.
func TestAMalformedListLeavesTheCurrentListUnchanged(t *testing.T) {
	const good = `{"rev":42,"all":true,"targets":[{"uid":"w","endpoint":"a:1","state":"SERVING"}]}` + "\n"
	for name, malformed := range map[string]string{
		"no revision":          `{"all":true,"targets":[]}`,
		"no targets":           `{"rev":50,"all":true}`,
		"null targets":         `{"rev":50,"all":true,"targets":null}`,
		"empty object":         `{}`,
		"an array":             `[]`,
		"a number":             `7`,
		"a number as target":   `{"rev":50,"all":true,"targets":[7]}`,
		"a number as uid":      `{"rev":50,"all":true,"targets":[{"uid":7}]}`,
		"a closing brace":      `}`,
		"text":                 `<html>`,
		"cut":                  `{"rev":50,"all":true,"targets":[`,
		"a string as revision": `{"rev":"fifty","all":true,"targets":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := serveDiscovery(t, good+malformed)
			received := 0
			client := NewClient(addr, EndpointList{Rev: 1}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(reducer.Input) { received++ }, zerolog.Nop())
			if _, err := client.watch(context.Background()); err == nil || received != 1 || client.revision != 42 || len(client.workers) != 1 {
				t.Fatalf("error %v, received %d messages, revision %d, %d workers", err, received, client.revision, len(client.workers))
			}
			<-calls
			ctx, stop := context.WithCancel(context.Background())
			go client.watch(ctx)
			if got := <-calls; got != "stream=1&index=42" {
				t.Errorf("called with %s", got)
			}
			stop()
		})
	}
	in := (&EndpointList{Targets: []target{{UID: "a", State: "SERVING", Endpoint: "a:1"}, {UID: "a", State: "SERVING"}, {UID: "b", State: "HATCHING", Endpoint: "b:1"},
		{UID: "c", State: "SERVING", Endpoint: "c:1", BootMS: 1 << 62}, {UID: "d", BootMS: -1 << 62}}}).EndpointsChanged(newEmptyStartTimes())
	for k, e := range in.Endpoints {
		if e.StartedAt < 0 || k == 2 && e.Ready {
			t.Errorf("%+v", e)
		}
	}
}

// Guards against an endless object that exhausts the memory. A finite object that arrived slowly was read.
func TestAnEndlessObjectIsRejected(t *testing.T) {
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
	client := NewClient(s.Listener.Addr().String(), EndpointList{Rev: 1}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(reducer.Input) { t.Error("told") }, zerolog.Nop())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := client.watch(context.Background()); !errors.Is(err, errObjectTooLarge) {
		t.Errorf("%v", err)
	}
	if runtime.ReadMemStats(&after); after.TotalAlloc-before.TotalAlloc > 12*maxObjectBytes {
		t.Errorf("%d MB were allocated", (after.TotalAlloc-before.TotalAlloc)>>20)
	}
	if client.revision != 1 {
		t.Errorf("revision %d, want 1", client.revision)
	}
}

// emptyLines is a long stream of empty lines.
type emptyLines struct{ remaining int }

func (b *emptyLines) Read(p []byte) (int, error) {
	if b.remaining--; b.remaining < 0 {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
}

// The decoder buffers whitespace before an object. Guards against empty lines that accumulate in memory over
// months, or in a flood.
func TestEmptyLinesAreNotBuffered(t *testing.T) {
	m := &objectReader{source: &emptyLines{1 << 16}, remaining: maxObjectBytes, onActivity: func() {}, onHeartbeat: func() {}}
	if n, err := m.Read(make([]byte, 512)); n != 0 || err != io.EOF || !m.alive {
		t.Errorf("read %d bytes, error %v; want 0 bytes, EOF and alive", n, err)
	}
}

// An object of the old discovery service that is incomplete at an address change, or complete but not yet
// applied, must not overwrite the list of the new service. The revisions of the two services are not
// comparable, so the new service is asked for a snapshot.
func TestAnAddressChangeDuringAnObjectDropsTheOldList(t *testing.T) {
	half, rest := make(chan bool), make(chan bool)
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":90,"all":true,"targets":[{"uid":"old","endpoint":"a:1","state":"SERVING"}]`)
		w.(http.Flusher).Flush()
		half <- true
		<-rest
		io.WriteString(w, "}\n")
	}))
	defer old.Close()
	fresh, calls := serveDiscovery(t, `{"rev":3,"all":true,"targets":[{"uid":"new","endpoint":"a:1","state":"SERVING"}]}`+"\n")
	received := make(chan reducer.EndpointsChanged, 9)
	client := NewClient(old.Listener.Addr().String(), EndpointList{Rev: 80}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) { received <- in.(reducer.EndpointsChanged) }, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go client.Run(ctx)
	<-half
	client.SetAddress(fresh)
	client.SetAddress(fresh) // twice in succession
	close(rest)
	if got := <-calls; got != "stream=1&index=0" {
		t.Errorf("called with %s", got)
	}
	if l := <-received; l.Revision != 3 || l.Endpoints[0].Worker != "new" {
		t.Errorf("received %+v", l)
	}
	// An object that was read completely before the address change and is applied after it.
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if client.apply(cancelled, &EndpointList{Rev: 91, All: true}) || len(client.workers) != 1 {
		t.Error("a line of a cancelled watch was applied")
	}
}
