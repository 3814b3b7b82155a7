package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/scheduler"
)

// unwatchedListener are the accepted connections of a scheduler whose watches for its clients' ends never
// hear of one, as where the goroutines that watch get no turn: what a look at the socket does not keep
// back is sent on.
type unwatchedListener struct {
	net.Listener
	accepts <-chan bool // nil: at once
	reads   <-chan bool // waited for before each read but a connection's first; nil: at once

	mu       sync.Mutex
	accepted []*net.TCPConn
}

func (d *unwatchedListener) Accept() (net.Conn, error) {
	if d.accepts != nil {
		<-d.accepts
	}
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = append(d.accepted, nc.(*net.TCPConn))
	return &unwatchedConn{TCPConn: nc.(*net.TCPConn), listener: d}, nil
}

// closedByPeer is how many of the connections that came this machine knows the end of.
func (d *unwatchedListener) closedByPeer(t *testing.T) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.accepted {
		if raw, err := c.SyscallConn(); err != nil {
			t.Fatal(err)
		} else if err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE) {
				n++
			}
		}); err != nil {
			n++ // closed here
		}
	}
	return n
}

func (d *unwatchedListener) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.accepted {
		c.Close()
	}
}

type unwatchedConn struct {
	*net.TCPConn
	listener *unwatchedListener
	read     bool
}

func (u *unwatchedConn) Read(b []byte) (int, error) {
	if u.read && u.listener.reads != nil {
		<-u.listener.reads
	}
	u.read = true
	return u.TCPConn.Read(b)
}

func (u *unwatchedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := u.TCPConn.SyscallConn()
	return unwatchedRaw{raw}, err
}

// unwatchedRaw is a connection that can be looked at, but that nobody hears from who waits for something
// to come.
type unwatchedRaw struct{ syscall.RawConn }

func (n unwatchedRaw) Read(func(uintptr) bool) error {
	return n.RawConn.Read(func(uintptr) bool { return false })
}

// ignoredOutcomes is the part of a registry that hears of ops with a claim. It does nothing.
type ignoredOutcomes struct{}

func (ignoredOutcomes) MayHaveRun(uint64, string)        {}
func (ignoredOutcomes) Finish(uint64, bool, int, []byte) {}
func (ignoredOutcomes) Abandon(uint64)                   {}

// heldClaims is a registry that grants an op when it is let.
type heldClaims struct {
	ignoredOutcomes
	asks, grant chan bool
}

