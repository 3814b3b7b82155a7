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

// unnotifiedListener accepts connections whose disconnects no goroutine of the scheduler detects. In a busy
// process the goroutines that read from the connections may not get to run either. Only a check of the socket
// can then prevent an attempt.
type unnotifiedListener struct {
	net.Listener
	acceptGate <-chan bool // received from before each Accept; nil for no wait
	readGate   <-chan bool // received from before each read except a connection's first; nil for no wait

	mu       sync.Mutex
	accepted []*net.TCPConn
}

func (d *unnotifiedListener) Accept() (net.Conn, error) {
	if d.acceptGate != nil {
		<-d.acceptGate
	}
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = append(d.accepted, nc.(*net.TCPConn))
	return &unnotifiedConn{TCPConn: nc.(*net.TCPConn), listener: d}, nil
}

// closedByPeer returns how many of the accepted connections the kernel knows to be closed.
func (d *unnotifiedListener) closedByPeer(t *testing.T) (n int) {
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

func (d *unnotifiedListener) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.accepted {
		c.Close()
	}
}

type unnotifiedConn struct {
	*net.TCPConn
	listener *unnotifiedListener
	hasRead  bool
}

func (u *unnotifiedConn) Read(b []byte) (int, error) {
	if u.hasRead && u.listener.readGate != nil {
		<-u.listener.readGate
	}
	u.hasRead = true
	return u.TCPConn.Read(b)
}

func (u *unnotifiedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := u.TCPConn.SyscallConn()
	return unnotifiedRawConn{raw}, err
}

// unnotifiedRawConn is a connection whose socket can be checked, but that never reports that it is readable.
type unnotifiedRawConn struct{ syscall.RawConn }

func (u unnotifiedRawConn) Read(func(uintptr) bool) error {
	return u.RawConn.Read(func(uintptr) bool { return false })
}

// ignoredOutcomes is the part of a registry to which outcomes are reported. It ignores them.
type ignoredOutcomes struct{}

func (ignoredOutcomes) MayHaveRun(uint64, string)        {}
func (ignoredOutcomes) Finish(uint64, bool, int, []byte) {}
func (ignoredOutcomes) Abandon(uint64)                   {}

// blockedClaims is a registry that grants a claim only once grant allows it.
type blockedClaims struct {
	ignoredOutcomes
	requested, grant chan bool
}

func (c *blockedClaims) Claim(
	context.Context, string, string, []byte, time.Duration, time.Duration,
) replication.ClaimDecided {
	c.requested <- true
	<-c.grant
	return replication.ClaimDecided{Result: replication.Granted, RequestID: 7}
}

