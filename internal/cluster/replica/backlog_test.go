package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// The loop handles every input of a backlog that takes several rounds. Guards against an input that is read
// from the queue when the round is full and is then not handled. Such an input may be a claim, whose client
// then waits for its whole timeout, or the end of an op.
func TestABacklogOfSeveralRoundsLosesNoInput(t *testing.T) {
	config := Defaults()
	config.Replicas = []string{"a", "b", "c"} // b and c do not answer: a claim that was handled stays pending
	transport := isolatedTransport{time.Now()}
	r, err := New(config, "a", 1, 0, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	const claims = 3 * maxExtraInputsPerRound
	r.transport = transport
	r.stepReplication(replication.Membership{Serving: true, Generation: 1})
	for i := range claims {
		r.queue.put(input{replication: replication.ClaimRequest{
			RequestID: uint64(i + 1),
			Key:       fmt.Sprint("pay/", i),
			Timeout:   membership.TimeOf(time.Minute),
		}})
	}
	for len(r.queue.inputs) > 0 {
		r.handleInputs(<-r.queue.inputs)
	}
	if got := r.core.Status().PendingClaims; got != claims {
		t.Errorf("%d of %d claims were handled, %d counted as dropped", got, claims, r.queue.dropped.Load())
	}
}
