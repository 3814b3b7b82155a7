package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// dynamicCluster returns a cluster with dynamic replicas, whose raft group has been created.
func dynamicCluster(t *testing.T, n, replicas int, seed uint64) *Cluster {
	t.Helper()
	c := New(n, replicas, seed)
	c.DynamicReplicas = true
	for i := range n {
		c.Start(i)
	}
	c.Run(8 * Second)
	for i := range n {
		if c.Core(i).Set().Epoch == 0 {
			t.Fatalf("seed %d: n%d still uses its configured set: %+v", seed, i, c.Core(i).Status())
		}
	}
	return c
}

// changeReplicasUntilInForce requests replicas repeatedly until they are in force. It reports whether they
// are in force before the timeout.
func (c *Cluster) changeReplicasUntilInForce(i int, timeout Time, want ...int) bool {
	deadline := c.Now() + timeout
	for c.Now() < deadline {
		c.RequestChange(i, want...)
		c.Run(c.Now() + 2*Second)
		if c.hasReplicas(i, want...) {
			return true
		}
	}
	return false
}

// hasReplicas reports whether exactly these replicas are in force at a scheduler, in a set that is not joint.
func (c *Cluster) hasReplicas(i int, want ...int) bool {
	var names []string
	for _, k := range want {
		names = append(names, fmt.Sprint("n", k))
	}
	slices.Sort(names)
	set := c.Core(i).Set()
	return !set.Joint() && slices.Equal(set.New, names)
}

// partition cuts or restores all links between two sides.
func (c *Cluster) partition(a, b []int, cut bool) {
	for _, i := range a {
		for _, j := range b {
			c.CutLink(i, j, cut)
			c.CutLink(j, i, cut)
		}
	}
}

func (c *Cluster) requireNoViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.Violations {
		t.Error(violation)
	}
}

// checkConverged checks that the first nodes use the same replica set, and that all its replicas vote and
// have equal records.
func (c *Cluster) checkConverged(t *testing.T, seed uint64, nodes int) {
	t.Helper()
	set, digest := c.Core(0).Set(), ""
	for i := range nodes {
		if got := c.Core(i).Set(); got.ID() != set.ID() || got.Joint() {
			t.Errorf("seed %d: at rest n%d uses the set %+v, n0 uses %+v", seed, i, got, set)
		}
		if !slices.Contains(set.New, c.nodes[i].name) {
			continue
		}
		s := c.Core(i).Status()
		if digest == "" {
			digest = s.Digest
		}
		if s.Digest != digest || !s.Voting {
			const format = "seed %d: at rest n%d votes: %v, digest of its records %s, want %s"
			t.Errorf(format, seed, i, s.Voting, s.Digest, digest)
		}
	}
}

// If all replicas are replaced, the new replicas know all grants of the old ones. Otherwise an op could be
// granted twice.
func TestNewReplicasKnowTheGrantsOfReplacedOnes(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := dynamicCluster(t, 7, 3, seed)
		for k := range 30 {
			c.Claim(6, fmt.Sprint("x", k))
		}
		c.Run(c.Now() + Second)
		if !c.changeReplicasUntilInForce(6, 10*Second, 3, 4, 5) {
			t.Fatalf("seed %d: the replicas are %v", seed, c.Core(6).Set())
		}
		for i := range 3 {
			c.Kill(i)
		}
		for k := range 30 {
			c.claimResult(6, fmt.Sprint("x", k))
		}
		if got := c.claimResult(6, "new"); got != replication.Granted {
			t.Errorf("seed %d: a claim at the new replicas: %v", seed, got)
		}
		c.requireNoViolations(t)
	}
}

