package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// startCluster returns a cluster of started schedulers whose replicas vote.
func startCluster(n, replicas int, seed uint64) *Cluster {
	c := New(n, replicas, seed)
	for i := range n {
		c.Start(i)
	}
	c.Run(6 * Second)
	return c
}

// claimResult makes a scheduler claim an op, and returns the result of the claim; 0 if there is none in time.
func (c *Cluster) claimResult(i int, key string) replication.ClaimResult {
	return c.claimResultAs(i, key, ownerFingerprint)
}

// claimResultAs is claimResult for a request with the given fingerprint.
func (c *Cluster) claimResultAs(i int, key string, fingerprint uint64) replication.ClaimResult {
	previousSteps := len(c.History)
	c.ClaimAs(i, key, fingerprint)
	c.Run(c.Now() + Second)
	for _, entry := range c.History[previousSteps:] {
		if entry.Key == key && entry.Step == stepDecided && entry.Scheduler == c.nodes[i].name {
			return entry.Result
		}
	}
	return 0
}

// seedRange returns the first and the last seed to run: 1 and count by default. The environment variable
// PLAYS replaces count, and SEED selects a single seed.
func seedRange(count uint64) (first, last uint64) {
	if seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return seed, seed
	}
	if runs, err := strconv.ParseUint(os.Getenv("PLAYS"), 10, 64); err == nil {
		count = runs
	}
	return 1, count
}

// No op is granted to two schedulers under random crashes, pauses, replaced processes, cut links and message
// loss. At rest, all replicas vote and have equal records. SEED repeats one seed, and PLAYS sets the number
// of seeds.
func TestNoOpIsGrantedTwiceUnderRandomFaults(t *testing.T) {
	first, last := seedRange(90)
	granted := 0
	for seed := first; seed <= last; seed++ {
		replicas := 3
		if seed%3 == 0 {
			replicas = 5
		}
		c := New(6, replicas, seed)
		c.drawNetwork(0, 0.05, 0.2)
		for i := range 6 {
			c.At(Time(c.Rand.IntN(5000)), func() { c.Start(i) })
		}
		end := 25 * Second
		c.drawClaims(3500*Millisecond, end)
		c.drawFaults(4*Second, end)
		c.Run(end + 12*Second)
		granted += c.Granted
		c.reportViolations(t, seed)
		c.LossProbability, c.DuplicationProbability = 0, 0
		c.Run(end + 50*Second) // until all late messages have arrived
		c.checkReplicasEqual(t, seed, replicas)
		if t.Failed() {
			return
		}
	}
	if granted < 20*int(last-first+1) {
		t.Errorf("only %d ops were granted: too few for this test", granted)
	}
}

func checkResult(t *testing.T, got, want replication.ClaimResult) {
	t.Helper()
	if got != want {
		t.Errorf("result %v, want %v", got, want)
	}
}

// If three schedulers claim the same key at the same time, at most one claim is granted.
func TestSimultaneousClaimsOfOneIDAreGrantedOnce(t *testing.T) {
	for seed := range uint64(200) {
		c := startCluster(6, 3, seed)
		for i := range 3 {
			c.Claim(3+i, "x")
		}
		c.Run(c.Now() + 2*Second)
		granted := 0
		for _, entry := range c.History {
			if entry.Result == replication.Granted {
				granted++
			}
		}
		if granted > 1 || len(c.Violations) > 0 {
			t.Fatalf("seed %d: %d claims granted, %v", seed, granted, c.Violations)
		}
	}
}

// The claim of a killed scheduler stays unresolved. A repeat is in progress until the scheduler counts as
// dead. After that the outcome is unknown, and the op is not granted again.
func TestAKilledClaimersOpHasAnUnknownOutcome(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.Config.Retention = 600 * Second
	core := c.Core(4)
	c.Claim(4, "x")
	c.Run(c.Now() + 20*Millisecond)
	if core.Status().GrantedClaims != 1 {
		t.Fatal("not granted")
	}
	c.Kill(4)
	checkResult(t, c.claimResult(3, "x"), replication.InProgress)
	for i := range 4 {
		c.step(c.nodes[i], c.nodes[i].core, replication.PeerStatus{Name: "n4", Dead: true})
	}
	checkResult(t, c.claimResult(3, "x"), replication.OutcomeUnknown)
}