func (c *heldClaims) Claim(
	context.Context, string, string, []byte, time.Duration, time.Duration,
) replication.ClaimDecided {
	c.asks <- true
	<-c.grant
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

// In a process whose goroutines get their turns late, the watches among them, a client's close is known
// to the machine and to nobody in the process. Each way in which an attempt can begin is held in its last
// moment, the client leaves, and the way is opened: the attempt is decided on and kept back by the look
// at the socket alone, and that look is where the op ends.
func TestALookAloneKeepsBackEachAttempt(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	type way struct {
		name     string
		probes   bool
		category string
		id, text string
		pushes   int // attempts before the client leaves
		// hold has the op wait in the moment before an attempt, and tells how to let it go on.
		before func(d *unwatchedListener) (open func())
		prime  func(t *testing.T, g *gatedScheduler)
		stay   int   // ops of clients that stay, before
		more   []any // categories
		alone  bool  // beside no other test
		hold   func(t *testing.T, g *gatedScheduler) (open func())
	}
	ways := []way{{
		name: "it waits for probes", probes: true,
		hold: func(_ *testing.T, g *gatedScheduler) func() {
			<-g.probed
			return func() { g.releaseProbe <- true }
		},
	}, {
		name: "it looks again", probes: true, category: "soon",
		stay: 2, alone: true, // it has a second from one look to the next, and half of one for the first
		more: []any{category("soon", "fragile", 300e9, 4e9)},
		prime: func(t *testing.T, g *gatedScheduler) {
			g.busy.Store(1)
			g.serveOne(t, "slow", 300*time.Millisecond) // by which other probes are waited for
			g.busy.Store(10000)                         // a queue that outlasts any op
		},
		hold: func(t *testing.T, g *gatedScheduler) func() {
			<-g.probed
			g.releaseProbe <- true
			g.await(t, "its look is over", func() bool {
				g.server.workers.Sweep(time.Now().Add(time.Hour))
				open, _ := g.server.workers.Counts()
				return open == 0
			})
			loopCounts(g) // has taken in what it saw
			g.busy.Store(0)
			g.serveOne(t, "stays", 0) // what is seen for it makes the worker worth another look
			free := blockLoop(g, 0)
			return func() {
				close(free)
				await(t, "it looks again", g.probed)
				g.releaseProbe <- true
			}
		},
	}, {
		name: "it is tried again after an ending", id: "refused", pushes: 1,
		hold: func(_ *testing.T, g *gatedScheduler) func() {
			<-g.pushed
			return func() { close(g.releaseRejected) }
		},
	}, {
		name: "its push dials",
		hold: func(_ *testing.T, g *gatedScheduler) func() {
			up := make(chan bool)
			g.server.workers.Connect = func(_ context.Context, network, addr string) (net.Conn, error) {
				<-up
				return net.Dial(network, addr)
			}
			return func() { close(up) }
		},
	}, {
		name: "it lies before a busy loop",
		hold: func(t *testing.T, g *gatedScheduler) func() {
			free := blockLoop(g, 0)
			return func() {
				g.await(t, "the op lies before the loop", func() bool { return len(g.server.loop.Inbox()) == 1 })
				close(free)
			}
		},
	}, {
		name: "the loop has a full cap(g.front.loop.Inbox())",
		hold: func(_ *testing.T, g *gatedScheduler) func() {
			free := blockLoop(g, cap(g.server.loop.Inbox()))
			return func() { close(free) }
		},
	}, {
		name: "it is granted", category: "asked",
		hold: func(_ *testing.T, g *gatedScheduler) func() {
			by := &heldClaims{asks: make(chan bool, 1), grant: make(chan bool)}
			g.server.RequireClaims(by, func(category string) bool { return category == "asked" })
			return func() { <-by.asks; close(by.grant) }
		},
	}, {
		name: "its connection is not accepted yet",
		before: func(d *unwatchedListener) func() {
			accepts := make(chan bool)
			d.accepts = accepts
			return func() { close(accepts) }
		},
	}, {
		name: "its body is not read yet", text: "Content-Length: 9000\r\n\r\n" + string(make([]byte, 9000)),
		before: func(d *unwatchedListener) func() {
			reads := make(chan bool)
			d.reads = reads
			return func() { close(reads) }
		},
	}}
	for _, x := range ways {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes":                     func(c *net.TCPConn) { c.Close() },
			"ends its sending":           func(c *net.TCPConn) { c.CloseWrite() },
			"resets":                     func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"closes behind a further op": func(c *net.TCPConn) { io.WriteString(c, opText("next", empty)); c.Close() },
		} {
			if x.alone && how != "closes" {
				continue
			}
			t.Run(x.name+", and its client "+how, func(t *testing.T) {
				if !x.alone {
					t.Parallel()
				}
				d := &unwatchedListener{}
				open := func() {}
				if x.before != nil {
					open = x.before(d)
				}
				g := newGatedSchedulerBehind(t, false, x.probes, func(l net.Listener) net.Listener {
					d.Listener = l
					return d
				}, x.more...)
				t.Cleanup(d.close)
				await(t, "ready", g.server.Ready())
				if x.prime != nil {
					x.prime(t, g)
				}
				held := x.hold != nil && (x.probes || x.pushes > 0) // only once the op is there
				if x.hold != nil && !held {
					open = x.hold(t, g)
				}
				nc, err := net.Dial("tcp", g.addr)
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				text, id := x.text, x.id
				if text == "" {
					text = empty
				}
				if id == "" {
					id = "left"
				}
				category := "look"
				if x.category != "" {
					category = x.category
				}
				fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n%s: 250000\r\n%s", idHeader, id, categoryHeader, category,
					timeLeftHeader, text)
				if held {
					open = x.hold(t, g)
				}
				leave(nc.(*net.TCPConn))
				if d.accepts == nil {
					g.await(t, "the machine knows", func() bool { return d.closedByPeer(t) > 0 })
				}
				open()
				g.await(t, "decided on, and at its end", func() bool {
					taken, waits := loopCounts(g)
					return taken == uint64(x.stay+1) && waits == 0
				})
				if n := len(g.pushed); n != 0 {
					t.Errorf("it was sent on: %q", <-g.pushed)
				}
				if f := g.server.Metrics(); f.Attempts != x.stay+x.pushes {
					t.Errorf("%d attempts, not %d", f.Attempts, x.stay+x.pushes)
				}
			})
		}
	}
}