// The old replicas stay until the new ones have caught up. Two of the three new replicas are also old ones
// and vote all along, but they don't know what the other three old replicas granted. As long as the digests
// that the new replicas need are lost, the set must stay joint. Otherwise an op could be granted twice.
func TestOldReplicasStayUntilTheNewOnesHaveCaughtUp(t *testing.T) {
	leaderInformed := false
	for seed := uint64(1); seed <= 8; seed++ {
		c := dynamicCluster(t, 8, 5, seed)
		for i := 2; i < 5; i++ { // a leader that is not a new replica must learn which of them are ready
			leaderInformed = leaderInformed || c.nodes[i].replicaSet.IsLeader()
		}
		c.DropIf = func(to string, m replication.Message) bool {
			return to == "n0" || to == "n1" || to == "n5" // so that the other three replicas grant the claim
		}
		c.Claim(7, "x")
		c.Run(c.Now() + Second)
		if c.Granted != 1 {
			t.Fatalf("seed %d: the claim is not granted", seed)
		}
		// At first none of the three new replicas can catch up. Then only n5 can, which is not a majority.
		for _, uninformed := range []string{"n0 n1 n5", "n0 n1"} {
			c.DropIf = func(to string, m replication.Message) bool {
				return strings.Contains(uninformed, to) && m.Kind == replication.DigestPage
			}
			for range 4 {
				c.RequestChange(6, 0, 1, 5)
				c.Run(c.Now() + Second)
				c.Claim(6, "x")
			}
			if set := c.Core(6).Set(); !set.Joint() {
				t.Errorf("seed %d: before %s have caught up, the set is %v", seed, uninformed, set)
			}
		}
		c.DropIf = nil
		c.Run(c.Now() + 3*Second)
		if !c.hasReplicas(6, 0, 1, 5) {
			t.Errorf("seed %d: the change is not completed: %v", seed, c.Core(6).Set())
		}
		c.claimResult(6, "x")
		c.requireNoViolations(t)
	}
	if !leaderInformed {
		t.Error("no leader learned which replicas are ready, so this test checks little")
	}
}

// While a dead replica is replaced, no claim is refused.
func TestADeadReplicaIsReplacedWithoutRefusedClaims(t *testing.T) {
	c := dynamicCluster(t, 6, 3, 1)
	c.Kill(2)
	begin, n := c.Now(), 0
	for at := begin; at < begin+6*Second; at += 50 * Millisecond {
		n++
		c.At(at, func() { c.Claim(5, fmt.Sprint("y", at)) })
	}
	c.RequestChange(4, 0, 1, 3)
	c.Run(begin + 8*Second)
	refused := 0
	for _, entry := range c.History {
		if entry.Step == stepDecided && entry.At >= begin && entry.Result == replication.NoQuorum {
			refused++
		}
	}
	if !c.hasReplicas(5, 0, 1, 3) || refused > 0 {
		t.Errorf("replicas %v, and %d of %d claims refused during the change", c.Core(5).Set(), refused, n)
	}
	c.Kill(1) // two of the three new replicas are a majority
	if got := c.claimResult(5, "z"); got != replication.Granted {
		t.Errorf("a claim with two of the three new replicas: %v", got)
	}
	c.requireNoViolations(t)
}

// If operators request changes on both sides of a partition, only the side with the majority changes the
// replicas. The other side adopts the change after the partition. Otherwise both sides could grant one op.
func TestOnlyOneSideOfAPartitionChangesTheReplicas(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := dynamicCluster(t, 8, 3, seed)
		a, b := []int{0, 1, 3, 6}, []int{2, 4, 5, 7}
		c.partition(a, b, true)
		c.Run(c.Now() + 3*Second)
		for range 3 {
			c.RequestChange(6, 0, 1, 3)
			c.RequestChange(7, 2, 4, 5)
			c.Run(c.Now() + 2*Second)
			c.Claim(6, "x")
			c.Claim(7, "x")
		}
		if !c.hasReplicas(6, 0, 1, 3) || c.hasReplicas(7, 2, 4, 5) {
			t.Fatalf("seed %d: the replicas are %v and %v", seed, c.Core(6).Set(), c.Core(7).Set())
		}
		c.partition(a, b, false)
		c.Run(c.Now() + 5*Second)
		if !c.hasReplicas(7, 0, 1, 3) || !c.hasReplicas(2, 0, 1, 3) {
			t.Errorf("seed %d: after the partition %v and %v", seed, c.Core(7).Set(), c.Core(2).Set())
		}
		c.requireNoViolations(t)
	}
}

