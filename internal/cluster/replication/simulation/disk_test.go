package simulation

import (
	"fmt"
	"slices"
	"testing"
)

// Disks of replicas fail for a while, with half of what they fail to sync written all the same, while
// processes are killed and cut off. No op is given twice, and once each replica whose disk failed has been
// started again, all have their votes and the same copies.
func TestDrawnDisksThatFail(t *testing.T) { playDisks(t, false) }

// The same while operators change the replicas.
func TestDrawnDisksThatFailWhileKeepersChange(t *testing.T) { playDisks(t, true) }

func playDisks(t *testing.T, changes bool) {
	t.Helper()
	first, last := seeds(40)
	granted, failed := 0, 0
	for seed := first; seed <= last; seed++ {
		p := dynamicCluster(t, 5, 3, seed)
		p.Loss, p.Duplication, p.Delay = []float64{0, 0.05}[p.Rand.IntN(2)], 0.05, Time(2+p.Rand.IntN(100))
		for range 3 {
			burst(p, changes)
			p.Run(p.Now() + burstTime)
		}
		p.Loss, p.Duplication = 0, 0
		for i := range 5 {
			if p.FailDisk(i, false); p.DiskFailed(i) {
				p.Kill(i)
				p.Start(i)
				p.Run(p.Now() + 5*Second)
			}
		}
		p.Run(p.Now() + 40*Second)
		granted, failed = granted+p.Granted, failed+p.DiskFailures
		p.reportViolations(t, seed)
		p.checkConverged(t, seed, 5)
		if t.Failed() {
			return
		}
	}
	if plays := int(last - first + 1); granted < 20*plays || failed < 5*plays {
		t.Errorf("only %d ops were granted and %d rounds failed: this proves little", granted, failed)
	}
}

const burstTime = 14 * Second

// burst draws troubles that cross: a replica's disk fails, another one is cut off from some, and those
// that could know are killed and come back. Ids are asked for at one of these meanwhile and again
// anywhere afterwards.
func burst(p *Cluster, changes bool) {
	r, from := p.Rand, p.Now()+Second
	keepers := r.Perm(3)
	if changes {
		keepers = p.threeReplicas()
		r.Shuffle(3, func(i, j int) { keepers[i], keepers[j] = keepers[j], keepers[i] })
	}
	failing, knows, apart := keepers[0], keepers[1], keepers[2]
	at := func(least, most Time) Time { return from + least + Time(r.Int64N(int64(most-least))) }
	likely := func() bool { return r.IntN(8) > 0 }
	if likely() {
		p.At(at(0, Second), func() { p.FailDisk(failing, true) })
		p.At(at(Second, 3*Second), func() { p.FailDisk(failing, false) })
	}
	for _, other := range []int{failing, knows} {
		if likely() {
			p.At(from-100*Millisecond, func() { p.partition([]int{apart}, []int{other}, true) })
			p.At(at(3*Second, 5*Second), func() { p.partition([]int{apart}, []int{other}, false) })
		}
	}
	for _, i := range []int{failing, knows} {
		if likely() {
			killed := at(2*Second, 4*Second)
			p.At(killed, func() { p.Kill(i) })
			p.At(killed+Time(r.IntN(40_000)), func() { p.Start(i) })
		}
	}
	if changes && r.IntN(2) == 0 {
		by, want := r.IntN(5), r.Perm(5)[:3]
		p.At(at(0, 3*Second), func() { p.RequestChange(by, want...) })
	}
	for k := range 12 {
		key := fmt.Sprint("op", from, "-", k)
		first := []int{failing, knows}[r.IntN(2)]
		p.At(at(0, 2*Second), func() { p.Claim(first, key) })
		for range 3 {
			again := r.IntN(5)
			p.At(at(4*Second, 10*Second), func() { p.Claim(again, key) })
		}
	}
}

// threeReplicas are three places: those of the replicas, as the last place knows them, and others where
// they are fewer.
func (p *Cluster) threeReplicas() []int {
	var are, others []int
	set := p.Core(4).Set()
	for i, pl := range p.nodes {
		if slices.Contains(set.New, pl.name) {
			are = append(are, i)
		} else {
			others = append(others, i)
		}
	}
	return append(are, others...)[:3]
}
