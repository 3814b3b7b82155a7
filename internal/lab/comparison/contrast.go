// Package comparison holds pairs of runs of two builds on the same seeds, and what their difference is: paired, with
// an interval.
package comparison

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Usual are the figures that are compared where none are named.
var Usual = []string{"broken", "service", "acked", "p50_ms", "p99_ms", "p99.9_ms", "waste", "pushes_per_op", "cpu_us_per_op", "memory_mb"}

// Pairs are the figures of both builds, run by run.
type Pairs struct {
	names []string
	a, b  map[string][]float64
}

// New makes an empty set of pairs.
func New(names []string) *Pairs {
	return &Pairs{names: names, a: map[string][]float64{}, b: map[string][]float64{}}
}

// Add adds one pair; a figure that either lacks is left out of it.
func (p *Pairs) Add(a, b map[string]float64) {
	for _, n := range p.names {
		x, inA := a[n]
		y, inB := b[n]
		if inA && inB {
			p.a[n], p.b[n] = append(p.a[n], x), append(p.b[n], y)
		}
	}
}

// Row is one figure's difference, B less A.
type Row struct {
	Name              string
	Pairs             int
	MeanA, MeanB      float64
	Diff, Least, Most float64 // the mean of the differences, and its 95% interval by Student's t
}

// Clear tells whether the interval leaves out zero.
func (r Row) Clear() bool { return r.Pairs > 1 && (r.Least > 0 || r.Most < 0) }

func (r Row) String() string {
	s := fmt.Sprintf("%-16s A %.4g, B %.4g, B-A %+.4g", r.Name, r.MeanA, r.MeanB, r.Diff)
	if r.Pairs < 2 {
		return s + " (one pair: no interval)"
	}
	word := "no clear difference"
	if r.Clear() {
		word = "differs"
	}
	return s + fmt.Sprintf(" [%+.4g, %+.4g] over %d pairs: %s", r.Least, r.Most, r.Pairs, word)
}

// Rows states the difference of each figure.
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
		r.Least, r.Most = r.Diff, r.Diff
		if len(a) > 1 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(a) - 1)}.Quantile(0.975)
			half := t * stat.StdDev(diffs, nil) / math.Sqrt(float64(len(a)))
			r.Least, r.Most = r.Diff-half, r.Diff+half
		}
		rows = append(rows, r)
	}
	return rows
}