// A scheduler that was paused during two changes of the replicas sends its claim to the original replicas.
// They refuse the claim and send the set in force. A grant from before the changes must not count. Otherwise
// the op could be granted twice.
func TestAClaimDelayedOverTwoChangesIsNotGrantedTwice(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := dynamicCluster(t, 8, 3, seed)
		c.Pause(7)
		c.Claim(7, "x") // deferred until the scheduler resumes
		if !c.changeReplicasUntilInForce(6, 10*Second, 2, 3, 4) ||
			!c.changeReplicasUntilInForce(6, 10*Second, 4, 5, 6) {
			t.Fatalf("seed %d: the replicas are %v", seed, c.Core(6).Set())
		}
		c.claimResult(6, "x")
		c.Resume(7)
		c.Run(c.Now() + 2*Second)
		if got := c.claimResult(7, "y"); got != replication.Granted {
			t.Errorf("seed %d: n7 has not learned the replicas: %v, %v", seed, got, c.Core(7).Set())
		}
		c.requireNoViolations(t)
	}
}

// A replica that lost its disk is added again by the others and votes once it has caught up, in the raft
// group and on claims.
func TestAReplicaThatLostItsDiskVotesAgain(t *testing.T) {
	for _, k := range []int{0, 2} { // the replica that creates the raft group, and another one
		c := dynamicCluster(t, 5, 3, 3)
		c.Claim(4, "x")
		c.Run(c.Now() + Second)
		epoch := c.Core(4).Set().Epoch
		c.Kill(k)
		c.LoseDisk(k)
		c.Start(k)
		c.Run(c.Now() + 6*Second)
		if set := c.Core(4).Set(); set.Joint() || set.Epoch == epoch || !c.Core(k).Status().Voting {
			t.Fatalf("n%d: %+v, voting %v", k, set, c.Core(k).Status().Voting)
		}
		c.Kill((k + 1) % 3) // the raft group and the claims now need the vote of replica k
		if !c.changeReplicasUntilInForce(4, 20*Second, k, (k+2)%3, 3) {
			t.Errorf("n%d: the replicas are %v", k, c.Core(4).Set())
		}
		c.requireNoViolations(t)
	}
}

// A replica that is dead for ReplaceAfter is replaced by an alive spare. A replica that returns earlier is
// not replaced, and a dead spare is not used.
func TestALongDeadReplicaIsReplacedByAnAliveSpare(t *testing.T) {
	c := New(6, 3, 1)
	c.DynamicReplicas = true
	c.ReplicaSetConfig.ReplaceAfter, c.ReplicaSetConfig.Spares = 20*Second, []string{"n3", "n4"}
	for i := range 6 {
		c.Start(i)
	}
	c.Run(30 * Second)
	for i := range 6 {
		c.SetAlive(i, true)
	}
	c.Kill(1)
	c.SetAlive(1, false)
	c.Run(c.Now() + 15*Second)
	c.Start(1)
	c.SetAlive(1, true)
	c.Run(c.Now() + 20*Second)
	if !c.hasReplicas(5, 0, 1, 2) {
		t.Errorf("a replica that returned in time was replaced: %v", c.Core(5).Set())
	}
	c.Kill(3)
	c.SetAlive(3, false)
	c.Kill(1)
	c.SetAlive(1, false)
	c.Run(c.Now() + 30*Second)
	if !c.hasReplicas(5, 0, 2, 4) {
		t.Errorf("the dead replica was not replaced by the alive spare: %v", c.Core(5).Set())
	}
	c.requireNoViolations(t)
}

// Only all configured replicas together create the raft group. If two of three replicas could create it while
// the third one is down, that replica could later create another group.
func TestTheRaftGroupIsCreatedOnlyByAllConfiguredReplicas(t *testing.T) {
	c := New(4, 3, 1)
	c.DynamicReplicas = true
	for _, i := range []int{0, 1, 3} {
		c.Start(i)
	}
	c.Run(20 * Second)
	if c.Core(0).Set().Epoch != 0 {
		t.Errorf("two of three replicas created the group: %v", c.Core(0).Set())
	}
	c.Start(2)
	c.Run(c.Now() + 5*Second)
	for i := range 4 {
		if c.Core(i).Set().Epoch != 1 {
			t.Errorf("the set at n%d is %v, want epoch 1", i, c.Core(i).Set())
		}
	}
	c.claimResult(3, "x")
	c.requireNoViolations(t)
}

