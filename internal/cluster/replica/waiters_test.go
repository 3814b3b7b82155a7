package replica

import (
	"testing"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// The channel of a waiter is returned once, and no more waiters than the limit are added.
func TestEachResultIsDeliveredOnceWithinTheLimit(t *testing.T) {
	w := newWaiters[int]()
	first, ok := w.add(1, 2)
	if _, added := w.add(2, 2); !ok || !added {
		t.Fatal("fewer waiters than the limit were added")
	}
	if _, added := w.add(3, 2); added {
		t.Error("more waiters than the limit were added")
	}
	if w.remove(3) != nil {
		t.Error("a rejected waiter was registered")
	}
	if result := w.remove(1); result != first {
		t.Error("the first waiter has another channel than add returned")
	}
	if w.remove(1) != nil {
		t.Error("a waiter was returned twice")
	}
	if _, added := w.add(3, 2); !added {
		t.Error("a removed waiter still counts towards the limit")
	}
	if _, added := w.add(4, 0); !added {
		t.Error("a limit of 0 rejected a waiter")
	}
}

// A process that resumes after its successor has ended has a higher generation as a voter than both processes
// had. While the process is not a member, it keeps its last known incarnation.
func TestAProcessResumedAfterItsSuccessorIsALaterVoter(t *testing.T) {
	i := identity{successions: 3}
	incarnation := membership.Incarnation{Generation: 7, Nonce: 5}
	want := replication.Membership{Serving: true, Generation: 7<<generationShift + 3, Nonce: 5}
	if got := i.update(true, incarnation); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	want.Serving = false
	if got := i.update(false, membership.Incarnation{}); got != want {
		t.Errorf("while the process is not a member: got %+v, want %+v", got, want)
	}
	i.update(true, incarnation)
	want.Serving, want.Generation = true, want.Generation+2
	if got := i.update(i.resume()); got != want {
		t.Errorf("resumed: got %+v, want %+v", got, want)
	}
}

// Records that were persisted under another replica set are returned with a zero incarnation, so that they do
// not count as complete.
func TestRecordsOfAnotherReplicaSetAreIncomplete(t *testing.T) {
	incarnation := replication.Incarnation{Generation: 1, Nonce: 2}
	p := persistedState{records: replication.StateReloaded{Incarnation: incarnation}, setID: 7}
	if got := p.recordsFor(7).Incarnation; got != incarnation {
		t.Errorf("persisted under this set: got incarnation %v", got)
	}
	if got := p.recordsFor(8).Incarnation; got != (replication.Incarnation{}) {
		t.Errorf("persisted under another set: got incarnation %v", got)
	}
}
