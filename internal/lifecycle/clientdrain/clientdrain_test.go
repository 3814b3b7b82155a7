package clientdrain

import (
	"testing"
	"time"
)

var began = time.Unix(100, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// Connections closed before the front has noticed come back by the same front; those closed at one moment
// come to the others in one burst; those kept for long hold clients that were to go.
func TestConnectionsThatWaitAreClosedBitByBit(t *testing.T) {
	var d State
	d.Start(began)
	const step = 20
	waiting, most, first, last := 90, 0, 0, 0
	for ms := 0; ms < 4000; ms += step {
		n, waited := d.ConnectionsToClose(at(ms), waiting, step*time.Millisecond)
		if n > waiting || n > 0 && waited <= 0 {
			t.Fatalf("at %d ms: %d of %d that waited for %v", ms, n, waiting, waited)
		}
		if n > 0 && first == 0 {
			first = ms
		}
		if waiting -= n; n > 0 {
			most, last = max(most, n), ms
		}
	}
	if waiting != 0 || first < 400 || last > 1900 || most > 5 {
		t.Errorf("%d left, closed from %d to %d ms, at most %d at once", waiting, first, last, most)
	}
	if n, _ := d.ConnectionsToClose(at(3000), 1, step*time.Millisecond); n != 1 {
		t.Error("what came later is not closed")
	}
}

// Four seconds after the call no op of the last two may be held.
func TestOpsAreTakenUntilTwoSecondsAfterTheCall(t *testing.T) {
	var d State
	if d.Draining() || !d.Admits(began) {
		t.Error("nobody has called")
	}
	d.Start(began)
	d.Start(at(1500)) // again: the time does not start anew
	for ms, want := range map[int]bool{0: true, 1500: true, 1990: false, 9000: false} {
		if d.Admits(at(ms)) != want {
			t.Errorf("at %d ms an op is taken: %v", ms, !want)
		}
	}
	d.Cancel()
	d.Cancel()
	if d.Draining() || !d.Admits(at(2500)) {
		t.Error("the drain is over")
	}
	if n, _ := d.ConnectionsToClose(at(2500), 9, time.Second); n > 0 {
		t.Error("connections are closed after the drain")
	}
	d.Start(at(6000))
	if !d.Draining() || !d.Admits(at(7000)) {
		t.Error("a second drain starts at its own call")
	}
}
