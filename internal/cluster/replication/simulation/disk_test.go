package simulation

import (
	"fmt"
	"slices"
	"testing"
)

// Disks of replicas fail for a while, and half of the failed writes are stored nevertheless. Meanwhile
// processes are killed and links are cut. No op is granted twice. After the nodes whose disks failed have
// been restarted, all replicas vote and have equal records.
func TestNoOpIsGrantedTwiceUnderRandomDiskFailures(t *testing.T) { runDiskFailures(t, false) }

// No op is granted twice under the same disk failures while operators change the replicas.
func TestNoOpIsGrantedTwiceUnderDiskFailuresAndReplicaChanges(t *testing.T) { runDiskFailures(t, true) }

func runDiskFailures(t *testing.T, changes bool) {
	t.Helper()
	first, last := seedRange(40)
	granted, failed := 0, 0
	for seed := first; seed <= last; seed++ {
		c := dynamicCluster(t, 5, 3, seed)
		c.LossProbability, c.DuplicationProbability, c.MeanDelay =
			[]float64{0, 0.05}[c.Rand.IntN(2)], 0.05, Time(2+c.Rand.IntN(100))
		for range 3 {
			scheduleFaultBurst(c, changes)
			c.Run(c.Now() + burstDuration)
		}
		c.LossProbability, c.DuplicationProbability = 0, 0
		for i := range 5 {
			if c.FailDisk(i, false); c.DiskFailed(i) {
				c.Kill(i)
				c.Start(i)
				c.Run(c.Now() + 5*Second)
			}
		}
		c.Run(c.Now() + 40*Second)
		granted, failed = granted+c.Granted, failed+c.DiskFailures
		c.reportViolations(t, seed)
		c.checkConverged(t, seed, 5)
		if t.Failed() {
			return
		}
	}
	if runs := int(last - first + 1); granted < 20*runs || failed < 5*runs {
		t.Errorf("only %d ops granted and %d writes failed: too few for this test", granted, failed)
	}
}

const burstDuration = 14 * Second

// scheduleFaultBurst schedules overlapping random faults. The disk of one replica fails. A second replica is
// cut off from the other two, and these two are killed and restarted. Meanwhile ops are claimed at one of the
// two, and later again at random schedulers.
func scheduleFaultBurst(c *Cluster, changes bool) {
	r, begin := c.Rand, c.Now()+Second
	nodes := r.Perm(3)
	if changes {
		nodes = c.threeNodesReplicasFirst()
		r.Shuffle(3, func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	failing, connected, isolated := nodes[0], nodes[1], nodes[2]
	timeBetween := func(from, until Time) Time { return begin + from + Time(r.Int64N(int64(until-from))) }
	likely := func() bool { return r.IntN(8) > 0 }
	if likely() {
		c.At(timeBetween(0, Second), func() { c.FailDisk(failing, true) })
		c.At(timeBetween(Second, 3*Second), func() { c.FailDisk(failing, false) })
	}
	for _, other := range []int{failing, connected} {
		if likely() {
			c.At(begin-100*Millisecond, func() { c.partition([]int{isolated}, []int{other}, true) })
			c.At(timeBetween(3*Second, 5*Second), func() { c.partition([]int{isolated}, []int{other}, false) })
		}
	}
	for _, i := range []int{failing, connected} {
		if likely() {
			killedAt := timeBetween(2*Second, 4*Second)
			c.At(killedAt, func() { c.Kill(i) })
			c.At(killedAt+Time(r.IntN(40_000)), func() { c.Start(i) })
		}
	}
	if changes && r.IntN(2) == 0 {
		scheduler, want := r.IntN(5), r.Perm(5)[:3]
		c.At(timeBetween(0, 3*Second), func() { c.RequestChange(scheduler, want...) })
	}
	for k := range 12 {
		key := fmt.Sprint("op", begin, "-", k)
		first := []int{failing, connected}[r.IntN(2)]
		c.At(timeBetween(0, 2*Second), func() { c.Claim(first, key) })
		for range 3 {
			repeat := r.IntN(5)
			c.At(timeBetween(4*Second, 10*Second), func() { c.Claim(repeat, key) })
		}
	}
}

// threeNodesReplicasFirst returns three nodes: the replicas of the set in force at n4, then other nodes if
// there are fewer than three replicas. All nodes run between two bursts, so any node could be asked.
func (c *Cluster) threeNodesReplicasFirst() []int {
	var replicas, others []int
	set := c.Core(4).Set()
	for i, n := range c.nodes {
		if slices.Contains(set.New, n.name) {
			replicas = append(replicas, i)
		} else {
			others = append(others, i)
		}
	}
	return append(replicas, others...)[:3]
}
