package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
)

// A timer that is late tells of this process: what came meanwhile lies unread. A few times it waits for
// that; a timer that is in time, or late for too often with nothing read, ends the watch.
func TestALateTimerIsNoSilence(t *testing.T) {
	ended, lies := 0, false // something unread
	s := newIdleTimer(time.Hour, func() bool { return lies }, func() { ended++ })
	defer s.stop()
	due := func(late time.Duration) {
		s.mu.Lock()
		s.deadline = time.Now().Add(-late)
		s.mu.Unlock()
		s.expired()
	}
	if due(3 * time.Second); ended != 0 || time.Until(s.deadline) > unreadGrace {
		t.Fatalf("ended %d times by a late timer, due in %v", ended, time.Until(s.deadline))
	}
	if s.reset(time.Hour); s.lateTimers != 0 || time.Until(s.deadline) < time.Minute {
		t.Error("what came afterwards was not taken for a sign of life")
	}
	if s.expired(); ended != 0 { // a timer that had fired in that instant
		t.Error("ended though something had come")
	}
	for range maxLateTimers {
		due(3 * time.Second)
	}
	if ended != 0 {
		t.Errorf("ended %d times by %d late timers", ended, maxLateTimers)
	}
	if due(3 * time.Second); ended != 1 {
		t.Errorf("ended %d times by %d late timers", ended, maxLateTimers+1)
	}
	s.reset(time.Hour)
	if due(maxTimerLateness / 2); ended != 2 {
		t.Errorf("ended %d times, the second by a timer that was in time", ended)
	}
	s.reset(time.Hour)
	lies = true
	if due(maxTimerLateness / 2); ended != 2 {
		t.Error("ended though something lies unread: thrown away with the watch it would be told by the next one alone")
	}
}

// child makes this test's program a scheduler's watch in a process of its own; what it is told it
// prints.
const child = "ROSTER_TEST_CHILD"

func TestMain(m *testing.M) {
	if addr := os.Getenv(child); addr != "" {
		r := NewClient(addr, EndpointList{Rev: 7}, Timeouts{Idle: time.Second, Response: time.Second, Spread: 1, SpreadAfterIdle: 1, MaxBackoff: 1, MaxBackoffRejected: 1}, 7, unknown(), func(in reducer.Input) {
			fmt.Println("told", in.(reducer.EndpointsChanged).Revision)
			os.Exit(0)
		}, zerolog.Nop())
		r.Run(context.Background())
	}
	os.Exit(m.Run())
}

// A process that is stopped over the end of a call, while discovery's answer comes, reads that answer
// when it goes on. Its timer was first, so it threw the list away and called anew, as all the
// schedulers of a starved machine did.
func TestWhatCameWhileTheProcessWasStoppedIsRead(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), child+"="+l.Addr().String())
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		c.Process.Kill()
		c.Wait()
	}()
	rev := 7
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return
			}
			if rev++; rev == 8 {
				c.Process.Signal(syscall.SIGSTOP)
				time.Sleep(3 * time.Second / 2) // over the call's end
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":%d,\"all\":true,\"targets\":[]}\n", rev)
			c.Process.Signal(syscall.SIGCONT)
		}
	}()
	if told, err := bufio.NewReader(out).ReadString('\n'); strings.TrimSpace(told) != "told 8" {
		t.Errorf("%q, %v: the first call's list was not taken", told, err)
	}
}
