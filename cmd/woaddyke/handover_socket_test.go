package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/syscallfault"
)

// onUnixSocket reports whether a call is on a Unix socket. A process here has one Unix socket beside its
// listener: the handover connection.
func onUnixSocket(c syscallfault.Call) bool {
	target := c.Target()
	inode, ok := strings.CutPrefix(target, "socket:[")
	if !ok {
		return false
	}
	sockets, err := os.ReadFile("/proc/net/unix")
	return err == nil && strings.Contains(string(sockets), " "+strings.TrimSuffix(inode, "]"))
}

// A transient failure of a call on the handover connection must not be taken for the end of the other
// process. The successor once started without the ids of its predecessor, or the predecessor considered its
// successor dead, accepted clients again, and replaced the handover socket of the successor with its own.
func TestATransientHandoverFailureIsSurvived(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		side, name string
		calls      []int // without sendmsg, which the launcher itself uses
		failures   int64
	}{
		{"predecessor", "read", []int{syscall.SYS_READ}, 3}, {"predecessor", "write", []int{syscall.SYS_WRITE}, 1},
		{"successor", "read", []int{syscall.SYS_READ, syscall.SYS_RECVMSG}, 3}, {"successor", "write", []int{syscall.SYS_WRITE}, 1},
	} {
		for nth := int64(1); nth <= x.failures; nth++ {
			t.Run(fmt.Sprintf("%s's %s %d", x.side, x.name, nth), func(t *testing.T) {
				t.Parallel()
				discovery, listen, received, free := startHoldingWorker(t)
				close(free)
				go func() {
					for range received { // discards the ids
					}
				}()
				dir := shortTempDir(t)
				settings := map[string]any{"discovery": "pushed", "bounds": map[string]any{"maxPushes": 3, "connectTimeoutNs": 2e8},
					"categories": []any{map[string]any{"name": "pay", "effect": "fragile", "ttlNs": 5e9, "targetLatencyNs": 5e9}}}
				var n atomic.Int64
				decide := func(c syscallfault.Call) syscall.Errno {
					if !onUnixSocket(c) || n.Add(1) != nth {
						return 0
					}
					return syscall.ENOBUFS
				}
				start := func(k int, faulty bool) testProcess {
					return startProgram(t, dir, listen, discovery, k, 256, settings, testCommand, func(cmd *exec.Cmd) error {
						if !faulty {
							return cmd.Start()
						}
						_, err := syscallfault.Start(cmd, os.Args[0], decide, x.calls...)
						return err
					})
				}
				predecessor := start(0, x.side == "predecessor")
				if status := postAt(t, listen, "taken", 4*time.Second); status != 200 {
					t.Fatalf("before: %d", status)
				}
				successor := start(1, x.side == "successor")
				if !strings.Contains(successor.log.String(), "took over") {
					t.Fatalf("nothing was handed over: %s", successor.log.String())
				}
				if status := postAt(t, listen, "taken", 4*time.Second); status != 409 {
					t.Errorf("an id of the predecessor: %d", status)
				}
				time.Sleep(200 * time.Millisecond) // for a false report that the other has ended
				for who, log := range map[string]string{"predecessor": predecessor.log.String(), "successor": successor.log.String()} {
					if strings.Contains(log, "has ended") {
						t.Errorf("the %s considers the other process ended: %s", who, log)
					}
				}
				if n.Load() < nth {
					t.Errorf("only %d calls were made, so none failed", n.Load())
				}
			})
		}
	}
}

// A predecessor that is stopped for more than a second when its successor requests the handover must still
// hand over its ids. The successor once gave up and served without them, so that an at-most-once op could
// run again.
func TestAStoppedPredecessorHandsItsIDsOver(t *testing.T) {
	t.Parallel()
	for _, stopTime := range []time.Duration{150 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(stopTime.String(), func(t *testing.T) {
			t.Parallel()
			runs := &runCounter{runs: map[string]int{}}
			discovery, listen := startWorkers(t, runs)
			dir := shortTempDir(t)
			predecessor := startProcess(t, dir, listen, discovery, 0)
			if status := postAt(t, listen, "taken", 20*time.Second); status != http.StatusOK {
				t.Fatalf("before: %d", status)
			}
			suspend(t, predecessor)
			resume := time.AfterFunc(stopTime, func() { predecessor.cmd.Process.Signal(syscall.SIGCONT) })
			defer resume.Stop()
			successor := startProcess(t, dir, listen, discovery, 1)
			if !strings.Contains(successor.log.String(), "took over") {
				t.Errorf("nothing was handed over: %s", successor.log)
			}
			predecessor.cmd.Process.Signal(syscall.SIGCONT)
			predecessor.cmd.Process.Signal(syscall.SIGTERM)
			waitOrKill(predecessor.cmd)
			if status := postAt(t, listen, "taken", 20*time.Second); status != http.StatusConflict || runs.count("taken") != 1 {
				t.Errorf("the id of the predecessor: %d, it ran %d times", status, runs.count("taken"))
			}
		})
	}
}
