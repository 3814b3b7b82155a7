package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The client chooses an id, up to the maximum size of a header and with any characters. A successor must
// know all ids of its predecessor, whatever their length.
func TestASuccessorRetainsIDsOfAnyLength(t *testing.T) {
	t.Parallel()
	const (
		count = 2400
		ttl   = time.Minute
	)
	runs := &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	dir := shortTempDir(t)
	ids := []string{"short", "caf\u00e9 <&> \\ \" %", strings.Repeat("<", 300)}
	for k := len(ids); k < count; k++ {
		ids = append(ids, fmt.Sprint(k, "-", strings.Repeat("x", 8000)))
	}
	predecessor := startProgram(t, dir, listen, discovery, 0, 256, paySettings(time.Minute), testCommand, (*exec.Cmd).Start)
	var all sync.WaitGroup
	for part := range 16 {
		all.Go(func() {
			for k := part; k < count; k += 16 {
				if status, err := postOp(listen, ids[k], ttl); err != nil || status != http.StatusOK {
					t.Errorf("%.20s: %d %v", ids[k], status, err)
				}
			}
		})
	}
	all.Wait()
	successor := startProgram(t, dir, listen, discovery, 1, 256, paySettings(time.Minute), testCommand, (*exec.Cmd).Start)
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	if err := predecessor.cmd.Wait(); err != nil {
		t.Fatalf("%v: %s", err, predecessor.log)
	}
	if !strings.Contains(successor.log.String(), "took over") {
		t.Errorf("nothing was handed over: %s", successor.log)
	}
	for _, id := range ids[:20] {
		if status := postAt(t, listen, id, ttl); status != http.StatusConflict {
			t.Errorf("%.20s again: %d", id, status)
		}
		if n := runs.runs[id]; n != 1 {
			t.Errorf("%.20s ran %d times", id, n)
		}
	}
}

// Workers name an op in JSON, which only holds UTF-8 text. An op whose id is not UTF-8 must be rejected:
// the worker could not name it in its answer.
func TestAnIDThatIsNotUTF8IsRejected(t *testing.T) {
	t.Parallel()
	runs := &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	startProgram(t, t.TempDir(), listen, discovery, 0, 256, paySettings(time.Minute), testCommand, (*exec.Cmd).Start)
	const id = "caf\xe9"
	if status := postAt(t, listen, id, 3*time.Second); status != http.StatusBadRequest {
		t.Errorf("%q: %d", id, status)
	}
	if n := runs.runs[id]; n != 0 {
		t.Errorf("it ran %d times", n)
	}
	if status := postAt(t, listen, "caf\u00e9", 3*time.Second); status != http.StatusOK {
		t.Errorf("a UTF-8 id: %d", status)
	}
}
