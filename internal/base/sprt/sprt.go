// Package sprt has a sequential probability ratio test of whether something, such as a worker, fails more
// often than it ordinarily does. It also decides how often something suspected is still tried.
package sprt

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// acceptance is the log likelihood ratio from which p1 is accepted: ln((1-beta)/alpha), with both error rates
// near 0.05.
const acceptance = 2.9

// Verdict is the result of a try, with its time.
type Verdict[M ~int64] struct {
	At M    `json:"at"`
	OK bool `json:"ok"`
}

// Test is a sequential test over the most recent verdicts. It compares p0, the ordinary probability of a
// failure, with p1, the probability of a failure of something faulty.
type Test[M ~int64] struct {
	verdicts      []Verdict[M] // oldest first
	lastFailureAt M            // 0 before the first failure
	p0, p1        float64
	maxAge        M // older verdicts are ignored
}

// New returns a test of p0 against p1. Verdicts older than maxAge are ignored.
func New[M ~int64](p0, p1 float64, maxAge M) Test[M] { return Test[M]{p0: p0, p1: p1, maxAge: maxAge} }

// Add adds a verdict.
func (t *Test[M]) Add(now M, ok bool) {
	t.verdicts = stats.AppendRecent(t.verdicts, Verdict[M]{now, ok})
	if !ok {
		t.lastFailureAt = now
	}
}

// Verdicts returns the most recent verdicts, oldest first.
func (t *Test[M]) Verdicts() []Verdict[M] { return t.verdicts }

// Failed reports whether any failure was added.
func (t *Test[M]) Failed() bool { return t.lastFailureAt > 0 }

// Suspected reports whether the test accepts p1.
func (t *Test[M]) Suspected(now M) bool {
	suspected, _ := t.changePoint(now)
	return suspected
}

// changePoint reports whether the test accepts p1, and returns the index of the verdict since which p1 is
// more likely.
func (t *Test[M]) changePoint(now M) (suspected bool, from int) {
	if !t.Failed() || now-t.lastFailureAt > t.maxAge {
		return false, 0
	}
	for now-t.verdicts[0].At > t.maxAge {
		t.verdicts = t.verdicts[1:]
	}
	ratio := 0.0 // log likelihood ratio since the change point
	failureRatio, successRatio := math.Log(t.p1/t.p0), math.Log((1-t.p1)/(1-t.p0))
	for k, v := range t.verdicts {
		if v.OK {
			ratio = max(ratio+successRatio, 0)
		} else {
			ratio += failureRatio
		}
		if ratio == 0 {
			from = k + 1
		}
	}
	return ratio >= acceptance, from
}

// Admitted decides at random whether to try something that may be suspected. The probability of a try is a
// probability of success, drawn from the posterior distribution, so that nothing is excluded for good.
// Verdicts before the change point don't count, because they would allow many more tries.
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
	// The posterior is Beta(good, bad), where good and bad are each 1 above their counts. A sample of it is
	// the good-th smallest of good+bad-1 uniform draws.
	draws := make([]float64, len(since)+1)
	for i := range draws {
		draws[i] = random.Float64()
	}
	slices.Sort(draws)
	return random.Float64() < draws[good-1]
}
