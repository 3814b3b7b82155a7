package replica

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// startReplica starts a replica set of one replica with a store, and waits until the replica votes.
func startReplica(t *testing.T) *Replica {
	t.Helper()
	config := Defaults()
	config.Replicas, config.Path = []string{"a"}, filepath.Join(t.TempDir(), "copies.db")
	config.AmnesiaHoldOff, config.Sync = 0, false
	if err := config.Validate(0); err != nil {
		t.Fatal(err)
	}
	transport := isolatedTransport{time.Now()}
	r, err := New(config, "a", 1, 0, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Start(transport)
	r.SetMembership(true, membership.Incarnation{Generation: 7})
	r.await(t, "the replica votes", func() bool { return r.Status().Voting })
	return r
}

func (r *Replica) await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not true within 20 s: %s", description)
		}
	}
}

// payOp returns an op of the category "pay" with an empty request.
func payOp(id string) claimOp {
	return claimOp{key: recordKey("pay", id), fingerprint: xxhash.Sum64(nil)}
}

// A grant is released if the client disconnects after the loop has removed its waiter and before the loop
// delivers the grant. Otherwise the claim would stand until its retention ends, and the op could not run
// anywhere.
func TestAGrantAfterTheClientDisconnectedIsReleased(t *testing.T) {
	ended := make(chan struct{})
	r := &Replica{
		queue:  newInputQueue(ended),
		ended:  ended,
		claims: newPendingClaims(),
		config: Defaults(),
	}
	ctx, disconnect := context.WithCancel(context.Background())
	decided := make(chan replication.ClaimDecided, 1)
	go func() { decided <- r.claimOnce(ctx, payOp("a"), time.Second) }()
	request := (<-r.queue.inputs).replication.(replication.ClaimRequest)
	result := r.claims.remove(request.RequestID) // as the loop does before it delivers a decision
	disconnect()
	time.Sleep(50 * time.Millisecond) // time for claimOnce to notice that the client disconnected
	result <- replication.ClaimDecided{RequestID: request.RequestID, Result: replication.Granted}
	if d := <-decided; d.Result == replication.Granted {
		return // the grant was delivered before claimOnce noticed
	}
	select {
	case in := <-r.queue.inputs:
		end, ok := in.replication.(replication.OpEnded)
		if !ok || end.RequestID != request.RequestID || !end.NeverRan {
			t.Errorf("got input %+v, want the end of the claimed op, which never ran", in.replication)
		}
	case <-time.After(time.Second):
		t.Error("the grant was not released")
	}
}

// The inputs that the loop creates while it applies effects must not be lost when the queue is full, so they
// bypass the queue. If the input after a disk failure were lost, the replica would continue to vote with
// records that do not last. If the input that releases a grant without a waiting caller were lost, the claim
// would stand forever.
func TestFollowUpInputsAreNotLostInAFullQueue(t *testing.T) {
	fillQueue := func(r *Replica) {
		for len(r.queue.inputs) < cap(r.queue.inputs) {
			r.queue.inputs <- input{replication: replication.Tick{}}
		}
	}
	t.Run("the disk fails", func(t *testing.T) {
		r := startReplica(t)
		r.callInLoop(func() {
			r.storage.store.Close()
			fillQueue(r)
			r.stepReplication(replication.ClaimRequest{RequestID: 1 << 40, Key: "pay\x00a", Timeout: 10_000})
		})
		r.await(t, "the queue is empty", func() bool { return len(r.queue.inputs) == 0 })
		if r.Status().Voting {
			t.Error("the replica votes although its disk has failed")
		}
	})
	t.Run("no caller waits for a grant", func(t *testing.T) {
		r := startReplica(t)
		r.callInLoop(func() {
			fillQueue(r)
			r.stepReplication(replication.ClaimRequest{RequestID: 1 << 40, Key: "pay\x00a", Timeout: 10_000})
		})
		r.await(t, "the queue is empty", func() bool { return len(r.queue.inputs) == 0 })
		if rows := r.Lookup("pay", "a"); len(rows) != 1 || rows[0].Stage == replication.Claimed.String() {
			t.Errorf("the claim was not released: %+v", rows)
		}
	})
}

// If the disk fails in the round in which a claim is granted, the caller does not get the grant.
func TestAGrantThatIsNotPersistedIsNotDelivered(t *testing.T) {
	r := startReplica(t)
	if d := r.claimOnce(t.Context(), payOp("before"), time.Second); d.Result != replication.Granted {
		t.Fatalf("with a disk that works: got %v, want a grant", d.Result)
	}
	r.callInLoop(func() { r.storage.store.Close() })
	if d := r.claimOnce(t.Context(), payOp("a"), time.Second); d.Result != replication.NoQuorum {
		t.Errorf("with a disk that fails: got %v, want NoQuorum", d.Result)
	}
}

// Changes of membership are handled in the order in which they happen, even if the queue is full. In the
// wrong order, a replaced process would continue as a member, and a dead peer would count as alive.
func TestMemberChangesKeepTheirOrderInAFullQueue(t *testing.T) {
	const changes = 40
	ended := make(chan struct{})
	r := &Replica{queue: newInputQueue(ended), ended: ended, config: Defaults()}
	for len(r.queue.inputs) < cap(r.queue.inputs) {
		r.queue.inputs <- input{replication: replication.Tick{}}
	}
	for i := range changes {
		r.SetPeerDead("a", i%2 == 0)
	}
	var got []bool
	for timeout := time.After(10 * time.Second); len(got) < changes; {
		select {
		case in := <-r.queue.inputs:
			if status, ok := in.replication.(replication.PeerStatus); ok {
				got = append(got, status.Dead)
			}
		case <-timeout:
			t.Fatalf("%d of %d changes arrived within 10 s", len(got), changes)
		}
	}
	for i, dead := range got {
		if dead != (i%2 == 0) {
			t.Fatalf("change %d arrived out of order: %v", i, got)
		}
	}
}
