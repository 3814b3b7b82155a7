package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/steppedclock"
)

// steppedBuildDir is the directory of a build whose wall clock can be stepped. It is empty until a test
// needs the build.
var steppedBuildDir string

var steppedBuild = sync.OnceValues(func() (string, error) {
	var err error
	if steppedBuildDir, err = os.MkdirTemp("", "stepped-"); err != nil {
		return "", err
	}
	return steppedclock.Build(context.Background(), ".", ".", steppedBuildDir)
})

// steppedProgram returns this command with a wall clock that the test controls.
func steppedProgram(t *testing.T) (program func(args ...string) *exec.Cmd, clock *steppedclock.Clock) {
	t.Helper()
	path, err := steppedBuild()
	if err != nil {
		t.Fatal(err)
	}
	if clock, err = steppedclock.New(t.TempDir()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clock.Close() })
	return func(args ...string) *exec.Cmd {
		cmd := exec.Command(path, args...)
		cmd.Env = append(os.Environ(), clock.Environment())
		return cmd
	}, clock
}

var clockSteps = []time.Duration{0, time.Hour, -time.Hour}

// Replicas must retain ids after a step of the wall clock, whether it happens while a process runs, between
// two runs, or while a record is written. The age of a record was once the difference of two readings of
// the wall clock: three replicas with files that restarted with the clock an hour ahead let 12 of 12
// at-most-once ops run a second time.
func TestReplicasRetainIDsAcrossAClockStep(t *testing.T) {
	t.Parallel()
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			program, clock := steppedProgram(t)
			c, b := startReplicasOf(t, 3, true, program, "path = \"{dir}/copies.db\"\n")
			const ids = 12
			for k := range ids {
				if k == ids/2 {
					clock.Set(step)
				}
				if status, text := post(c.Nodes[k%3], "pay", fmt.Sprint("id", k), "x"); status != http.StatusOK {
					t.Fatalf("id%d: %d %q", k, status, text)
				}
			}
			awaitReported(c) // an outcome that is still being sent when all processes are killed is lost
			for _, p := range c.Nodes {
				p.Kill()
			}
			startAll(c, true)
			for k := range ids {
				id := fmt.Sprint("id", k)
				status, text := post(c.Nodes[(k+1)%3], "pay", id, "x")
				if n := b.runCount(id); n != 1 || status != http.StatusOK || text != "result of "+id {
					t.Errorf("%s ran %d times; then %d %q", id, n, status, text)
				}
			}
		})
	}
}

// hotRestartWithStep serves ids, steps the wall clock and then starts a successor, which is returned with
// the ids.
func hotRestartWithStep(t *testing.T, step, ttl time.Duration) (successor testProcess, listen string, runs *runCounter, ids []string) {
	t.Helper()
	program, clock := steppedProgram(t)
	runs = &runCounter{runs: map[string]int{}}
	discovery, listen := startWorkers(t, runs)
	dir := shortTempDir(t)
	settings := paySettings(ttl)
	predecessor := startProgram(t, dir, listen, discovery, 0, 256, settings, program, (*exec.Cmd).Start)
	for k := range 10 {
		id := fmt.Sprint("id", k)
		if status := postAt(t, listen, id, ttl); status != http.StatusOK {
			t.Fatalf("%s: %d", id, status)
		}
		ids = append(ids, id)
	}
	clock.Set(step)
	successor = startProgram(t, dir, listen, discovery, 1, 256, settings, program, (*exec.Cmd).Start)
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	if err := predecessor.cmd.Wait(); err != nil {
		t.Fatalf("%v: %s", err, predecessor.log)
	}
	if !strings.Contains(successor.log.String(), "took over") {
		t.Fatalf("nothing was handed over, so the test shows nothing: %s", successor.log)
	}
	return successor, listen, runs, ids
}

// postAt sends an op on a new connection and returns the status of its answer.
func postAt(t *testing.T, listen, id string, left time.Duration) int {
	t.Helper()
	status, err := postOp(listen, id, left)
	if err != nil {
		t.Error(err)
	}
	return status
}

func postOp(listen, id string, left time.Duration) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	r.Header = http.Header{"X-Correlation-Id": {id}, "X-Service-Class": {"pay"}, "X-Time-Left-Ms": {fmt.Sprint(left.Milliseconds())}}
	r.Close = true
	resp, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// A successor must reject the ids of its predecessor until their TTL is over, also after a step of the wall
// clock. A successor that started with the clock an hour ahead once read the times of its predecessor by
// its own clock: 10 of 10 at-most-once ids ran a second time within their TTL.
func TestASuccessorRetainsIDsAcrossAClockStep(t *testing.T) {
	t.Parallel()
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			successor, listen, runs, ids := hotRestartWithStep(t, step, 30*time.Second)
			for _, id := range ids {
				if status := postAt(t, listen, id, 30*time.Second); status != http.StatusConflict {
					t.Errorf("%s again: %d", id, status)
				}
				if n := runs.runs[id]; n != 1 {
					t.Errorf("%s ran %d times: %s", id, n, successor.log)
				}
			}
		})
	}
}

// A successor must accept an id again when its TTL is over. A successor whose clock was an hour behind once
// rejected the ids for an hour longer.
func TestASuccessorFreesIDsAfterTheirTTLAcrossAClockStep(t *testing.T) {
	t.Parallel()
	const ttl = 3 * time.Second
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			successor, listen, _, ids := hotRestartWithStep(t, step, ttl)
			began := time.Now()
			await(t, "their TTL is over", successor.log, func() bool { return time.Since(began) > ttl })
			for _, id := range ids {
				if status := postAt(t, listen, id, ttl); status != http.StatusOK {
					t.Errorf("%s after its TTL: %d", id, status)
				}
			}
		})
	}
}
