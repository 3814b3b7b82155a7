package simulation

import (
	"testing"

	"woaddyke/internal/cluster/replication"
)

// The network duplicates a claim request, and the copy reaches a replica after the claim was refused there and
// released. The replica must not grant it for good: no process has the claim, so every repeat of the op would be
// in progress until the record expires. The release reaches no replica here, as each has refused the claim, one
// of them because it has no vote.
func TestALateDuplicateOfARefusedClaimDoesNotBlockItsID(t *testing.T) {
	for seed := range uint64(20) {
		c := startCluster(5, 3, seed)
		c.opsEndManually = true
		c.Claim(3, "x")
		c.Run(c.Now() + Second)
		held := c.lastRequest
		c.Kill(1)
		c.partition([]int{1}, []int{0, 2}, true)
		c.Start(1)
		c.Run(c.Now() + Second/5)
		var copyOfRequest replication.Message
		c.OnSend = func(e replication.Send) {
			if e.To == "n0" && e.Kind == replication.ClaimRequested && e.Record.Outcomes[0].Scheduler == "n4" {
				copyOfRequest = e.Message
			}
		}
		checkResult(t, c.claimResult(4, "x"), replication.InProgress)
		c.OnSend = nil
		c.step(c.nodes[3], c.Core(3), replication.OpEnded{RequestID: held, NeverRan: true})
		c.Run(c.Now() + Second)
		c.step(c.nodes[0], c.Core(0), replication.MessageReceived{From: "n4", Message: copyOfRequest})
		c.partition([]int{1}, []int{0, 2}, false)
		c.Run(c.Now() + 10*Second) // the other replicas catch up
		if got := c.claimResult(3, "x"); got != replication.Granted {
			t.Errorf("seed %d: result %v, want %v", seed, got, replication.Granted)
		}
	}
}
