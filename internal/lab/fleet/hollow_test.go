package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/meter"
	"woaddyke/internal/lab/requests"
	"woaddyke/internal/lab/workermodel"
	"woaddyke/internal/lab/workload"
)

// newFleet creates a fleet of three workers for three schedulers.
func newFleet(t *testing.T, hollow bool, m *meter.Meter) (*Fleet, *ledger.Writer, *requests.Registry) {
	t.Helper()
	exp, err := experiment.Parse([]byte(fmt.Sprintf("[schedulers]\ncount = 3\n[[workers]]\ncount = 3\ncores = 2\nhollow = %v\n[[categories]]\nname = \"a\"\n", hollow)))
	if err != nil {
		t.Fatal(err)
	}
	generated, err := workload.Generate(exp)
	if err != nil {
		t.Fatal(err)
	}
	events, err := ledger.Create("", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	registry := requests.New()
	f, err := New(exp, generated, events, registry, m, func(Entry) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f, events, registry
}

// awaitEvents waits until the ledger has the given number of events of a kind.
func awaitEvents(t *testing.T, events *ledger.Writer, kind ledger.Kind, count int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		for _, e := range events.Events() {
			if e.Kind == kind {
				n++
			}
		}
		if n == count {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d events %s, want %d", n, kind, count)
		}
	}
}

// runExchange sends load probes and pushes to the workers. Some pushes end, one keeps running, one is
// canceled while it waits behind the running one, and one is rejected. Then it kills and restarts a worker
// and probes it. It returns the responses, the ledger events and the byte counts, each in order.
func runExchange(t *testing.T, hollow bool) (responses []string, eventLines []string, counts meter.Snapshot) {
	t.Helper()
	m := meter.New(3)
	f, events, registry := newFleet(t, hollow, m)
	dials := 0
	dial := func(slot, scheduler int) net.Conn {
		dials++
		defer func() { awaitEvents(t, events, ledger.Dialed, dials) }() // keeps the connections in order
		c, err := net.DialTimeout("tcp", f.Addr(slot, scheduler), 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	receive := func(c net.Conn) {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		responses = append(responses, fmt.Sprintf("%d %v %q %v", r.StatusCode, r.Header, body, err))
	}
	probe := func(c net.Conn) {
		io.WriteString(c, "GET /load HTTP/1.1\r\nHost: worker\r\n\r\n")
		receive(c)
	}
	push := func(c net.Conn, op string, work, slots float64) {
		registry.Put(op, requests.Request{Job: workermodel.Job{Op: op, Effect: op, Work: work, ExpectedWork: work, Slots: slots}, Target: "/api", BodyHash: requests.HashBody([]byte("x"))})
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: worker\r\nX-Correlation-Id: %s\r\nContent-Length: 1\r\n\r\nx", op)
	}
	for n := range 3 {
		for slot := range 3 {
			c := dial(slot, n)
			probe(c)
			push(c, fmt.Sprintf("short-%d-%d", n, slot), 1, 1)
			receive(c)
			probe(c)
		}
	}
	const dayMS = 86_400_000
	running, queued := dial(1, 0), dial(1, 2)
	push(running, "runs", dayMS, 2)
	awaitEvents(t, events, ledger.Ran, 10)
	push(queued, "waits", dayMS, 1)
	awaitEvents(t, events, ledger.Reached, 11)
	responses = append(responses, fmt.Sprint(f.QueueDepths()))
	queued.Close()
	awaitEvents(t, events, ledger.Closed, 1)
	push(dial(1, 1), "wide", 1, 3) // more slots than the worker has
	awaitEvents(t, events, ledger.WorkerReplied, 10)
	f.Kill(1)
	if _, err := io.Copy(io.Discard, running); err == nil {
		t.Error("the connection to a killed worker ended without an error")
	}
	responses = append(responses, fmt.Sprint(f.QueueDepths()))
	if err := f.Restart(1); err != nil {
		t.Fatal(err)
	}
	probe(dial(1, 0))
	for _, e := range events.Events() {
		e.At, e.From = 0, 0
		eventLines = append(eventLines, fmt.Sprintf("%+v", e))
	}
	return responses, eventLines, m.Now()
}

// Guards against hollow workers that behave differently from ordinary ones, which would make results with
// thousands of hollow workers meaningless. Responses, events, message counts, byte counts and states must be
// equal.
func TestHollowAndOrdinaryWorkersSendTheSame(t *testing.T) {
	responses, eventLines, counts := runExchange(t, false)
	hollowResponses, hollowEvents, hollowCounts := runExchange(t, true)
	for _, c := range []struct {
		what             string
		ordinary, hollow any
	}{{"answers", responses, hollowResponses}, {"events", eventLines, hollowEvents}, {"bytes and messages", counts, hollowCounts}} {
		if !reflect.DeepEqual(c.ordinary, c.hollow) {
			t.Errorf("%s: ordinary workers\n%v\nhollow workers\n%v", c.what, c.ordinary, c.hollow)
		}
	}
	for n, row := range counts {
		if p, w := row[meter.Probes], row[meter.Work]; p.Messages < 6 || w.Messages < 3 || p.In < 6*60 || p.Out != p.Messages*int64(len("GET /load HTTP/1.1\r\nHost: worker\r\n\r\n")) || w.In == 0 || w.Out == 0 {
			t.Errorf("scheduler %d: %+v", n+1, row)
		}
	}
}

// Guards against hollow workers that look different to a scheduler because each has one listener for all
// schedulers. Both kinds must recognize the dialing scheduler, refuse connections while dead, leave
// connection attempts unanswered while cut, and keep their address after a restart. Other workers must not be
// affected.
func TestHollowAndOrdinaryWorkersAcceptRefuseAndTimeOutAlike(t *testing.T) {
	for _, hollow := range []bool{false, true} {
		t.Run(fmt.Sprintf("hollow=%v", hollow), func(t *testing.T) {
			f, events, _ := newFleet(t, hollow, nil)
			before := [2]string{f.Addr(0, 0), f.Addr(0, 2)}
			timeout := 20 * time.Second
			connect := func(slot, scheduler int) error {
				c, err := net.DialTimeout("tcp", f.Addr(slot, scheduler), timeout)
				if err == nil {
					c.Close()
				}
				return err
			}
			for slot := range 2 {
				for n := range 3 {
					if err := connect(slot, n); err != nil {
						t.Errorf("scheduler %d to worker %d: %v", n, slot, err)
					}
				}
			}
			// A worker accepts a connection some time after it is established, so the events can come later.
			for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				dialed := map[string]int{}
				for _, ev := range events.Events() {
					if ev.Kind == ledger.Dialed {
						dialed[fmt.Sprintf("%s by %d", ev.Worker, ev.Scheduler)]++
					}
				}
				if len(dialed) == 6 {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("workers and the schedulers that dialed them: %v", dialed)
				}
			}
			f.Kill(0)
			for n := range 3 {
				if err := connect(0, n); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Errorf("connecting to a dead worker: %v, want a refusal", err)
				}
			}
			if err := f.Restart(0); err != nil {
				t.Fatal(err)
			}
			if now := [2]string{f.Addr(0, 0), f.Addr(0, 2)}; now != before || connect(0, 2) != nil {
				t.Errorf("after the restart at %v, before at %v", now, before)
			}
			f.Cut(0, true)
			timeout = 150 * time.Millisecond
			for n := range 3 {
				var timeoutErr net.Error
				if err := connect(0, n); !errors.As(err, &timeoutErr) || !timeoutErr.Timeout() {
					t.Errorf("connecting to a worker that is cut: %v, want a timeout", err)
				}
			}
			timeout = 20 * time.Second
			if err := connect(1, 0); err != nil {
				t.Errorf("connecting to a neighbor of the worker that is cut: %v", err)
			}
			f.Cut(0, false)
			if err := connect(0, 1); err != nil {
				t.Errorf("connecting after the cut: %v", err)
			}
		})
	}
}

// Guards against two runs on one machine that claim the same ports, and against ports that stay claimed after
// a run.
func TestPortsOfHollowWorkersAreClaimedOnceAndReleased(t *testing.T) {
	a, err := claimPorts(300)
	if err != nil {
		t.Fatal(err)
	}
	b, err := claimPorts(300)
	if err != nil {
		t.Fatal(err)
	}
	claimed := map[int]bool{}
	for _, p := range a.unused {
		claimed[p] = true
	}
	for _, p := range b.unused {
		if claimed[p] {
			t.Fatalf("both claims have port %d", p)
		}
	}
	b.release()
	if len(a.unused) < 300 || len(b.claims) != 0 {
		t.Errorf("%d ports, %d claims after the release", len(a.unused), len(b.claims))
	}
	if c, err := claimPorts(lastPort); !errors.Is(err, errNoPorts) {
		t.Errorf("claiming more ports than exist: %v, %v", c, err)
	}
	again, err := claimPorts(300)
	if err != nil || again.unused[0] != b.unused[0] {
		t.Errorf("released ports can't be claimed again: %v", err)
	}
	again.release()
	a.release()
}

// exhaustedListener fails with EMFILE a number of times and is closed afterwards.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures < 0 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Guards against a ledger event for each failed accept. A lab that ran out of file descriptors once wrote a
// quarter of a million events and presented the run as valid. The shortages must be counted, so that the run
// can be rejected.
func TestDescriptorShortagesAreCountedWithoutLedgerEvents(t *testing.T) {
	f, events, _ := newFleet(t, true, nil)
	before := len(events.Events())
	f.workerAt(0).accept(&exhaustedListener{failures: 3}, 0)
	if n := f.DescriptorShortages(); n != 3 || len(events.Events()) != before {
		t.Errorf("%d shortages counted, %d ledger events added", n, len(events.Events())-before)
	}
}
