// Package comparison compares the figures of two builds that ran with the same seeds. It computes the mean of
// the paired differences with a confidence interval.
package comparison

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// DefaultFigures are the figures that are compared by default.
var DefaultFigures = []string{"broken", "service", "acked", "p50_ms", "p99_ms", "p99.9_ms", "waste", "pushes_per_op", "cpu_us_per_op", "memory_mb"}

// Pairs holds the figures of both builds, for each pair of runs.
type Pairs struct {
	names []string
	a, b  map[string][]float64
}

// New returns an empty set of pairs for the named figures.
func New(names []string) *Pairs {
	return &Pairs{names: names, a: map[string][]float64{}, b: map[string][]float64{}}
}

// Add adds a pair of runs. A figure that a run does not have is left out.
func (p *Pairs) Add(a, b map[string]float64) {
	for _, n := range p.names {
		x, inA := a[n]
		y, inB := b[n]
		if inA && inB {
			p.a[n], p.b[n] = append(p.a[n], x), append(p.b[n], y)
		}
	}
}

// Row is the difference of a figure, B minus A.
type Row struct {
	Name            string
	Pairs           int
	MeanA, MeanB    float64
	Diff, Low, High float64 // mean of the differences, and its 95% interval by Student's t-distribution
}

// Significant reports whether the interval excludes zero.
func (r Row) Significant() bool { return r.Pairs > 1 && (r.Low > 0 || r.High < 0) }

func (r Row) String() string {
	s := fmt.Sprintf("%-16s A %.4g, B %.4g, B-A %+.4g", r.Name, r.MeanA, r.MeanB, r.Diff)
	if r.Pairs < 2 {
		return s + " (one pair: no interval)"
	}
	word := "no clear difference"
	if r.Significant() {
		word = "differs"
	}
	return s + fmt.Sprintf(" [%+.4g, %+.4g] over %d pairs: %s", r.Low, r.High, r.Pairs, word)
}

// Rows returns the difference of each figure.
func (p *Pairs) Rows() (rows []Row) {
	for _, n := range p.names {
		a, b := p.a[n], p.b[n]
		if len(a) == 0 {
			continue
		}
		r := Row{Name: n, Pairs: len(a), MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil)}
		diffs := make([]float64, len(a))
		for i := range a {
			diffs[i] = b[i] - a[i]
		}
		r.Diff = stat.Mean(diffs, nil)
		r.Low, r.High = r.Diff, r.Diff
		if len(a) > 1 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(a) - 1)}.Quantile(0.975)
			half := t * stat.StdDev(diffs, nil) / math.Sqrt(float64(len(a)))
			r.Low, r.High = r.Diff-half, r.Diff+half
		}
		rows = append(rows, r)
	}
	return rows
}
