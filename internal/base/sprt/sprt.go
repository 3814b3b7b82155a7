// Package sprt tells from verdicts, good and bad, whether something fails more often than it ordinarily does, and
// lets what is doubtful be tried as often as it may still be sound.
package sprt

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Verdict is one, good or bad, and when it came.
type Verdict[M ~int64] struct {
	At M    `json:"at"`
	OK bool `json:"ok"`
}

// Test is a sequential test of an ordinary chance of failure against one that is none, over the last few verdicts.
type Test[M ~int64] struct {
	verdicts      []Verdict[M] // newest last
	lastFailureAt M            // when the last bad one came
	p0, p1        float64
	maxAge        M // a verdict older than this says nothing about now
}

// New makes a test of p0 against p1.
func New[M ~int64](p0, p1 float64, old M) Test[M] { return Test[M]{p0: p0, p1: p1, maxAge: old} }

// Add is another verdict.
func (t *Test[M]) Add(now M, ok bool) {
	if t.verdicts = stats.AppendRecent(t.verdicts, Verdict[M]{now, ok}); !ok {
		t.lastFailureAt = now
	}
}

// Verdicts are the last few, the newest last.
func (t *Test[M]) Verdicts() []Verdict[M] { return t.verdicts }

// Failed tells whether any verdict was bad.
func (t *Test[M]) Failed() bool { return t.lastFailureAt > 0 }

// Suspected tells whether the verdicts speak for the high chance.
func (t *Test[M]) Suspected(now M) bool {
	doubtful, _ := t.changePoint(now)
	return doubtful
}

// changePoint tells whether the verdicts speak for the high chance, and since which of them they do.
func (t *Test[M]) changePoint(now M) (doubtful bool, since int) {
	const accept = 2.9 // ln((1-beta)/alpha) for both errors near 0.05
	s := 0.0
	if !t.Failed() || now-t.lastFailureAt > t.maxAge {
		return false, 0
	}
	for now-t.verdicts[0].At > t.maxAge {
		t.verdicts = t.verdicts[1:]
	}
	bad, good := math.Log(t.p1/t.p0), math.Log((1-t.p1)/(1-t.p0))
	for k, v := range t.verdicts {
		if v.OK {
			s = max(s+good, 0)
		} else {
			s += bad
		}
		if s == 0 {
			since = k + 1
		}
	}
	return s >= accept, since
}

// Admitted draws a doubtful chance of success from its posterior, so that nothing is ever forgotten. The verdicts from
// before the change count for nothing: of a zone lost after thirty good ones the next thirty tries were let through.
func (t *Test[M]) Admitted(now M, chance *stats.Random) bool {
	doubtful, since := t.changePoint(now)
	if !doubtful {
		return true
	}
	few := t.verdicts[since:]
	good := 1
	for _, v := range few {
		if v.OK {
			good++
		}
	}
	// Beta(good, bad), each one over its count, is the good-th smallest of good+bad-1 uniform draws.
	draws := make([]float64, len(few)+1)
	for i := range draws {
		draws[i] = chance.Float64()
	}
	slices.Sort(draws)
	return chance.Float64() < draws[good-1]
}