// In a process whose goroutines run late, the kernel knows that a client has disconnected while the
// process has not detected it. Each case blocks an op at one step before an attempt, lets the client
// disconnect, and unblocks the step. The attempt is then decided on. The check of the socket alone must
// prevent it and end the op.
func TestASocketCheckAlonePreventsEachAttemptOfADisconnectedClient(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	type blockedStep struct {
		name     string
		probes   bool
		category string
		id, text string
		pushes   int // attempts before the client disconnects
		// blockListener blocks the op at the listener, and block just before an attempt, until unblock.
		blockListener   func(d *unnotifiedListener) (unblock func())
		prepare         func(t *testing.T, g *gatedScheduler)
		earlierOps      int   // ops of other clients, served by prepare and block
		extraCategories []any // in addition to those of gatedScheduler
		sequential      bool  // not run in parallel with other tests
		block           func(t *testing.T, g *gatedScheduler) (unblock func())
	}
	steps := []blockedStep{{
		name: "it waits for probes", probes: true,
		block: func(_ *testing.T, g *gatedScheduler) func() {
			<-g.probed
			return func() { g.releaseProbe <- true }
		},
	}, {
		name: "it probes again", probes: true, category: "soon",
		earlierOps: 2, sequential: true, // depends on timing: probe rounds are 1 s apart, 0.5 s at first
		extraCategories: []any{category("soon", "fragile", 300e9, 4e9)},
		prepare: func(t *testing.T, g *gatedScheduler) {
			g.reportedLoad.Store(1)
			g.serveOne(t, "slow", 300*time.Millisecond) // from this the scheduler learns how long to wait for probes
			g.reportedLoad.Store(10000)                 // a queue that outlasts any op
		},
		block: func(t *testing.T, g *gatedScheduler) func() {
			<-g.probed
			g.releaseProbe <- true
			g.await(t, "its first probe has ended", func() bool {
				g.server.workers.Sweep(time.Now().Add(time.Hour))
				open, _ := g.server.workers.Counts()
				return open == 0
			})
			submittedAndPending(g) // the loop has applied the load report
			g.reportedLoad.Store(0)
			g.serveOne(t, "stays", 0) // its probe's load report makes another probe of the worker worthwhile
			release := blockLoop(g, 0)
			return func() {
				close(release)
				await(t, "it probes again", g.probed)
				g.releaseProbe <- true
			}
		},
	}, {
		name: "it is retried after a rejected attempt", id: "refused", pushes: 1,
		block: func(_ *testing.T, g *gatedScheduler) func() {
			<-g.pushed
			return func() { close(g.releaseRejected) }
		},
	}, {
		name: "its push dials",
		block: func(_ *testing.T, g *gatedScheduler) func() {
			connected := make(chan bool)
			g.server.workers.Connect = func(_ context.Context, network, addr string) (net.Conn, error) {
				<-connected
				return net.Dial(network, addr)
			}
			return func() { close(connected) }
		},
	}, {
		name: "it is in the inbox of a busy loop",
		block: func(t *testing.T, g *gatedScheduler) func() {
			release := blockLoop(g, 0)
			return func() {
				g.await(t, "the op is in the inbox", func() bool { return len(g.server.loop.Inbox()) == 1 })
				close(release)
			}
		},
	}, {
		name: "the loop's inbox is full",
		block: func(_ *testing.T, g *gatedScheduler) func() {
			release := blockLoop(g, cap(g.server.loop.Inbox()))
			return func() { close(release) }
		},
	}, {
		name: "its claim is granted", category: "asked",
		block: func(_ *testing.T, g *gatedScheduler) func() {
			registry := &blockedClaims{requested: make(chan bool, 1), grant: make(chan bool)}
			g.server.RequireClaims(registry, func(category string) bool { return category == "asked" })
			return func() { <-registry.requested; close(registry.grant) }
		},
	}, {
		name: "its connection is not accepted yet",
		blockListener: func(d *unnotifiedListener) func() {
			accepts := make(chan bool)
			d.acceptGate = accepts
			return func() { close(accepts) }
		},
	}, {
		name: "its body is not read yet", text: "Content-Length: 9000\r\n\r\n" + string(make([]byte, 9000)),
		blockListener: func(d *unnotifiedListener) func() {
			reads := make(chan bool)
			d.readGate = reads
			return func() { close(reads) }
		},
	}}
	for _, step := range steps {
		for how, disconnect := range map[string]func(*net.TCPConn){
			"closes":                  func(c *net.TCPConn) { c.Close() },
			"shuts its sending down":  func(c *net.TCPConn) { c.CloseWrite() },
			"resets":                  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"closes after another op": func(c *net.TCPConn) { io.WriteString(c, opText("next", empty)); c.Close() },
		} {
			if step.sequential && how != "closes" {
				continue
			}
			t.Run(step.name+", and its client "+how, func(t *testing.T) {
				if !step.sequential {
					t.Parallel()
				}
				d := &unnotifiedListener{}
				unblock := func() {}
				if step.blockListener != nil {
					unblock = step.blockListener(d)
				}
				g := newGatedSchedulerBehind(t, false, step.probes, func(l net.Listener) net.Listener {
					d.Listener = l
					return d
				}, step.extraCategories...)
				t.Cleanup(d.close)
				await(t, "ready", g.server.Ready())
				if step.prepare != nil {
					step.prepare(t, g)
				}
				blockAfterSend := step.block != nil && (step.probes || step.pushes > 0) // block needs the op to arrive
				if step.block != nil && !blockAfterSend {
					unblock = step.block(t, g)
				}
				nc, err := net.Dial("tcp", g.addr)
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				text, id := step.text, step.id
				if text == "" {
					text = empty
				}
				if id == "" {
					id = "left"
				}
				category := "look"
				if step.category != "" {
					category = step.category
				}
				fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n%s: 250000\r\n%s", idHeader, id, categoryHeader, category,
					timeLeftHeader, text)
				if blockAfterSend {
					unblock = step.block(t, g)
				}
				disconnect(nc.(*net.TCPConn))
				if d.acceptGate == nil {
					g.await(t, "the kernel knows the disconnect", func() bool { return d.closedByPeer(t) > 0 })
				}
				unblock()
				g.await(t, "the op is decided on and has ended", func() bool {
					submitted, pending := submittedAndPending(g)
					return submitted == uint64(step.earlierOps+1) && pending == 0
				})
				if n := len(g.pushed); n != 0 {
					t.Errorf("it was pushed: %q", <-g.pushed)
				}
				if m := g.server.Metrics(); m.Attempts != step.earlierOps+step.pushes {
					t.Errorf("%d attempts, want %d", m.Attempts, step.earlierOps+step.pushes)
				}
			})
		}
	}
}

