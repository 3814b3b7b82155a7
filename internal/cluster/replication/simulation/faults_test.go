package simulation

import (
	"fmt"
	"testing"
)

// drawNetwork chooses one of the loss probabilities and a random mean delay.
func (c *Cluster) drawNetwork(losses ...float64) {
	c.LossProbability, c.DuplicationProbability = losses[c.Rand.IntN(len(losses))], 0.05
	c.MeanDelay = Time(2 + c.Rand.IntN(200))
}

// killAndRestartAt schedules a kill of a node and its restart.
func (c *Cluster) killAndRestartAt(at Time, i int, downtime Time) {
	c.At(at, func() { c.Kill(i) })
	c.At(at+downtime, func() { c.Start(i) })
}

// pauseAt schedules a pause of a node.
func (c *Cluster) pauseAt(at Time, i int, duration Time) {
	c.At(at, func() { c.Pause(i) })
	c.At(at+duration, func() { c.Resume(i) })
}

// cutLinkAt schedules a cut of a link and its restoration.
func (c *Cluster) cutLinkAt(at Time, from, to int, duration Time) {
	c.At(at, func() { c.CutLink(from, to, true) })
	c.At(at+duration, func() { c.CutLink(from, to, false) })
}

// drawClaims schedules claims at random nodes. A key is reused for at most two seconds, which is less than
// the hold-off of replicas that lost their memory. About half of the claims are followed by another claim
// of the same key at a random node within 3 ms.
func (c *Cluster) drawClaims(begin, end Time) {
	r, n := c.Rand, len(c.nodes)
	for at := begin; at < end; at += Time(r.IntN(1500)) {
		i, key := r.IntN(n), fmt.Sprint("op", at/(2*Second), "-", r.IntN(3))
		c.At(at, func() { c.Claim(i, key) })
		if r.IntN(2) == 0 {
			j := r.IntN(n)
			c.At(at+Time(r.IntN(30)), func() { c.Claim(j, key) })
		}
	}
}

// drawFaults schedules random crashes, pauses, replaced processes and cut links. A node has at most one
// crash, pause or replacement at a time.
func (c *Cluster) drawFaults(begin, end Time) {
	r, n := c.Rand, len(c.nodes)
	busyUntil := make([]Time, n)
	for at := begin; at < end; at += Time(r.IntN(20_000)) {
		i, j, duration := r.IntN(n), r.IntN(n), Time(r.IntN(40_000))
		switch kind := r.IntN(5); {
		case kind < 3 && busyUntil[i] > at || i == j:
		case kind == 0:
			busyUntil[i] = at + duration + Second
			c.killAndRestartAt(at, i, duration)
		case kind == 1:
			busyUntil[i] = at + duration + Second
			c.pauseAt(at, i, duration)
		case kind == 2:
			busyUntil[i] = at + 6*Second
			c.At(at, func() {
				c.Pause(i)
				c.Replace(i, Time(r.IntN(30_000)))
			})
		default:
			c.cutLinkAt(at, i, j, duration)
			if kind == 4 {
				c.cutLinkAt(at, j, i, duration)
			}
		}
	}
}

// drawOutages schedules random crashes, pauses and cut links, for clusters whose replicas change.
func (c *Cluster) drawOutages(begin, end Time) {
	r, n := c.Rand, len(c.nodes)
	busyUntil := make([]Time, n)
	for at := begin; at < end; at += Time(r.IntN(30_000)) {
		i, j, duration := r.IntN(n), r.IntN(n), Time(r.IntN(40_000))
		switch kind := r.IntN(5); {
		case kind < 3 && busyUntil[i] > at || i == j:
		case kind < 2:
			busyUntil[i] = at + duration + Second
			c.killAndRestartAt(at, i, duration)
		case kind == 2:
			busyUntil[i] = at + duration + Second
			c.pauseAt(at, i, duration)
		default:
			c.cutLinkAt(at, i, j, duration)
			if kind == 4 {
				c.cutLinkAt(at, j, i, duration)
			}
		}
	}
}

// reportViolations fails the test for each violation under a seed.
func (c *Cluster) reportViolations(t *testing.T, seed uint64) {
	t.Helper()
	for _, violation := range c.Violations {
		t.Errorf("seed %d: %s (SEED=%d repeats it)", seed, violation, seed)
	}
}

// checkReplicasEqual checks that the running replicas vote and have equal records.
func (c *Cluster) checkReplicasEqual(t *testing.T, seed uint64, replicas int) {
	t.Helper()
	digest := ""
	for i := range replicas {
		core := c.Core(i)
		if core == nil {
			continue
		}
		s := core.Status()
		switch {
		case digest == "":
			digest = s.Digest
		case s.Digest != digest:
			t.Errorf("seed %d: at rest the records of n%d differ", seed, i)
		case !s.Voting:
			t.Errorf("seed %d: at rest n%d has no vote", seed, i)
		}
	}
}
