package simulation

import (
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// claimMany makes a scheduler claim ops at 1000 per second.
func claimMany(c *Cluster, i, ops int, prefix string) {
	for k := range ops {
		c.At(c.Now()+Time(k)*Millisecond, func() { c.Claim(i, fmt.Sprint(prefix, k)) })
	}
	c.Run(c.Now() + Time(ops)*Millisecond + 2*Second)
}

// restartReplica kills a replica, starts it again without memory, and waits until it votes.
func restartReplica(t *testing.T, c *Cluster, i int) {
	t.Helper()
	c.Kill(i)
	c.Start(i)
	deadline := c.Now() + 60*Second
	for !c.Core(i).Status().Voting {
		if c.Now() >= deadline {
			t.Fatalf("replica %d does not vote 60 s after its restart: %+v", i, c.Core(i).Status())
		}
		c.Run(c.Now() + 50*Millisecond)
	}
}

// Replicas restart one after the other, and catching up takes longer than the hold-off. If a replica voted at
// the end of the hold-off although voting replicas still send it their records, two restarted replicas would
// form a majority that grants ops a second time.
func TestReplicasThatRestartInTurnVoteOnlyWithTheRecords(t *testing.T) {
	const earlierOps, lastOps = 8000, 40
	c := New(5, 3, 1)
	c.Config.CatchUpRate = 1 << 16 // too slow to catch up within the hold-off
	c.opsEndManually = true
	for i := range 5 {
		c.Start(i)
	}
	c.Run(6 * Second)
	claimMany(c, 3, earlierOps, "earlier")
	claimMany(c, 3, lastOps, "last")
	want := c.Core(2).Status().Records
	for i := range 2 {
		restartReplica(t, c, i)
		if got := c.Core(i).Status().Records; got != want {
			t.Errorf("replica %d votes with %d of %d records", i, got, want)
		}
	}
	for k := range lastOps {
		if c.claimResult(4, fmt.Sprint("last", k)) == replication.Granted {
			t.Errorf("op %d is granted a second time", k)
		}
	}
	c.reportViolations(t, 1)
}

// reportEnded makes the replicas store ended ops with answers of the given size, as after their reports.
func reportEnded(c *Cluster, replicas, ops, answerBytes int) {
	result := strings.Repeat(".", answerBytes)
	for k := range ops {
		record := endedRecord(k, uint64(k+1), result)
		for i := range replicas {
			core := c.Core(i)
			report := replication.Message{Kind: replication.OutcomeReported, SetID: core.SetID(), Record: record}
			c.step(c.nodes[i], core, replication.MessageReceived{From: "n3", Message: report})
		}
	}
}

// CatchUpRate limits catch-up, and not the time that a message takes. An answer holds few records, so catch-up
// would take a minute if each answer were awaited before the next request.
func TestCatchUpIsNotLimitedByRoundTrips(t *testing.T) {
	const ops, answerBytes = 10_500, 1000
	for _, delay := range []Time{4 * Millisecond, 8 * Millisecond} {
		c := startCluster(4, 3, 1)
		reportEnded(c, 3, ops, answerBytes)
		c.Run(c.Now() + 2*Second)
		c.MeanDelay, c.SentRecords = delay, 0
		// Two replicas send records at CatchUpRate each, so the time for one of them leaves as much again.
		due := Time(c.Core(1).Status().Bytes) * Second / Time(c.Config.CatchUpRate)
		began := c.Now()
		restartReplica(t, c, 0)
		if took := c.Now() - began; took > due {
			t.Errorf("with %d ms a message, the replica votes after %d ms, want at most %d ms",
				delay/Millisecond, took/Millisecond, due/Millisecond)
		}
		if got := c.Core(0).Status().Records; got != ops || c.SentRecords > ops*5/4 {
			t.Errorf("%d records are known, and %d were sent, of %d", got, c.SentRecords, ops)
		}
	}
}
