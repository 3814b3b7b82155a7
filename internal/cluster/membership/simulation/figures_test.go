package simulation

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func quantile(all []Time, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[min(int(q*float64(len(all))), len(all)-1)]) / float64(Second)
}

// figures are what some runs of one size have measured.
type figures struct {
	detected  []Time  // how long after a death it was reported, for each view
	recovered []Time  // how long after a partition the views were equal
	rate      float64 // sum over the runs of bytes a second and member at rest
}

// TestFigures measures detection, recovery and traffic at several sizes: SIZES=5,20,100 for these; 5,000
// take over 16 GB. It is no part of CI.
func TestFigures(t *testing.T) {
	var sizes []int
	for _, text := range strings.Split(os.Getenv("SIZES"), ",") {
		if n, err := strconv.Atoi(text); err == nil {
			sizes = append(sizes, n)
		}
	}
	if len(sizes) == 0 {
		t.Skip("SIZES is not set")
	}
	for _, size := range sizes {
		runs := max(1, min(20, 2000/size))
		var f figures
		for run := range runs {
			f.measure(size, uint64(run+1))
		}
		t.Logf("%d members, %d runs", size, runs)
		t.Logf("a death is reported after p50 %.2f, p99 %.2f, worst %.2f s (%d reports)",
			quantile(f.detected, 0.5), quantile(f.detected, 0.99), quantile(f.detected, 1), len(f.detected))
		t.Logf("views are equal after p50 %.1f, p99 %.1f s", quantile(f.recovered, 0.5), quantile(f.recovered, 0.99))
		t.Logf("%.0f bytes/s a member", f.rate/float64(runs))
	}
}

// measure runs one cluster: at rest, with a death, and with partitions.
func (f *figures) measure(size int, seed uint64) {
	c := New(size, seed)
	c.Config.MaxMembers = 2 * size
	c.Conditions = LinkConditions{Delay: 5, Jitter: 10}
	for i := range size {
		c.At(Time(c.rand.IntN(20_000)), func() { c.Start(i) })
	}
	c.Run(20 * Second)
	bytes := c.Bytes
	c.Run(30 * Second)
	f.rate += float64(c.Bytes-bytes) / float64(size) / 10
	c.Kill(size - 1)
	c.Run(c.Now() + 10*Second)
	f.detected = append(f.detected, c.Detected...)
	if size > 300 {
		return
	}
	f.recovered = append(f.recovered, recoveryTime(c, 10*Second))
	if size <= 20 {
		f.recovered = append(f.recovered, recoveryTime(c, 600*Second))
	}
}

// recoveryTime partitions the processes but for the last one by halves, and returns how long after it the
// views were equal.
func recoveryTime(c *Cluster, partition Time) Time {
	var even, odd []int
	for i := range c.Size() - 1 {
		if i%2 == 0 {
			even = append(even, i)
		} else {
			odd = append(odd, i)
		}
	}
	c.Partition(even, odd, true)
	c.Run(c.Now() + partition)
	c.Partition(even, odd, false)
	end := c.Now()
	for len(c.Disagreements()) > 0 && c.Now()-end < 60*Second {
		c.Run(c.Now() + 100*Millisecond)
	}
	return c.Now() - end
}
