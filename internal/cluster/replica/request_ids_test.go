package replica

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// startClaimant starts a process that is not in the replica set. The returned channel receives the messages
// that the process sends. Nobody answers them.
func startClaimant(t *testing.T) (*Replica, <-chan replication.Message) {
	t.Helper()
	config := Defaults()
	config.Replicas = []string{"a", "b", "c"}
	transport := recordingTransport{isolatedTransport{time.Now()}, make(chan replication.Message, 99)}
	r, err := New(config, "x", 1, 0, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Start(transport)
	r.SetMembership(true, membership.Incarnation{Generation: 1, Nonce: 1})
	return r, transport.sent
}

// A successor reads the socket of its predecessor and may receive grants of claims of the predecessor. The
// successor does not count them for its own claims. Otherwise an op could run without a record at any
// replica.
func TestAGrantToAPredecessorIsIgnoredByItsSuccessor(t *testing.T) {
	predecessor, sentBefore := startClaimant(t)
	go predecessor.Claim(context.Background(), "pay", "a", nil, time.Second, 0)
	claim := <-sentBefore

	successor, sent := startClaimant(t)
	decided := make(chan replication.ClaimDecided, 1)
	go func() { decided <- successor.Claim(context.Background(), "pay", "b", nil, time.Second, 0) }()
	<-sent // the successor has sent its claim
	for _, from := range []string{"a", "b", "c"} {
		answer := replication.Message{
			Kind:      replication.ClaimGranted,
			SetID:     claim.SetID,
			RequestID: claim.RequestID,
		}
		answer.Incarnation = replication.Incarnation{Generation: 1, Nonce: 1}
		successor.Receive(from, answer)
	}
	if got := <-decided; got.Result == replication.Granted {
		t.Errorf("the successor counts grants to its predecessor: %v", got.Result)
	}
}
