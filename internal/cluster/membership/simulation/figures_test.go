package simulation

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func quantile(values []Time, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[min(int(q*float64(len(values))), len(values)-1)]) / float64(Second)
}

// measurements are the results of several runs of one cluster size.
type measurements struct {
	detectionTimes []Time  // from each death to its report, for each view
	recoveryTimes  []Time  // from the end of each partition to equal views
	byteRate       float64 // bytes per second and member at rest, summed over the runs
}

// TestFigures measures detection, recovery and traffic at the sizes in SIZES, for example
// SIZES=5,20,100. 5,000 members need more than 16 GB of memory. It is not part of CI.
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
		var f measurements
		for run := range runs {
			f.measure(size, uint64(run+1))
		}
		t.Logf("%d members, %d runs", size, runs)
		t.Logf("a death is reported after p50 %.2f, p99 %.2f, worst %.2f s (%d reports)",
			quantile(f.detectionTimes, 0.5), quantile(f.detectionTimes, 0.99),
			quantile(f.detectionTimes, 1), len(f.detectionTimes))
		t.Logf("views are equal after p50 %.1f, p99 %.1f s",
			quantile(f.recoveryTimes, 0.5), quantile(f.recoveryTimes, 0.99))
		t.Logf("%.0f bytes/s per member", f.byteRate/float64(runs))
	}
}

// measure runs one cluster: at rest, with a death, and with partitions.
func (f *measurements) measure(size int, seed uint64) {
	c := New(size, seed)
	c.Config.MaxMembers = 2 * size
	c.Conditions = LinkConditions{Delay: 5, Jitter: 10}
	for i := range size {
		c.At(Time(c.rand.IntN(20_000)), func() { c.Start(i) })
	}
	c.Run(20 * Second)
	bytesBefore := c.Bytes
	c.Run(30 * Second)
	f.byteRate += float64(c.Bytes-bytesBefore) / float64(size) / 10
	c.Kill(size - 1)
	c.Run(c.Now() + 10*Second)
	f.detectionTimes = append(f.detectionTimes, c.DetectionTimes...)
	if size > 300 {
		return
	}
	f.recoveryTimes = append(f.recoveryTimes, recoveryTime(c, 10*Second))
	if size <= 20 {
		f.recoveryTimes = append(f.recoveryTimes, recoveryTime(c, 600*Second))
	}
}

// recoveryTime partitions all processes but the last into two halves, and returns the time from the end
// of the partition to equal views.
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
