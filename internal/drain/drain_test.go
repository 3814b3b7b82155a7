package drain

import (
	"testing"
	"time"
)

// Connections closed before the front has noticed come back by the same front; those kept for long hold clients that
// were to go; and a second call must not start the time anew.
func TestADrainLetsConnectionsEndThemselvesFirst(t *testing.T) {
	var d Drain
	began := time.Unix(100, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	limited := func(ms int) bool {
		_, is := d.Wait(at(ms))
		return is
	}
	if d.On() || limited(0) {
		t.Error("nobody has called")
	}
	d.Evacuate(began)
	if !d.On() || limited(300) {
		t.Error("the front has not noticed yet")
	}
	d.Evacuate(at(900))
	if wait, is := d.Wait(at(1000)); !is || wait > 500*time.Millisecond {
		t.Errorf("after a second a connection may wait for %v (limited %v)", wait, is)
	}
	d.Rejoin()
	if d.On() || limited(5000) {
		t.Error("the drain is over")
	}
	d.Evacuate(at(6000))
	if !d.On() || limited(6100) {
		t.Error("a second drain starts at its own call")
	}
}
