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

// replica is one by itself, with a disk, that has its vote.
func keeper(t *testing.T) *Replica {
	t.Helper()
	table := Defaults()
	table.Replicas, table.Path = []string{"a"}, filepath.Join(t.TempDir(), "copies.db")
	table.AmnesiaHoldOff, table.Sync = 0, false
	if err := table.Validate(0); err != nil {
		t.Fatal(err)
	}
	w := alone{time.Now()}
	f, err := New(table, "a", 1, 0, w.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.Start(w)
	f.SetMembership(true, membership.Incarnation{Generation: 7})
	f.await(t, "it has its vote", func() bool { return f.Status().Voting })
	return f
}

func (f *Replica) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("never: %s", what)
		}
	}
}

// payOp is an op of the category pay with an empty request.
func payOp(id string) claimOp {
	return claimOp{key: keyOf("pay", id), fingerprint: xxhash.Sum64(nil)}
}

// A client that leaves just as its op is granted: whoever asked for it had looked in vain, and the grant
// came behind that look. The claim stood for as long as ids are remembered, and the op could run nowhere.
func TestAGrantThatCrossesItsClientsLeavingIsGivenBack(t *testing.T) {
	ended := make(chan struct{})
	f := &Replica{
		queue:  newInputQueue(ended),
		ended:  ended,
		claims: newPendingClaims(),
		config: Defaults(),
	}
	ctx, leave := context.WithCancel(context.Background())
	answered := make(chan replication.ClaimDecided, 1)
	go func() { answered <- f.claimOnce(ctx, payOp("a"), time.Second) }()
	want := (<-f.queue.inputs).replication.(replication.ClaimRequest)
	to := f.claims.take(want.RequestID) // the loop takes the asker for its outcome
	leave()
	time.Sleep(50 * time.Millisecond) // the asker has seen that by then
	to <- replication.ClaimDecided{RequestID: want.RequestID, Result: replication.Granted}
	if d := <-answered; d.Result == replication.Granted {
		return // it came first
	}
	select {
	case in := <-f.queue.inputs:
		end, ok := in.replication.(replication.OpEnded)
		if !ok || end.RequestID != want.RequestID || !end.NeverRan {
			t.Errorf("%+v", in.replication)
		}
	case <-time.After(time.Second):
		t.Error("the grant is not given back")
	}
}

// What a replica must do when its disk fails, and when a grant finds nobody, was put at the end of its own
// queue, and lost where that was full: it went on voting with records that do not last, and the claim
// stood for good.
func TestWhatAKeeperOwesItselfIsNotLostWithAFullQueue(t *testing.T) {
	full := func(f *Replica) {
		for len(f.queue.inputs) < cap(f.queue.inputs) {
			f.queue.inputs <- input{replication: replication.Tick{}}
		}
	}
	t.Run("a disk that fails", func(t *testing.T) {
		f := keeper(t)
		f.call(func() {
			f.storage.store.Close()
			full(f)
			f.step(replication.ClaimRequest{RequestID: 1 << 40, Key: "pay\x00a", Timeout: 10_000})
		})
		f.await(t, "all is taken", func() bool { return len(f.queue.inputs) == 0 })
		if f.Status().Voting {
			t.Error("it votes though its records do not last")
		}
	})
	t.Run("a grant that finds nobody", func(t *testing.T) {
		f := keeper(t)
		f.call(func() {
			full(f)
			f.step(replication.ClaimRequest{RequestID: 1 << 40, Key: "pay\x00a", Timeout: 10_000})
		})
		f.await(t, "all is taken", func() bool { return len(f.queue.inputs) == 0 })
		if rows := f.Lookup("pay", "a"); len(rows) != 1 || rows[0].Stage == replication.Claimed.String() {
			t.Errorf("the claim stands: %+v", rows)
		}
	})
}

// A replica whose disk fails in the very round in which an op is decided gives it to nobody.
func TestAGrantThatIsOnNoDiskIsGivenToNobody(t *testing.T) {
	f := keeper(t)
	if d := f.claimOnce(t.Context(), payOp("before"), time.Second); d.Result != replication.Granted {
		t.Fatalf("before: %v: this test proves nothing", d.Result)
	}
	f.call(func() { f.storage.store.Close() })
	if d := f.claimOnce(t.Context(), payOp("a"), time.Second); d.Result != replication.NoQuorum {
		t.Errorf("%v", d.Result)
	}
}

// Who is here and whether this process is a member comes in the order in which it happened, however full
// the queue is: told the other way round, a process that another had taken the place of went on as a
// member, and one that was gone counted as here.
func TestChangesOfMembersKeepTheirOrderInAFullQueue(t *testing.T) {
	const changes = 40
	ended := make(chan struct{})
	f := &Replica{queue: newInputQueue(ended), ended: ended, config: Defaults()}
	for len(f.queue.inputs) < cap(f.queue.inputs) {
		f.queue.inputs <- input{replication: replication.Tick{}}
	}
	for k := range changes {
		f.SetPeerDead("a", k%2 == 0)
	}
	var got []bool
	for late := time.After(10 * time.Second); len(got) < changes; {
		select {
		case in := <-f.queue.inputs:
			if x, ok := in.replication.(replication.PeerStatus); ok {
				got = append(got, x.Dead)
			}
		case <-late:
			t.Fatalf("%d of %d changes came", len(got), changes)
		}
	}
	for k, gone := range got {
		if gone != (k%2 == 0) {
			t.Fatalf("change %d came out of its order: %v", k, got)
		}
	}
}
