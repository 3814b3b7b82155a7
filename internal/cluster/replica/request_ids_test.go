package replica

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

// claimant is a process that only claims: its messages are heard, and nobody answers.
func claimant(t *testing.T) (*Replica, <-chan replication.Message) {
	t.Helper()
	table := Defaults()
	table.Replicas = []string{"a", "b", "c"}
	transport := heard{alone{time.Now()}, make(chan replication.Message, 99)}
	r, err := New(table, "x", 1, 0, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Start(transport)
	r.SetMembership(true, membership.Incarnation{Generation: 1, Nonce: 1})
	return r, transport.sent
}

// A successor reads the socket of its predecessor, and with it the grants that this one had asked for. They must not count for a
// claim of the successor's own: an op would run that no replica knows of.
func TestAGrantToAPredecessorIsNoneToItsSuccessor(t *testing.T) {
	predecessor, sentBefore := claimant(t)
	go predecessor.Claim(context.Background(), "pay", "a", nil, time.Second, 0)
	granted := <-sentBefore

	successor, sent := claimant(t)
	decided := make(chan replication.ClaimDecided, 1)
	go func() { decided <- successor.Claim(context.Background(), "pay", "b", nil, time.Second, 0) }()
	<-sent // it asks
	for _, from := range []string{"a", "b", "c"} {
		answer := replication.Message{Kind: replication.ClaimGranted, SetID: granted.SetID, RequestID: granted.RequestID}
		answer.Incarnation = replication.Incarnation{Generation: 1, Nonce: 1}
		successor.Receive(from, answer)
	}
	if got := <-decided; got.Result == replication.Granted {
		t.Errorf("it counts grants to its predecessor: %v", got.Result)
	}
}
