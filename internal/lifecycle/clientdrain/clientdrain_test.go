package clientdrain

import (
	"testing"
	"time"
)

var startTime = time.Unix(100, 0)

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// Idle connections are closed gradually, between the detection by the load balancers and the close time. If
// they are closed before the load balancers detect the drain, the clients connect here again. If they are
// closed all together, the clients reach the other schedulers in one burst. If they are closed late, their
// clients stay too long.
func TestIdleConnectionsAreClosedGradually(t *testing.T) {
	var d State
	d.Start(startTime)
	const stepMs = 20
	idle, maxClosed, firstMs, lastMs := 90, 0, 0, 0
	for ms := 0; ms < 4000; ms += stepMs {
		n, minIdle := d.ConnectionsToClose(at(ms), idle, stepMs*time.Millisecond)
		if n > idle || n > 0 && minIdle <= 0 {
			t.Fatalf("at %d ms: %d of %d to close, idle for at least %v", ms, n, idle, minIdle)
		}
		if n > 0 && firstMs == 0 {
			firstMs = ms
		}
		if idle -= n; n > 0 {
			maxClosed, lastMs = max(maxClosed, n), ms
		}
	}
	if idle != 0 || firstMs < 400 || lastMs > 1900 || maxClosed > 5 {
		t.Errorf("%d left, closed from %d to %d ms, at most %d per step", idle, firstMs, lastMs, maxClosed)
	}
	if n, _ := d.ConnectionsToClose(at(3000), 1, stepMs*time.Millisecond); n != 1 {
		t.Error("a connection that became idle later is not closed")
	}
}

// Ops are admitted for the first 1.9 s of a drain and rejected after that. If ops were admitted for longer,
// a connection might, four seconds after the start, have had an op in the last two seconds.
func TestOpsAreRejectedNearlyTwoSecondsAfterTheStart(t *testing.T) {
	var d State
	if d.Draining() || !d.Admits(startTime) {
		t.Error("clients are drained before the start")
	}
	d.Start(startTime)
	d.Start(at(1500)) // a second call does not restart the drain
	for ms, want := range map[int]bool{0: true, 1500: true, 1990: false, 9000: false} {
		if d.Admits(at(ms)) != want {
			t.Errorf("at %d ms an op is admitted: %v", ms, !want)
		}
	}
	d.Cancel()
	d.Cancel()
	if d.Draining() || !d.Admits(at(2500)) {
		t.Error("clients are drained after the cancel")
	}
	if n, _ := d.ConnectionsToClose(at(2500), 9, time.Second); n > 0 {
		t.Error("connections are closed after the drain")
	}
	d.Start(at(6000))
	if !d.Draining() || !d.Admits(at(7000)) {
		t.Error("a second drain does not begin at its own start")
	}
}
