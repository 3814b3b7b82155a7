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

// stand makes a fleet of three workers for three schedulers.
func stand(t *testing.T, hollow bool, m *meter.Meter) (*Fleet, *ledger.Book, *requests.Desk) {
	t.Helper()
	e, err := experiment.Parse([]byte(fmt.Sprintf("[schedulers]\ncount = 3\n[[workers]]\ncount = 3\ncores = 2\nhollow = %v\n[[categories]]\nname = \"a\"\n", hollow)))
	if err != nil {
		t.Fatal(err)
	}
	s, err := workload.Of(e)
	if err != nil {
		t.Fatal(err)
	}
	book, err := ledger.Create("", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	desk := requests.New()
	f, err := New(e, s, book, desk, m, func(Entry) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f, book, desk
}

// awaits waits for as many events of a kind.
func awaits(t *testing.T, book *ledger.Book, kind ledger.Kind, count int) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		for _, e := range book.Events() {
			if e.Kind == kind {
				n++
			}
		}
		if n == count {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%d events %s, %d are wanted", n, kind, count)
		}
	}
}

// exchange is what a scheduler and the workers say to each other: load reports, pushes that end, one that runs, one that is given up
// behind it, one that is turned away, a worker that dies and is back. What is heard, and what the lab has of it, is returned in order.
func exchange(t *testing.T, hollow bool) (said []string, lines []string, sheet meter.Sheet) {
	t.Helper()
	m := meter.New(3)
	f, book, desk := stand(t, hollow, m)
	dials := 0
	dial := func(slot, scheduler int) net.Conn {
		dials++
		defer func() { awaits(t, book, ledger.Dialed, dials) }() // in order
		c, err := net.DialTimeout("tcp", f.Addr(slot, scheduler), 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	hear := func(c net.Conn) {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		said = append(said, fmt.Sprintf("%d %v %q %v", r.StatusCode, r.Header, body, err))
	}
	probe := func(c net.Conn) {
		io.WriteString(c, "GET /load HTTP/1.1\r\nHost: worker\r\n\r\n")
		hear(c)
	}
	push := func(c net.Conn, op string, work, slots float64) {
		desk.Put(op, requests.Ask{Job: workermodel.Job{Op: op, Effect: op, Work: work, Usual: work, Slots: slots}, Target: "/api", Body: requests.Sum([]byte("x"))})
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: worker\r\nX-Correlation-Id: %s\r\nContent-Length: 1\r\n\r\nx", op)
	}
	for n := range 3 {
		for slot := range 3 {
			c := dial(slot, n)
			probe(c)
			push(c, fmt.Sprintf("short-%d-%d", n, slot), 1, 1)
			hear(c)
			probe(c)
		}
	}
	const day = 86_400_000
	runs, waits := dial(1, 0), dial(1, 2)
	push(runs, "runs", day, 2)
	awaits(t, book, ledger.Ran, 10)
	push(waits, "waits", day, 1)
	awaits(t, book, ledger.Reached, 11)
	said = append(said, fmt.Sprint(f.Depths()))
	waits.Close()
	awaits(t, book, ledger.Closed, 1)
	push(dial(1, 1), "wide", 1, 3) // more slots than it has
	awaits(t, book, ledger.Said, 10)
	f.Kill(1)
	if _, err := io.Copy(io.Discard, runs); err == nil {
		t.Error("the connection to a worker that was killed has ended whole")
	}
	said = append(said, fmt.Sprint(f.Depths()))
	if err := f.Restart(1); err != nil {
		t.Fatal(err)
	}
	probe(dial(1, 0))
	for _, e := range book.Events() {
		e.At, e.From = 0, 0
		lines = append(lines, fmt.Sprintf("%+v", e))
	}
	return said, lines, m.Now()
}

// What is measured on thousands of hollow workers is worth nothing unless they do what ordinary ones do: the same words are spoken with
// both, and all answers, events, messages, bytes and states must be the same.
func TestHollowWorkersAndOrdinaryOnesSayTheSame(t *testing.T) {
	said, lines, sheet := exchange(t, false)
	hollowSaid, hollowLines, hollowSheet := exchange(t, true)
	for _, c := range []struct {
		what       string
		of, hollow any
	}{{"answers", said, hollowSaid}, {"events", lines, hollowLines}, {"bytes and messages", sheet, hollowSheet}} {
		if !reflect.DeepEqual(c.of, c.hollow) {
			t.Errorf("%s: of ordinary workers\n%v\nof hollow ones\n%v", c.what, c.of, c.hollow)
		}
	}
	for n, row := range sheet {
		if p, w := row[meter.Probes], row[meter.Work]; p.Messages < 6 || w.Messages < 3 || p.In < 6*60 || p.Out != p.Messages*int64(len("GET /load HTTP/1.1\r\nHost: worker\r\n\r\n")) || w.In == 0 || w.Out == 0 {
			t.Errorf("scheduler %d: %+v", n+1, row)
		}
	}
}

// A hollow worker shares what an ordinary one has for each scheduler; seen from a scheduler both must be the same: who dialled is known,
// a dead one refuses, one that has vanished lets nothing come up, one that is back has its address, and its neighbour feels nothing.
func TestAHollowWorkerIsReachedRefusesAndVanishesLikeAnOrdinaryOne(t *testing.T) {
	for _, hollow := range []bool{false, true} {
		t.Run(fmt.Sprintf("hollow=%v", hollow), func(t *testing.T) {
			f, book, _ := stand(t, hollow, nil)
			before := [2]string{f.Addr(0, 0), f.Addr(0, 2)}
			within := 20 * time.Second
			comes := func(slot, scheduler int) error {
				c, err := net.DialTimeout("tcp", f.Addr(slot, scheduler), within)
				if err == nil {
					c.Close()
				}
				return err
			}
			for slot := range 2 {
				for n := range 3 {
					if err := comes(slot, n); err != nil {
						t.Errorf("scheduler %d to worker %d: %v", n, slot, err)
					}
				}
			}
			for limit := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) { // they are accepted after they came up
				dialled := map[string]int{}
				for _, ev := range book.Events() {
					if ev.Kind == ledger.Dialed {
						dialled[fmt.Sprintf("%s by %d", ev.Worker, ev.Scheduler)]++
					}
				}
				if len(dialled) == 6 {
					break
				}
				if time.Now().After(limit) {
					t.Fatalf("who dialled whom: %v", dialled)
				}
			}
			f.Kill(0)
			for n := range 3 {
				if err := comes(0, n); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Errorf("a dead worker: %v", err)
				}
			}
			if err := f.Restart(0); err != nil {
				t.Fatal(err)
			}
			if now := [2]string{f.Addr(0, 0), f.Addr(0, 2)}; now != before || comes(0, 2) != nil {
				t.Errorf("back at %v, was at %v", now, before)
			}
			f.Cut(0, true)
			within = 150 * time.Millisecond
			for n := range 3 {
				var late net.Error
				if err := comes(0, n); !errors.As(err, &late) || !late.Timeout() {
					t.Errorf("one that has vanished: %v", err)
				}
			}
			within = 20 * time.Second
			if err := comes(1, 0); err != nil {
				t.Errorf("its neighbour: %v", err)
			}
			f.Cut(0, false)
			if err := comes(0, 1); err != nil {
				t.Errorf("one that is back: %v", err)
			}
		})
	}
}

