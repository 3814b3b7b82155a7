package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A scheduler that is told to end leaves the members at once and then answers its ops. A repeat of such an op at another
// scheduler must wait for that answer, and get its result: formerly the scheduler counted as gone, the repeat was answered
// 502 or pushed while the first push was out, and the replicas never learned the outcome. A scheduler that is killed in that time holds no op for longer than the longest TTL.
func TestARepeatWaitsForASchedulerThatEnds(t *testing.T) {
	t.Parallel()
	const ops = 4
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprint("killed ", killed), func(t *testing.T) {
			t.Parallel()
			c, worker := newCluster(t, 4, fastMembers+copiesTableOf(claimTimeout)+"deduplicated = true\n", testCommand)
			ending, other := c.Nodes[3], c.Nodes[0]
			// With a short connect timeout the scheduler would withdraw its pushes to the worker, which is silent while it
			// holds them, and push them again itself.
			ending.ConnectTimeout = 5 * time.Second
			startAll(c, true)
			answers := make(chan int, ops)
			for k := range ops {
				go func() {
					status, _ := post(ending, "note", fmt.Sprint("hold-", k), "x")
					answers <- status
				}()
				worker.awaitStarted(t)
			}
			ending.Signal(syscall.SIGTERM)
			c.AwaitState(ending.Name, "left", other)
			if killed {
				ending.Kill()
			}
			for k := range ops {
				id := fmt.Sprint("hold-", k)
				if status, text := post(other, "note", id, "x"); status != http.StatusServiceUnavailable {
					t.Errorf("%s, sent again while its scheduler ends: %d %q", id, status, text)
				}
				if runs := worker.runCount(id); runs != 1 {
					t.Errorf("%s is out %d times", id, runs)
				}
			}
			close(worker.release)
			if !killed {
				for range ops {
					if status := <-answers; status != http.StatusOK {
						t.Errorf("the scheduler that ends answers %d", status)
					}
				}
			}
			for k := range ops {
				id := fmt.Sprint("hold-", k)
				if killed {
					requireEndedRepeat(t, func() (int, string) { return post(other, "note", id, "x") })
				} else if status, text := postRepeat(t, other, "note", id); status != http.StatusOK || text != "result of "+id {
					t.Errorf("%s after its scheduler has answered it: %d %q", id, status, text)
				}
				if runs := worker.runCount(id); !killed && runs != 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
			}
		})
	}
}

// requireEndedRepeat repeats an op until its scheduler, which has left, can no longer hold it.
func requireEndedRepeat(t *testing.T, repeat func() (int, string)) {
	t.Helper()
	const longestTTL, slack = 5 * time.Second, 5 * time.Second
	for until := time.Now().Add(longestTTL + slack); ; time.Sleep(50 * time.Millisecond) {
		status, text := repeat()
		if status != http.StatusServiceUnavailable {
			return
		}
		if time.Now().After(until) {
			t.Errorf("the op still counts as in progress: %q", text)
			return
		}
	}
}
