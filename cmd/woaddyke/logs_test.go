package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startLogging starts a process with the log level debug. stderr sets its standard error.
func startLogging(t *testing.T, stderr func(*exec.Cmd)) (p testProcess, listen string) {
	t.Helper()
	runs := &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	return startProgram(t, t.TempDir(), listen, discovery, 0, 256, paySettings(5*time.Second),
		func(args ...string) *exec.Cmd { return testCommand(append(args, "--log", "debug")...) },
		func(cmd *exec.Cmd) error {
			stderr(cmd)
			return cmd.Start()
		}), listen
}

// postOps sends ops from ten clients. It returns the number of served ops, and the result of the first op
// that was not served.
func postOps(listen, name string, ops int) (served int64, other string) {
	var n atomic.Int64
	var once sync.Once
	var clients sync.WaitGroup
	for c := range 10 {
		clients.Go(func() {
			for k := range ops / 10 {
				began := time.Now()
				status, err := postOp(listen, fmt.Sprint(name, c, "-", k), 4*time.Second)
				if err != nil || status != http.StatusOK {
					once.Do(func() { other = fmt.Sprintf("%d %v after %v", status, err, time.Since(began)) })
					return // the process hangs: further ops would time out as well
				}
				n.Add(1)
			}
		})
	}
	clients.Wait()
	return n.Load(), other
}

// newPipe returns a pipe and closes both ends after the test.
func newPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); w.Close() })
	return r, w
}

// The reader of the log must not affect ops. When a reader once stopped, 63 of 300 ops were answered and
// then none. When a reader once closed its end, the next log line killed the process with all its ops.
func TestAStalledLogReaderDoesNotStopOps(t *testing.T) {
	t.Parallel()
	const ops = 300
	t.Run("lines that were dropped are counted", droppedLinesAreCounted)
	for name, stderr := range map[string]func(t *testing.T, cmd *exec.Cmd) (later func()){
		"a reader that stops": func(t *testing.T, cmd *exec.Cmd) func() {
			_, w := newPipe(t)
			cmd.Stderr = w
			return func() {}
		},
		"a reader that stops and leaves": func(t *testing.T, cmd *exec.Cmd) func() {
			r, w := newPipe(t)
			cmd.Stderr = w
			return func() { r.Close(); w.Close() }
		},
		"a reader that has left": func(t *testing.T, cmd *exec.Cmd) func() {
			r, w := newPipe(t)
			cmd.Stderr = w
			r.Close()
			return func() {}
		},
		"a full disk": func(t *testing.T, cmd *exec.Cmd) func() {
			full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { full.Close() })
			cmd.Stderr = full
			return func() {}
		},
		"closed": func(t *testing.T, cmd *exec.Cmd) func() {
			cmd.Args = append([]string{"sh", "-c", `exec 2>&-; exec "$@"`, "sh", cmd.Path}, cmd.Args[1:]...)
			cmd.Path = "/bin/sh"
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var later func()
			p, listen := startLogging(t, func(cmd *exec.Cmd) { later = stderr(t, cmd) })
			if n, other := postOps(listen, "a", ops); n != ops {
				t.Errorf("%d of %d ops were served, one %s", n, ops, other)
			}
			later()
			if n, other := postOps(listen, "b", ops); n != ops {
				t.Errorf("then %d of %d, one %s", n, ops, other)
			}
			began := time.Now()
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := waitOrKill(p.cmd); err != nil {
				t.Errorf("the end of the process: %v", err)
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("the process took %v to end", took)
			}
		})
	}
}

// waitOrKill waits for the end of a process, and kills it after 15 s.
func waitOrKill(cmd *exec.Cmd) error {
	defer time.AfterFunc(15*time.Second, func() { cmd.Process.Kill() }).Stop()
	return cmd.Wait()
}

// droppedLinesAreCounted checks that a reader that keeps up gets each line, including the last ones, and
// that a slow reader gets the number of dropped lines.
func droppedLinesAreCounted(t *testing.T) {
	t.Parallel()
	r, w := newPipe(t)
	p, listen := startLogging(t, func(cmd *exec.Cmd) { cmd.Stderr = w })
	w.Close()
	if n, other := postOps(listen, "a", 3000); n != 3000 {
		t.Errorf("%d of 3000 ops were served, one %s", n, other)
	}
	text := make(chan string, 1)
	go func() {
		var all strings.Builder
		buffer := make([]byte, 1<<16)
		for {
			n, err := r.Read(buffer)
			if all.Write(buffer[:n]); err != nil {
				text <- all.String()
				return
			}
		}
	}()
	postOps(listen, "b", 10)
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := waitOrKill(p.cmd); err != nil {
		t.Error(err)
	}
	got := <-text
	if !strings.Contains(got, `"message":"lines of the log were dropped"`) {
		t.Error("no line reports dropped lines")
	}
	if !strings.Contains(got, `"message":"stopped"`) {
		t.Errorf("the last line is missing, %d bytes were read", len(got))
	}
	for _, line := range strings.Split(strings.TrimSpace(got), "\n") {
		if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}") {
			t.Errorf("incomplete line: %q", line)
		}
	}
}