// Plays on one machine must not take each other's ports, nor keep them when they have ended.
func TestPortsOfHollowWorkersAreClaimedAndGivenBack(t *testing.T) {
	a, err := claimPorts(300)
	if err != nil {
		t.Fatal(err)
	}
	b, err := claimPorts(300)
	if err != nil {
		t.Fatal(err)
	}
	own := map[int]bool{}
	for _, p := range a.room {
		own[p] = true
	}
	for _, p := range b.room {
		if own[p] {
			t.Fatalf("both have port %d", p)
		}
	}
	b.free()
	if len(a.room) < 300 || len(b.claims) != 0 {
		t.Errorf("%d ports, %d claims after the end", len(a.room), len(b.claims))
	}
	if c, err := claimPorts(lastPort); !errors.Is(err, errNoPorts) {
		t.Errorf("more than there are: %v, %v", c, err)
	}
	again, err := claimPorts(300)
	if err != nil || again.room[0] != b.room[0] {
		t.Errorf("what was given back is not had again: %v", err)
	}
	again.free()
	a.free()
}

// poor is a listener without descriptors, until it is closed.
type poor struct {
	net.Listener
	times int
}

func (p *poor) Accept() (net.Conn, error) {
	if p.times--; p.times < 0 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// A lab without descriptors was once at its busiest writing that down, a quarter of a million times, and called what came of it a result.
func TestALabWithoutDescriptorsSaysSoOnce(t *testing.T) {
	f, book, _ := stand(t, true, nil)
	before := len(book.Events())
	f.at(0).accept(&poor{times: 3}, 0)
	if n := f.Starved(); n != 3 || len(book.Events()) != before {
		t.Errorf("%d times, %d lines", n, len(book.Events())-before)
	}
}
