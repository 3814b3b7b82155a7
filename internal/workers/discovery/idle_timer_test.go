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

// A late timer shows that this process was not running, so data may be unread. The timer waits for that data
// up to maxLateTimers times in a row. After that, or if it is on time and no data is unread, it ends the
// watch.
func TestALateTimerDoesNotEndTheWatch(t *testing.T) {
	ended, unread := 0, false
	s := newIdleTimer(time.Hour, func() bool { return unread }, func() { ended++ })
	defer s.stop()
	fire := func(late time.Duration) {
		s.mu.Lock()
		s.deadline = time.Now().Add(-late)
		s.mu.Unlock()
		s.expired()
	}
	if fire(3 * time.Second); ended != 0 || time.Until(s.deadline) > unreadGrace {
		t.Fatalf("ended %d times by a late timer, due in %v", ended, time.Until(s.deadline))
	}
	if s.reset(time.Hour); s.lateTimers != 0 || time.Until(s.deadline) < time.Minute {
		t.Error("data that arrived afterwards did not reset the timer")
	}
	if s.expired(); ended != 0 { // a timer that fired just as data arrived
		t.Error("ended though data had arrived")
	}
	for range maxLateTimers {
		fire(3 * time.Second)
	}
	if ended != 0 {
		t.Errorf("ended %d times by %d late timers", ended, maxLateTimers)
	}
	if fire(3 * time.Second); ended != 1 {
		t.Errorf("ended %d times by %d late timers", ended, maxLateTimers+1)
	}
	s.reset(time.Hour)
	if fire(maxTimerLateness / 2); ended != 2 {
		t.Errorf("ended %d times, want 2: the last timer was on time", ended)
	}
	s.reset(time.Hour)
	unread = true
	if fire(maxTimerLateness / 2); ended != 2 {
		t.Error("ended though data is unread: the data is lost until the next watch delivers it")
	}
}

// childAddrEnv is the environment variable that turns the test binary into a child process, which watches
// the endpoint list at this address and prints the revision of the first list.
const childAddrEnv = "ROSTER_TEST_CHILD"

func TestMain(m *testing.M) {
	if addr := os.Getenv(childAddrEnv); addr != "" {
		client := NewClient(addr, EndpointList{Rev: 7}, Timeouts{Idle: time.Second, Response: time.Second, Spread: 1, SpreadAfterIdle: 1, MaxBackoff: 1, MaxBackoffRejected: 1}, 7, newEmptyStartTimes(), func(in reducer.Input) {
			fmt.Println("told", in.(reducer.EndpointsChanged).Revision)
			os.Exit(0)
		}, zerolog.Nop())
		client.Run(context.Background())
	}
	os.Exit(m.Run())
}

// A process is stopped past the timeout of a call while discovery's response arrives. When it resumes, it
// must read that response. Guards against a timer that fires first: the list was dropped and the call
// repeated, by all schedulers of a starved machine.
func TestDataThatArrivesWhileTheProcessIsStoppedIsRead(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childAddrEnv+"="+l.Addr().String())
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
				time.Sleep(3 * time.Second / 2) // past the timeout of the call
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":%d,\"all\":true,\"targets\":[]}\n", rev)
			c.Process.Signal(syscall.SIGCONT)
		}
	}()
	if received, err := bufio.NewReader(out).ReadString('\n'); strings.TrimSpace(received) != "told 8" {
		t.Errorf("%q, %v: the list of the first call was not applied", received, err)
	}
}
