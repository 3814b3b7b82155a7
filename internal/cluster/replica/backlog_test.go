package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// A loop that takes up a whole round of queued inputs must handle each of them: one that is read from the queue and not handled may be a
// claim, whose client then waits for its whole timeout, or the end of an op.
func TestNoInputIsLostInABacklog(t *testing.T) {
	table := Defaults()
	table.Replicas = []string{"a", "b", "c"} // nobody answers: a claim that was handled is pending
	transport := alone{time.Now()}
	r, err := New(table, "a", 1, 0, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	const claims = 3 * maxInputsPerRound
	r.transport = transport
	r.step(replication.Membership{Serving: true, Generation: 1})
	for k := range claims {
		r.queue.put(input{replication: replication.ClaimRequest{RequestID: uint64(k + 1), Key: fmt.Sprint("pay/", k),
			Timeout: membership.TimeOf(time.Minute)}})
	}
	for len(r.queue.inputs) > 0 {
		r.handleInputs(<-r.queue.inputs)
	}
	if got := r.core.Status().PendingClaims; got != claims {
		t.Errorf("%d of %d claims were handled, %d counted as dropped", got, claims, r.queue.dropped.Load())
	}
}