// serveOne has an op of a client that stays probe and go; the probe is answered after a while.
func (g *gatedScheduler) serveOne(t *testing.T, id string, answers time.Duration) {
	t.Helper()
	go func() {
		<-g.probed
		time.Sleep(answers)
		g.releaseProbe <- true
	}()
	if resp, _ := post(t, g.addr, "", idHeader+": "+id); resp.StatusCode != http.StatusOK || <-g.pushed != id {
		t.Errorf("%s: %s", id, resp.Status)
	}
}

func await[T any](t *testing.T, what string, comes <-chan T) {
	t.Helper()
	select {
	case <-comes:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: never", what)
	}
}

// blockLoop keeps a scheduler's loop from working until it is freed, with so many inputs before it.
func blockLoop(g *gatedScheduler, inputs int) (free chan bool) {
	busy, free := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-free })
	<-busy
	for range inputs {
		g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) {})
	}
	return free
}

// loopCounts asks a scheduler's loop how many ops it has taken, and how many of these wait still.
func loopCounts(g *gatedScheduler) (taken uint64, waits int) {
	done := make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(s scheduler.State) {
		taken, waits = s.Submitted, s.Pending
		close(done)
	})
	<-done
	return taken, waits
}

// A thousand clients whose ops wait before a loop that is held, for one reason or another, and that leave
// all at once: the watches for their ends are slower than the loop, which has 256 ops before it and as
// many again behind each that it takes.
func TestAThousandClientsThatLeaveAtOnce(t *testing.T) {
	const clients = 1000
	d := &unwatchedListener{}
	g := newGatedSchedulerBehind(t, false, false, func(l net.Listener) net.Listener {
		d.Listener = l
		return d
	})
	defer d.close()
	await(t, "ready", g.server.Ready())
	g.server.SetDescriptorLimit(4 * clients)
	free := blockLoop(g, 0)
	var open []net.Conn
	for k := range clients {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, opText(fmt.Sprint("left", k), "Content-Length: 0\r\n\r\n"))
		open = append(open, c)
	}
	g.await(t, "all are there", func() bool { return g.server.Metrics().OpsInFlight == clients })
	for _, c := range open {
		c.Close()
	}
	g.await(t, "the machine knows", func() bool { return d.closedByPeer(t) == clients })
	close(free)
	g.await(t, "all are at their end", func() bool {
		taken, waits := loopCounts(g)
		return taken == clients && waits == 0
	})
	if f := g.server.Metrics(); f.Attempts != 0 || len(g.pushed) != 0 {
		t.Errorf("%d attempts, %d came", f.Attempts, len(g.pushed))
	}
	if resp, _ := post(t, g.addr, "", idHeader+": stays"); resp.StatusCode != http.StatusOK || <-g.pushed != "stays" {
		t.Errorf("an op of a client that stays: %s", resp.Status)
	}
}
