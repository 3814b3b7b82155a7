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
	openOps = 4 // of the claimer whose process is killed, stopped or replaced
	// repeatKnownWithin is for the members to learn that a process has ended; it takes a second or two.
	repeatKnownWithin = 15 * time.Second
)

// startOpenOps sends ops to a place that its worker does not finish, and returns their ids.
func startOpenOps(t *testing.T, p *cluster.Place, b *bench) (ids []string) {
	t.Helper()
	for k := range openOps {
		id := fmt.Sprint("hold-", k)
		go post(p, "pay", id, "x")
		b.awaitBegan(t)
		ids = append(ids, id)
	}
	return ids
}

// startSuccessor has a second process take the place of one, with a console of its own, and waits until it serves.
func startSuccessor(t *testing.T, c *cluster.Cluster, p *cluster.Place) {
	t.Helper()
	p.Console = freeAddr(t)
	c.Start(p)
	c.Await("the successor serves", func() bool { return p.Get("/api/ready", nil) && votes(p) })
}

// awaitRepeats waits until each repeat at each of some places has a status, and fails the test for one that was granted.
func awaitRepeats(t *testing.T, c *cluster.Cluster, b *bench, ids []string, want int, places ...*cluster.Place) {
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
		if n := b.ran(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// A scheduler is killed and started again under its name before any member holds it for dead. Nobody runs its ops any more: repeats are
// answered that the outcome is unknown, and are not asked to come back for as long as the id is retained.
func TestRepeatsAfterAClaimerIsKilledAndBack(t *testing.T) {
	t.Parallel()
	c, b := guarded(t, 3, true, "path = \"{dir}/copies.db\"\n")
	ids := startOpenOps(t, c.Places[0], b)
	c.Places[0].Kill()
	c.Start(c.Places[0])
	c.Await("it is back", func() bool { return c.Places[0].Get("/api/ready", nil) && votes(c.Places[0]) })
	awaitRepeats(t, c, b, ids, http.StatusBadGateway, c.Places[1], c.Places[0])
}

// The predecessor of a hot restart is killed while its ops run. Its successor is the member that the others know, so only the successor can
// tell them.
func TestRepeatsAfterAPredecessorIsKilled(t *testing.T) {
	t.Parallel()
	c, b := guarded(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Places[0]
	ids := startOpenOps(t, p, b)
	predecessor, ended := p.Running()
	startSuccessor(t, c, p)
	for _, at := range []*cluster.Place{c.Places[1], p} {
		if status, text := post(at, "pay", ids[0], "x"); status != http.StatusServiceUnavailable {
			t.Errorf("while the predecessor runs, at %s: %d %q", at.Name, status, text)
		}
	}
	predecessor.Process.Kill()
	<-ended
	awaitRepeats(t, c, b, ids, http.StatusBadGateway, c.Places[1], p)
}

// The predecessor of a hot restart ends its ops: repeats get their answers.
func TestRepeatsOfAPredecessorsOps(t *testing.T) {
	t.Parallel()
	c, b := guarded(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Places[0]
	ids := startOpenOps(t, p, b)
	startSuccessor(t, c, p)
	close(b.go_)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Places[1], p)
}

// A scheduler that is stopped for seconds and goes on still has its ops.
func TestRepeatsWhileAClaimerIsStopped(t *testing.T) {
	t.Parallel()
	c, b := guarded(t, 3, true)
	p := c.Places[0]
	ids := startOpenOps(t, p, b)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // the fault itself: members suspect it meanwhile, and may hold it for dead
	p.Signal(syscall.SIGCONT)
	c.AwaitState(p.Name, "here", c.Places[1:]...)
	if status, text := post(c.Places[1], "pay", ids[0], "x"); status != http.StatusServiceUnavailable {
		t.Errorf("once it goes on: %d %q", status, text)
	}
	close(b.go_)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Places[1], p)
}

// The predecessor's ops have ended, and its successor is ready. A repeat at the successor itself is answered like one elsewhere, not
// after its claim has waited for a majority in vain.
func TestASuccessorAnswersItsPredecessorsRepeatsAtOnce(t *testing.T) {
	t.Parallel()
	const most = time.Second // half of the wait for a majority in this cluster
	c, b := guarded(t, 3, true, "path = \"{dir}/copies.db\"\n")
	p := c.Places[0]
	ids := startOpenOps(t, p, b)
	startSuccessor(t, c, p)
	close(b.go_)
	awaitRepeats(t, c, b, ids, http.StatusOK, c.Places[1])
	for _, id := range ids {
		began := time.Now()
		status, text := post(p, "pay", id, "x")
		if took := time.Since(began); status != http.StatusOK || took > most {
			t.Errorf("%s: %d %q after %v", id, status, text, took)
		}
	}
}
