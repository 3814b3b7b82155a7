// Package sprt tests verdicts, good and bad, sequentially for whether something fails more often than it
// ordinarily does, and admits what is suspected as often as it may still be sound.
package sprt

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// acceptance is the log likelihood ratio from which the high probability is accepted: ln((1-beta)/alpha)
// for both errors near 0.05.
const acceptance = 2.9

// Verdict is one, good or bad, with its time.
type Verdict[M ~int64] struct {
	At M    `json:"at"`
	OK bool `json:"ok"`
}

// Test is a sequential test of an ordinary probability of failure, p0, against that of something that
// fails, p1, over the most recent verdicts.
type Test[M ~int64] struct {
	verdicts      []Verdict[M] // the newest last
	lastFailureAt M            // 0 before the first
	p0, p1        float64
	maxAge        M // a verdict older than this says nothing about now
}

// New makes a test of p0 against p1.
func New[M ~int64](p0, p1 float64, maxAge M) Test[M] { return Test[M]{p0: p0, p1: p1, maxAge: maxAge} }

// Add adds a verdict.
func (t *Test[M]) Add(now M, ok bool) {
	t.verdicts = stats.AppendRecent(t.verdicts, Verdict[M]{now, ok})
	if !ok {
		t.lastFailureAt = now
	}
}

// Verdicts returns the most recent ones, the newest last.
func (t *Test[M]) Verdicts() []Verdict[M] { return t.verdicts }

// Failed reports whether any verdict was bad.
func (t *Test[M]) Failed() bool { return t.lastFailureAt > 0 }

// Suspected reports whether the verdicts are more likely under p1.
func (t *Test[M]) Suspected(now M) bool {
	suspected, _ := t.changePoint(now)
	return suspected
}

// changePoint reports whether the verdicts are more likely under p1, and from which one on they are.
func (t *Test[M]) changePoint(now M) (suspected bool, from int) {
	if !t.Failed() || now-t.lastFailureAt > t.maxAge {
		return false, 0
	}
	for now-t.verdicts[0].At > t.maxAge {
		t.verdicts = t.verdicts[1:]
	}
	ratio := 0.0 // of the log likelihoods, since the change point
	bad, good := math.Log(t.p1/t.p0), math.Log((1-t.p1)/(1-t.p0))
	for k, v := range t.verdicts {
		if v.OK {
			ratio = max(ratio+good, 0)
		} else {
			ratio += bad
		}
		if ratio == 0 {
			from = k + 1
		}
	}
	return ratio >= acceptance, from
}

// Admitted draws whether something suspected is tried, by its probability of success drawn from its
// posterior, so that nothing is excluded for good. Verdicts from before the change point don't count:
// they would let many more tries through.
func (t *Test[M]) Admitted(now M, random *stats.Random) bool {
	suspected, from := t.changePoint(now)
	if !suspected {
		return true
	}
	since := t.verdicts[from:]
	good := 1
	for _, v := range since {
		if v.OK {
			good++
		}
	}
	// Beta(good, bad), each one over its count, is the good-th smallest of good+bad-1 uniform draws.
	draws := make([]float64, len(since)+1)
	for i := range draws {
		draws[i] = random.Float64()
	}
	slices.Sort(draws)
	return random.Float64() < draws[good-1]
}