// A claimer is killed and restarts under its name before any member sees it as dead. No process runs its
// former op any more, so a repeat must get an unknown outcome. If the repeat were in progress, the client
// would retry until the record expires.
func TestARestartedClaimersOpHasAnUnknownOutcome(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.Config.Retention = 600 * Second
	c.Claim(4, "x")
	c.Run(c.Now() + 20*Millisecond)
	if c.Core(4).Status().GrantedClaims != 1 {
		t.Fatal("not granted")
	}
	c.Kill(4)
	c.Start(4)
	c.Run(c.Now() + 30*Second)
	checkResult(t, c.claimResult(3, "x"), replication.OutcomeUnknown)
}

// Without a majority of replicas that vote, no claim is granted. Replicas that restart without memory vote
// only after the hold-off. An op that was claimed before is not granted again.
func TestNothingIsGrantedWithoutAMajority(t *testing.T) {
	c := startCluster(5, 3, 1)
	c.Kill(0)
	checkResult(t, c.claimResult(4, "a"), replication.Granted)
	c.Kill(1)
	checkResult(t, c.claimResult(4, "b"), replication.NoQuorum)
	c.Start(0)
	c.Start(1)
	c.Run(c.Now() + 500*Millisecond)
	// Two replicas have lost their memory, and one voting replica is not a majority.
	checkResult(t, c.claimResult(4, "c"), replication.NoQuorum)
	c.Run(c.Now() + 5*Second)
	checkResult(t, c.claimResult(4, "c"), replication.Granted)
	if got := c.claimResult(3, "a"); got == replication.Granted {
		t.Errorf("an op that was claimed before is granted again")
	}
}

// A replica that restarts without memory has no vote before it has caught up. After that it has all records
// again. If it voted earlier, it could grant an op that it had granted before.
func TestAReplicaWithoutMemoryCatchesUpBeforeItVotes(t *testing.T) {
	c := startCluster(5, 3, 1)
	for k := range 40 {
		c.Claim(4, fmt.Sprint("x", k))
	}
	c.Run(c.Now() + 2*Second)
	c.Kill(2)
	c.Start(2)
	if c.Core(2).Status().Voting {
		t.Error("the replica votes without its records")
	}
	c.Run(c.Now() + 3*Second)
	if s := c.Core(2).Status(); !s.Voting || s.Records != 40 || s.Digest != c.Core(0).Status().Digest {
		t.Errorf("after 3 s: %+v", s)
	}
}

// The cost of catch-up depends on the number of missed records and not on the number of all records.
func TestCatchUpFetchesOnlyMissedRecords(t *testing.T) {
	c := startCluster(5, 3, 1)
	for k := range 2000 {
		c.At(c.Now()+Time(k*10), func() { c.Claim(4, fmt.Sprint("x", k)) })
	}
	c.Run(c.Now() + 10*Second)
	for i := range 5 {
		c.CutLink(i, 2, true)
		c.CutLink(2, i, true)
	}
	for k := range 50 {
		c.Claim(4, fmt.Sprint("y", k))
	}
	c.Run(c.Now() + 8*Second)
	c.SentRecords = 0
	for i := range 5 {
		c.CutLink(i, 2, false)
		c.CutLink(2, i, false)
	}
	c.Run(c.Now() + 5*Second)
	if c.Core(2).Status().Digest != c.Core(0).Status().Digest {
		t.Error("the records of the replicas differ")
	}
	if c.SentRecords > 4*50 { // two replicas send each record, and each end is another change
		t.Errorf("%d records were sent for 50 missed ones", c.SentRecords)
	}
}

// Full replicas refuse new ops. They don't delete records to make space, since a deleted op could run twice.
func TestFullReplicasRefuseNewOps(t *testing.T) {
	c := New(4, 3, 1)
	c.Config.MaxRecords = 10
	for i := range 4 {
		c.Start(i)
	}
	c.Run(6 * Second)
	for k := range 10 {
		checkResult(t, c.claimResult(3, fmt.Sprint("x", k)), replication.Granted)
	}
	checkResult(t, c.claimResult(3, "one more"), replication.NoQuorum)
	for k := range 10 {
		c.claimResult(3, fmt.Sprint("x", k))
	}
	if len(c.Violations) > 0 {
		t.Error(c.Violations)
	}
}

