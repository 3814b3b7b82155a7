package sprt

import (
	"testing"

	"woaddyke/internal/base/stats"
)

// With an ordinary failure probability of one in twenty, one failure is treated as chance and three in a row
// are not. Old verdicts must not count, and something suspected must still be tried at times.
func TestSuspicionNeedsSeveralFailuresAndExpires(t *testing.T) {
	test, random := New[int64](0.05, 0.5, 100), stats.NewRandom(3)
	test.Add(10, true)
	test.Add(11, false)
	if test.Suspected(11) {
		t.Error("suspected after one failure")
	}
	test.Add(12, false)
	test.Add(13, false)
	if !test.Suspected(13) {
		t.Error("not suspected after three failures")
	}
	admitted := 0
	for range 1000 {
		if test.Admitted(13, &random) {
			admitted++
		}
	}
	if admitted < 100 || admitted > 600 { // the mean is 1 in 5
		t.Errorf("admitted %d of 1000 times", admitted)
	}
	if test.Suspected(114) {
		t.Error("suspected because of old verdicts")
	}
}

// After a change point, earlier verdicts must not count. Otherwise nine of ten tries would be admitted in a
// zone that became unreachable after thirty good verdicts.
func TestVerdictsBeforeTheChangePointDoNotCount(t *testing.T) {
	test, random := New[int64](0.2, 0.9, 1000), stats.NewRandom(3)
	for now := range int64(30) {
		test.Add(now, true)
	}
	for range 3 {
		test.Add(30, false)
	}
	admitted := 0
	for range 1000 {
		if test.Admitted(31, &random) {
			admitted++
		}
	}
	if admitted < 50 || admitted > 400 { // the mean is 1 in 5
		t.Errorf("admitted %d of 1000 times after three failures", admitted)
	}
}
