package replica

import (
	"testing"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// A result is delivered once, to whoever waits for it, and there are no more waiters than the limit.
func TestWaiters(t *testing.T) {
	w := newWaiters[int]()
	first, ok := w.add(1, 2)
	if _, more := w.add(2, 2); !ok || !more {
		t.Fatal("fewer than the limit")
	}
	if _, more := w.add(3, 2); more {
		t.Error("more than the limit")
	}
	if w.take(3) != nil {
		t.Error("one that was refused waits")
	}
	if result := w.take(1); result != first {
		t.Error("the first one's result goes elsewhere")
	}
	if w.take(1) != nil {
		t.Error("a result is delivered twice")
	}
	if _, more := w.add(3, 2); !more {
		t.Error("the place of one that was served is not free")
	}
	if _, more := w.add(4, 0); !more {
		t.Error("0 is a limit")
	}
}

// A process that goes on after its successor has ended must be a later voter than both, and keeps the
// incarnation that members know while it is none.
func TestIdentityAfterAnEndedSuccessor(t *testing.T) {
	i := identity{successions: 3}
	incarnation := membership.Incarnation{Generation: 7, Nonce: 5}
	want := replication.Membership{Serving: true, Generation: 7<<generationShift + 3, Nonce: 5}
	if got := i.update(true, incarnation); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want.Serving = false
	if got := i.update(false, membership.Incarnation{}); got != want {
		t.Errorf("while no member: got %+v, want %+v", got, want)
	}
	i.update(true, incarnation)
	want.Serving, want.Generation = true, want.Generation+2
	if got := i.update(i.resume()); got != want {
		t.Errorf("resumed: got %+v, want %+v", got, want)
	}
}

// Records of another replica set than the present one are complete for no incarnation.
func TestRecordsOfAnotherSetAreNotComplete(t *testing.T) {
	incarnation := replication.Incarnation{Generation: 1, Nonce: 2}
	p := persistedState{records: replication.StateReloaded{Incarnation: incarnation}, setID: 7}
	if got := p.recordsFor(7).Incarnation; got != incarnation {
		t.Errorf("of this set: %v", got)
	}
	if got := p.recordsFor(8).Incarnation; got != (replication.Incarnation{}) {
		t.Errorf("of another set: %v", got)
	}
}