// If one replica of three is killed, paused or cut off in one direction, no claim is refused.
func TestOneFaultyReplicaOfThreeCausesNoRefusal(t *testing.T) {
	for fault, inject := range map[string]func(c *Cluster, k int){
		"dead":          func(c *Cluster, k int) { c.Kill(k) },
		"paused":        func(c *Cluster, k int) { c.Pause(k) },
		"can't send":    func(c *Cluster, k int) { cutLinksOf(c, k, true, false) },
		"can't receive": func(c *Cluster, k int) { cutLinksOf(c, k, false, true) },
	} {
		for k := range 3 {
			c := startCluster(6, 3, uint64(k+1))
			inject(c, k)
			previousSteps := len(c.History)
			for n := range 200 {
				c.At(c.Now()+Time(n*50), func() { c.Claim(3+n%3, fmt.Sprint("x", n)) })
			}
			c.Run(c.Now() + 3*Second)
			refused, granted := 0, 0
			for _, entry := range c.History[previousSteps:] {
				if entry.Step == stepDecided && entry.Result == replication.NoQuorum {
					refused++
				} else if entry.Result == replication.Granted {
					granted++
				}
			}
			if refused > 0 || granted != 200 {
				t.Errorf("replica %d %s: %d of 200 granted, %d refused", k, fault, granted, refused)
			}
		}
	}
}

// cutLinksOf cuts or restores the outgoing and incoming links of one node.
func cutLinksOf(c *Cluster, k int, out, in bool) {
	for i := range 6 {
		if i != k {
			c.CutLink(k, i, out)
			c.CutLink(i, k, in)
		}
	}
}

// Catch-up that is interrupted ten times resumes where it stopped. Records that have arrived are not sent
// again.
func TestInterruptedCatchUpResumes(t *testing.T) {
	const missed = 7000 // more records than CatchUpRate allows in ten times 400 ms
	c := New(5, 3, 1)
	c.Config.CatchUpRate = 1 << 16
	for i := range 5 {
		c.Start(i)
	}
	c.Run(6 * Second)
	cut := func(isolated bool) { c.partition([]int{2}, []int{0, 1, 3, 4}, isolated) }
	cut(true)
	for k := range missed {
		c.At(c.Now()+Time(k*8), func() { c.Claim(4, fmt.Sprint("x", k)) })
	}
	c.Run(c.Now() + 8*Second)
	c.SentRecords = 0
	for range 10 {
		cut(false)
		c.Run(c.Now() + 400*Millisecond)
		if c.Core(2).Digest() == c.Core(0).Digest() {
			t.Fatal("the replica caught up between two interruptions, so this test checks nothing")
		}
		cut(true)
		c.Run(c.Now() + 300*Millisecond)
	}
	cut(false)
	c.Run(c.Now() + 20*Second)
	if c.Core(2).Digest() != c.Core(0).Digest() {
		t.Error("the records of the replicas differ")
	}
	if c.SentRecords > missed*5/4 {
		t.Errorf("%d records were sent for %d missed ones", c.SentRecords, missed)
	}
}

// If the scheduler of a deduplicated op is seen as dead, another scheduler may repeat the op. It may do so
// only in the worker group where the op ran, and only while that group drops repeats. This must also hold if
// the first scheduler is only paused, and if reports are lost or late.
func TestRandomRepeatsAreGrantedOnlyInTheirGroup(t *testing.T) {
	bound := 0
	for seed := uint64(1); seed <= 60; seed++ {
		c := New(6, 3, seed)
		r := c.Rand
		c.DedupWindow = 6 * Second
		c.drawNetwork(0, 0.1, 0.3)
		for i := range 6 {
			c.Start(i)
		}
		c.Run(6 * Second)
		begin := c.Now()
		for at := begin; at < begin+25*Second; at += Time(r.IntN(1500)) {
			i, key := r.IntN(6), fmt.Sprint("d", (at-begin)/(9*Second), "-", r.IntN(4))
			c.At(at, func() { c.Claim(i, key) })
		}
		for at := begin; at < begin+25*Second; at += 3*Second + Time(r.IntN(20_000)) {
			i, kill, downtime := 3+r.IntN(3), r.IntN(2) == 0, 2*Second+Time(r.IntN(80_000))
			c.At(at, func() {
				if kill {
					c.Kill(i)
				} else {
					c.Pause(i)
				}
			})
			c.At(at+Second/2, func() { c.SetDead(i, true) })
			c.At(at+downtime, func() {
				if kill {
					c.Start(i)
				} else {
					c.Resume(i)
				}
				c.SetDead(i, false)
			})
		}
		c.Run(begin + 45*Second)
		bound += c.BoundClaims
		for _, violation := range c.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if t.Failed() {
			return
		}
	}
	if bound < 60 {
		t.Errorf("only %d claims were bound to a group: too few for this test", bound)
	}
}
