package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

const (
	maxFirstClaimID = 1 << 60 // below the flags of IDs on the wire, with space to count
	maxJoinedClaims = 1024
	joinInterval    = 50 * time.Millisecond // between two claims of an op that another scheduler has
	loopGrace       = time.Second           // beyond QuorumTimeout, for a loop that is late
)

// pendingClaims are the claims that callers wait for.
type pendingClaims struct {
	*waiters[replication.ClaimDecided]
	lastID atomic.Uint64
	joined atomic.Int64 // that wait for ops of other schedulers
}

func newPendingClaims() pendingClaims {
	return pendingClaims{waiters: newWaiters[replication.ClaimDecided]()}
}

// numberFrom has the claims numbered from a random ID on: answers to the process before may arrive here.
func (p *pendingClaims) numberFrom(random uint64) { p.lastID.Store(random % maxFirstClaimID) }

// claimOp is what a claim is for.
type claimOp struct {
	key         string
	fingerprint uint64
	window      time.Duration
}

// Claim asks whether an op may be pushed, and waits for the decision, QuorumTimeout at the longest. An op
// whose worker group drops repeats for a window may be granted though it ran for a scheduler that is dead:
// the outcome names the group. An op that another scheduler has is claimed again until it has ended, for
// JoinTimeout at the longest: its client gets that answer.
func (r *Replica) Claim(
	ctx context.Context, category, id string, request []byte, timeout, window time.Duration,
) replication.ClaimDecided {
	op := claimOp{keyOf(category, id), xxhash.Sum64(request), window}
	startedAt := time.Now()
	decided := r.claimOnce(ctx, op, timeout)
	joinTimeout := min(time.Duration(r.config.JoinTimeout), timeout-joinInterval)
	if decided.Result != replication.InProgress || joinTimeout <= 0 {
		return decided
	}
	defer r.claims.joined.Add(-1)
	if r.claims.joined.Add(1) > maxJoinedClaims {
		return decided
	}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for decided.Result == replication.InProgress && time.Since(startedAt) < joinTimeout {
		select {
		case <-ticker.C:
			decided = r.claimOnce(ctx, op, timeout-time.Since(startedAt))
		case <-ctx.Done():
			return decided
		case <-r.ended:
			return decided
		}
	}
	return decided
}

// claimOnce asks once, and waits for the decision.
func (r *Replica) claimOnce(ctx context.Context, op claimOp, timeout time.Duration) replication.ClaimDecided {
	id := r.claims.lastID.Add(1)
	result, _ := r.claims.add(id, 0) // bounded by the frontend's open ops
	noQuorum := replication.ClaimDecided{RequestID: id, Result: replication.NoQuorum}
	request := replication.ClaimRequest{
		RequestID:   id,
		Key:         op.key,
		Fingerprint: op.fingerprint,
		Timeout:     membership.TimeOf(timeout),
		Window:      membership.TimeOf(op.window),
	}
	if !r.queue.offer(input{replication: request}) {
		r.claims.take(id)
		return noQuorum
	}
	deadline := time.NewTimer(time.Duration(r.config.QuorumTimeout) + loopGrace)
	defer deadline.Stop()
	select {
	case decided := <-result:
		return decided
	case <-ctx.Done():
	case <-deadline.C:
	case <-r.ended:
	}
	r.giveUpClaim(id, result)
	return noQuorum
}

// giveUpClaim ends the wait for a decision. A grant is given back: by the loop where it comes later, and
// here where the loop has taken this waiter already and is about to deliver it.
func (r *Replica) giveUpClaim(id uint64, result <-chan replication.ClaimDecided) {
	if r.claims.take(id) != nil {
		return
	}
	if decided := <-result; decided.Result == replication.Granted {
		r.Finish(id, true, 0, nil)
	}
}

// MayHaveRun says that a granted op may have run in a worker group that drops repeats.
func (r *Replica) MayHaveRun(id uint64, group string) {
	r.queue.stateChanges.Put(input{replication: replication.MayHaveRun{RequestID: id, Group: group}})
}

// Abandon says that a granted op that may have run is pushed no more, and that its client was answered that a
// repeat is harmless.
func (r *Replica) Abandon(id uint64) {
	r.queue.put(input{replication: replication.OpEnded{RequestID: id, Abandoned: true}})
}

// Finish says what became of a granted op. An answer longer than MaxResultBytes is not retained.
func (r *Replica) Finish(id uint64, neverRan bool, status int, answer []byte) {
	ended := replication.OpEnded{RequestID: id, NeverRan: neverRan, Verdict: uint16(status)}
	if !neverRan && status != 0 && len(answer) <= r.config.MaxResultBytes {
		ended.Result, ended.ResultRetained = append([]byte{}, answer...), true
	}
	r.queue.put(input{replication: ended})
}
