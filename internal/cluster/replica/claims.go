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
	maxFirstClaimID = 1 << 60 // leaves space to count up below the flag bits of IDs on the wire
	maxJoinedClaims = 1024
	joinInterval    = 50 * time.Millisecond // between two claims of an op in progress at another scheduler
	decisionGrace   = time.Second           // added to QuorumTimeout, as the loop may run late
)

// pendingClaims holds the claims whose callers wait for a decision.
type pendingClaims struct {
	*waiters[replication.ClaimDecided]
	lastID      atomic.Uint64
	joinedCount atomic.Int64 // claims that wait for ops in progress at other schedulers
}

func newPendingClaims() pendingClaims {
	return pendingClaims{waiters: newWaiters[replication.ClaimDecided]()}
}

// startIDsAt derives the first claim ID from a random number. Answers to claims of the previous process may
// arrive here and must not match a claim of this process.
func (p *pendingClaims) startIDsAt(random uint64) { p.lastID.Store(random % maxFirstClaimID) }

// claimOp is the op that a claim is for. The worker group drops duplicates of the op within dedupWindow. If
// dedupWindow is 0, the group drops none.
type claimOp struct {
	key         string
	fingerprint uint64
	dedupWindow time.Duration
}

// Claim asks the replicas whether an op may be pushed. The parameter timeout is the time left for the op.
// Claim waits at most QuorumTimeout plus decisionGrace for the decision of the replicas.
//
// If the worker group drops duplicates within a window, the claim may be granted although the op may have run
// for a scheduler that is dead. The outcome in the result then names the group.
//
// If the op is in progress at another scheduler, Claim repeats the claim until the op has ended there, so
// that the client gets the answer of that op. It repeats the claim for at most JoinTimeout.
func (r *Replica) Claim(
	ctx context.Context, category, id string, request []byte, timeout, window time.Duration,
) replication.ClaimDecided {
	op := claimOp{recordKey(category, id), xxhash.Sum64(request), window}
	startedAt := time.Now()
	decided := r.claimOnce(ctx, op, timeout)
	joinTimeout := min(time.Duration(r.config.JoinTimeout), timeout-joinInterval)
	if decided.Result != replication.InProgress || joinTimeout <= 0 {
		return decided
	}
	defer r.claims.joinedCount.Add(-1)
	if r.claims.joinedCount.Add(1) > maxJoinedClaims {
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

// claimOnce sends one claim and waits for the decision. The replication core decides within timeout and
// QuorumTimeout, whichever is shorter. If no decision arrives, claimOnce stops waiting decisionGrace after
// QuorumTimeout.
func (r *Replica) claimOnce(ctx context.Context, op claimOp, timeout time.Duration) replication.ClaimDecided {
	id := r.claims.lastID.Add(1)
	result, _ := r.claims.add(id, 0) // no limit: the frontend bounds its open ops
	noQuorum := replication.ClaimDecided{RequestID: id, Result: replication.NoQuorum}
	request := replication.ClaimRequest{
		RequestID:   id,
		Key:         op.key,
		Fingerprint: op.fingerprint,
		Timeout:     membership.TimeOf(timeout),
		DedupWindow: membership.TimeOf(op.dedupWindow),
	}
	if !r.queue.offer(input{replication: request}) {
		r.claims.remove(id)
		return noQuorum
	}
	deadline := time.NewTimer(time.Duration(r.config.QuorumTimeout) + decisionGrace)
	defer deadline.Stop()
	select {
	case decided := <-result:
		return decided
	case <-ctx.Done():
	case <-deadline.C:
	case <-r.ended:
	}
	r.withdrawClaim(id, result)
	return noQuorum
}

// withdrawClaim ends the wait for a decision. If the claim is granted nevertheless, the grant is released. If
// withdrawClaim removes the waiter first, the loop releases the grant. If the loop has already removed the
// waiter, it is about to deliver the decision, and withdrawClaim releases the grant.
func (r *Replica) withdrawClaim(id uint64, result <-chan replication.ClaimDecided) {
	if r.claims.remove(id) != nil {
		return
	}
	if decided := <-result; decided.Result == replication.Granted {
		r.Finish(id, true, 0, nil)
	}
}

// MayHaveRun records that a granted op may have run in a worker group that drops duplicates.
func (r *Replica) MayHaveRun(id uint64, group string) {
	r.queue.stateChanges.Put(input{replication: replication.MayHaveRun{RequestID: id, Group: group}})
}

// Abandon records that a granted op is not pushed again, although it may have run. The client was answered
// that a repeat is harmless.
func (r *Replica) Abandon(id uint64) {
	r.queue.put(input{replication: replication.OpEnded{RequestID: id, Abandoned: true}})
}

// Finish records the outcome of a granted op. An answer longer than MaxResultBytes is not retained.
func (r *Replica) Finish(id uint64, neverRan bool, status int, answer []byte) {
	ended := replication.OpEnded{RequestID: id, NeverRan: neverRan, HTTPStatus: uint16(status)}
	if !neverRan && status != 0 && len(answer) <= r.config.MaxResultBytes {
		ended.Result, ended.ResultRetained = append([]byte{}, answer...), true
	}
	r.queue.put(input{replication: ended})
}