// serveOne sends an op of a client that stays connected. It expects a probe, which is answered after
// probeDelay, and then a push.
func (g *gatedScheduler) serveOne(t *testing.T, id string, probeDelay time.Duration) {
	t.Helper()
	go func() {
		<-g.probed
		time.Sleep(probeDelay)
		g.releaseProbe <- true
	}()
	if resp, _ := post(t, g.addr, "", idHeader+": "+id); resp.StatusCode != http.StatusOK || <-g.pushed != id {
		t.Errorf("%s: %s", id, resp.Status)
	}
}

func await[T any](t *testing.T, what string, event <-chan T) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not within 10 s", what)
	}
}

// blockLoop blocks a scheduler's loop until release is closed, with the given number of inputs in its inbox.
func blockLoop(g *gatedScheduler, inputs int) (release chan bool) {
	busy, release := make(chan bool), make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) { busy <- true; <-release })
	<-busy
	for range inputs {
		g.server.loop.Inbox() <- scheduler.Query(func(scheduler.State) {})
	}
	return release
}

// submittedAndPending returns how many ops were submitted to a scheduler's loop, and how many of them are
// pending.
func submittedAndPending(g *gatedScheduler) (submitted uint64, pending int) {
	done := make(chan bool)
	g.server.loop.Inbox() <- scheduler.Query(func(s scheduler.State) {
		submitted, pending = s.Submitted, s.Pending
		close(done)
	})
	<-done
	return submitted, pending
}

// A thousand clients, whose ops wait for a blocked loop, disconnect together. None of their ops may be pushed
// once the loop continues. Its inbox holds 256 ops and fills again as it takes them, and it is faster than
// the goroutines that detect the disconnects.
func TestNoOpIsPushedWhenAThousandClientsDisconnectTogether(t *testing.T) {
	const clients = 1000
	d := &unnotifiedListener{}
	g := newGatedSchedulerBehind(t, false, false, func(l net.Listener) net.Listener {
		d.Listener = l
		return d
	})
	defer d.close()
	await(t, "ready", g.server.Ready())
	g.server.SetDescriptorLimit(4 * clients)
	release := blockLoop(g, 0)
	var open []net.Conn
	for k := range clients {
		c, err := net.Dial("tcp", g.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, opText(fmt.Sprint("left", k), "Content-Length: 0\r\n\r\n"))
		open = append(open, c)
	}
	g.await(t, "all ops are in flight", func() bool { return g.server.Metrics().OpsInFlight == clients })
	for _, c := range open {
		c.Close()
	}
	g.await(t, "the kernel knows all disconnects", func() bool { return d.closedByPeer(t) == clients })
	close(release)
	g.await(t, "all ops have ended", func() bool {
		submitted, pending := submittedAndPending(g)
		return submitted == clients && pending == 0
	})
	if m := g.server.Metrics(); m.Attempts != 0 || len(g.pushed) != 0 {
		t.Errorf("%d attempts, the worker received %d", m.Attempts, len(g.pushed))
	}
	if resp, _ := post(t, g.addr, "", idHeader+": stays"); resp.StatusCode != http.StatusOK || <-g.pushed != "stays" {
		t.Errorf("an op of a client that stays connected: %s", resp.Status)
	}
}
