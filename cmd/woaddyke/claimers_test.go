package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/cluster"
)

const (
	openOps = 4 // ops pending at the claimer whose process is killed, stopped or replaced
	// repeatKnownWithin is the timeout for the members to learn that a process has ended. This takes one to
	// two seconds.
	repeatKnownWithin = 15 * time.Second
)

// startOpenOps sends ops that the worker holds to a scheduler, and returns their ids.
func startOpenOps(t *testing.T, p *cluster.Node, b *testWorker) (ids []string) {
	t.Helper()
	for k := range openOps {
		id := fmt.Sprint("hold-", k)
		go post(p, "pay", id, "x")
		b.awaitStarted(t)
		ids = append(ids, id)
	}
	return ids
}

// startSuccessor starts a successor of a process, with its own console address, and waits until it serves.
func startSuccessor(t *testing.T, c *cluster.Cluster, p *cluster.Node) {
	t.Helper()
	p.Console = freeAddr(t)
	c.Start(p)
	c.Await("the successor serves", func() bool { return p.Get("/api/ready", nil) && voteSettled(p) })
}

// awaitRepeats repeats each id at each of the given schedulers until it gets the wanted status, and fails
// the test if an op ran more than once.
func awaitRepeats(t *testing.T, c *cluster.Cluster, b *testWorker, ids []string, want int, places ...*cluster.Node) {
	t.Helper()
	for _, p := range places {
		for _, id := range ids {
			got, text := 0, ""
			for until := time.Now().Add(repeatKnownWithin); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				if got, text = post(p, "pay", id, "x"); got == want {
					break
				}
			}
			if got != want {
				t.Errorf("%s at %s: %d %q, not %d", id, p.Name, got, text, want)
			}
		}
	}
	for _, id := range ids {
		if n := b.runCount(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// A scheduler is killed, and restarts under its name before any member considers it dead. No process runs
// its ops any more: each repeat must be answered that the outcome is unknown. While the id is retained, no
// answer may ask the client to retry.
func TestRepeatsFailAfterAClaimerRestarts(t *testing.T) {
	t.Parallel()
	c, b := startReplicas(t, 3, true, "path = \"{dir}/copies.db\"\n")
	ids := startOpenOps(t, c.Nodes[0], b)
	c.Nodes[0].Kill()
	c.Start(c.Nodes[0])
	c.Await("the claimer is ready again", func() bool { return c.Nodes[0].Get("/api/ready", nil) && voteSettled(c.Nodes[0]) })
	awaitRepeats(t, c, b, ids, http.StatusBadGateway, c.Nodes[1], c.Nodes[0])
}

// The predecessor of a hot restart is killed while its ops are in flight. The successor continues as the
// same member, so only the successor can report to the others that these ops have no claimer.
func TestRepeatsFailAfterAPredecessorIsKilled(t *testing.T) {
	t.Parallel()
	c, b := startReplicas(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Nodes[0]
	ids := startOpenOps(t, p, b)
	predecessor, ended := p.Process()
	startSuccessor(t, c, p)
	for _, at := range []*cluster.Node{c.Nodes[1], p} {
		if status, text := post(at, "pay", ids[0], "x"); status != http.StatusServiceUnavailable {
			t.Errorf("while the predecessor runs, at %s: %d %q", at.Name, status, text)
		}
	}
	predecessor.Process.Kill()
	<-ended
	awaitRepeats(t, c, b, ids, http.StatusBadGateway, c.Nodes[1], p)
}

// The predecessor of a hot restart finishes its ops: repeats get the results.
func TestRepeatsGetAPredecessorsResults(t *testing.T) {
	t.Parallel()
	c, b := startReplicas(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Nodes[0]
	ids := startOpenOps(t, p, b)
	startSuccessor(t, c, p)
	close(b.release)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Nodes[1], p)
}

// A scheduler that is stopped for seconds and resumes still has its ops in flight: repeats get the results.
func TestRepeatsGetAStoppedClaimersResults(t *testing.T) {
	t.Parallel()
	c, b := startReplicas(t, 3, true)
	p := c.Nodes[0]
	ids := startOpenOps(t, p, b)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // the fault itself: members suspect the scheduler, and may declare it dead
	p.Signal(syscall.SIGCONT)
	c.AwaitState(p.Name, "here", c.Nodes[1:]...)
	if status, text := post(c.Nodes[1], "pay", ids[0], "x"); status != http.StatusServiceUnavailable {
		t.Errorf("after it resumed: %d %q", status, text)
	}
	close(b.release)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Nodes[1], p)
}

// The predecessor's ops have ended, and its successor is ready. The successor must answer a repeat as fast
// as other schedulers do. It must not first wait in vain for a majority for a claim of its own.
func TestASuccessorAnswersItsPredecessorsRepeatsAtOnce(t *testing.T) {
	t.Parallel()
	const maxLatency = time.Second // half of the timeout for a majority in this cluster
	c, b := startReplicas(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Nodes[0]
	ids := startOpenOps(t, p, b)
	startSuccessor(t, c, p)
	close(b.release)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Nodes[1])
	for _, id := range ids {
		began := time.Now()
		status, text := post(p, "pay", id, "x")
		if took := time.Since(began); status != http.StatusOK || took > maxLatency {
			t.Errorf("%s: %d %q after %v", id, status, text, took)
		}
	}
}