// Invalid, outdated and conflicting changes are rejected with a reason, and change nothing.
func TestInvalidReplicaChangesAreRejected(t *testing.T) {
	c := dynamicCluster(t, 6, 3, 1)
	c.Kill(5)
	for _, x := range []struct {
		want []int
		text string
	}{
		{[]int{0, 1}, "odd number"},
		{[]int{0, 1, 1}, "stands twice"},
		{[]int{0, 1, 5}, "nothing is heard of n5"},
	} {
		id := c.RequestChange(4, x.want...)
		c.Run(c.Now() + 3*Second)
		if a := c.Answers[id]; a.OK || !strings.Contains(a.Text, x.text) {
			t.Errorf("%v: %+v", x.want, a)
		}
	}
	if !c.changeReplicasUntilInForce(4, 10*Second, 1, 2, 3) {
		t.Fatal(c.Core(4).Set())
	}
	c.lastRequest++ // a request based on the previous set
	c.stepReplicaSet(c.nodes[4], c.Core(4), replicaset.ChangeRequest{
		RequestID: c.lastRequest,
		Epoch:     1,
		Replicas:  []string{"n0", "n2", "n3"},
	})
	c.Run(c.Now() + 3*Second)
	if a := c.Answers[c.lastRequest]; a.OK || !strings.Contains(a.Text, "have changed meanwhile") {
		t.Errorf("a request based on the previous set: %+v", a)
	}
	if !c.changeReplicasUntilInForce(4, 10*Second, 0, 1, 2) {
		t.Fatal(c.Core(4).Set())
	}
	firstID, secondID := c.RequestChange(3, 0, 1, 3), c.RequestChange(4, 0, 1, 4)
	c.Run(c.Now() + 3*Second)
	if a, b := c.Answers[firstID], c.Answers[secondID]; a.OK == b.OK {
		t.Errorf("two simultaneous requests: %+v and %+v", a, b)
	}
	if !c.hasReplicas(4, 0, 1, 3) && !c.hasReplicas(4, 0, 1, 4) {
		t.Errorf("the replicas are %v", c.Core(4).Set())
	}
	c.requireNoViolations(t)
}

// No op is granted to two schedulers while replicas change under random crashes, pauses, cut links and
// message loss. At rest, all schedulers use the same set.
func TestNoOpIsGrantedTwiceDuringRandomReplicaChanges(t *testing.T) {
	first, last := seedRange(24)
	granted, epochs := 0, 0
	for seed := first; seed <= last; seed++ {
		c := New(7, 3, seed)
		c.DynamicReplicas = true
		c.drawNetwork(0, 0.05, 0.2)
		for i := range 7 {
			c.Start(i)
		}
		c.Run(8 * Second)
		c.CrashProbability = []float64{0, 0.0002, 0.001}[c.Rand.IntN(3)]
		begin, end := c.Now(), c.Now()+30*Second
		c.drawClaimsInPairs(begin, end)
		c.drawChanges(begin, end)
		c.drawOutages(begin, end)
		c.Run(end + 5*Second)
		c.CrashProbability, c.LossProbability, c.DuplicationProbability = 0, 0, 0
		c.Run(end + 60*Second)
		granted, epochs = granted+c.Granted, epochs+len(c.Epochs)
		c.reportViolations(t, seed)
		c.checkConverged(t, seed, 7)
		if t.Failed() {
			return
		}
	}
	if runs := int(last - first + 1); granted < 20*runs || epochs < 3*runs {
		t.Errorf("only %d ops granted and %d epochs in force: too few for this test", granted, epochs)
	}
}

// drawClaimsInPairs schedules pairs of claims of one key, at two random nodes (possibly the same one) within
// 3 ms. A key is reused for at most two seconds.
func (c *Cluster) drawClaimsInPairs(begin, end Time) {
	r := c.Rand
	for at := begin; at < end; at += Time(r.IntN(1500)) {
		i, j, key := r.IntN(7), r.IntN(7), fmt.Sprint("op", at/(2*Second), "-", r.IntN(3))
		c.At(at, func() { c.Claim(i, key) })
		c.At(at+Time(r.IntN(30)), func() { c.Claim(j, key) })
	}
}

// drawChanges schedules requests for random sets of one, three or five replicas.
func (c *Cluster) drawChanges(begin, end Time) {
	r := c.Rand
	for at := begin; at < end; at += Time(r.IntN(40_000)) {
		scheduler, replicas := r.IntN(7), r.Perm(7)[:[]int{1, 3, 3, 5}[r.IntN(4)]]
		c.At(at, func() { c.RequestChange(scheduler, replicas...) })
	}
}
