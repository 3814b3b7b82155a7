package sprt

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// Two failures in a row are chance at one in twenty; three are not. Old verdicts must not count, nor the
// suspected be excluded.
func TestSuspicionComesAndGoes(t *testing.T) {
	d, chance := New[int64](0.05, 0.5, 100), stats.NewRandom(3)
	d.Add(10, true)
	d.Add(11, false)
	if d.Suspected(11) {
		t.Error("doubted after one failure")
	}
	d.Add(12, false)
	d.Add(13, false)
	if !d.Suspected(13) {
		t.Error("not doubted after three failures")
	}
	in := 0
	for range 1000 {
		if d.Admitted(13, &chance) {
			in++
		}
	}
	if in < 100 || in > 600 { // a mean of 2 in 6
		t.Errorf("admitted %d of 1000 times", in)
	}
	if d.Suspected(114) {
		t.Error("doubted for verdicts that are old")
	}
}

// Of a zone that became unreachable after thirty good verdicts nine tries in ten were admitted: verdicts
// from before the change point say nothing of it.
func TestVerdictsBeforeTheChangePointDoNotCount(t *testing.T) {
	d, chance := New[int64](0.2, 0.9, 1000), stats.NewRandom(3)
	for now := range int64(30) {
		d.Add(now, true)
	}
	for range 3 {
		d.Add(30, false)
	}
	in := 0
	for range 1000 {
		if d.Admitted(31, &chance) {
			in++
		}
	}
	if in < 50 || in > 400 { // a mean of 1 in 5
		t.Errorf("admitted %d of 1000 times after three failures", in)
	}
}
