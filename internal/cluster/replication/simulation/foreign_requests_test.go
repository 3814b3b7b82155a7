package simulation

import (
	"fmt"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// strangerFingerprints are fingerprints of other requests, on both sides of the owner's in their order.
var strangerFingerprints = []uint64{0, 7}

// Another request under the key of an op is rejected and released while the op runs. It must not get the answer
// of the op, and the op's own request must still get it.
func TestAnotherRequestNeverGetsTheAnswerOfAnOp(t *testing.T) {
	for _, stranger := range strangerFingerprints {
		t.Run(fmt.Sprint("fingerprint ", stranger), func(t *testing.T) {
			c := startCluster(5, 3, 1)
			c.opsEndManually = true
			c.Claim(3, "x")
			c.Run(c.Now() + Second)
			id := c.lastRequest
			c.CutLink(4, 0, true) // the release reaches a replica that has not seen the claim
			c.ClaimAs(4, "x", stranger)
			c.Run(c.Now() + Second/2)
			c.CutLink(4, 0, false)
			c.Run(c.Now() + 2*Second)
			ended := replication.OpEnded{RequestID: id, HTTPStatus: 200, Result: []byte(fmt.Sprint(id)), ResultRetained: true}
			c.step(c.nodes[3], c.Core(3), ended)
			c.Run(c.Now() + 2*Second)
			if got := c.claimResultAs(4, "x", stranger); got != replication.FingerprintMismatch {
				t.Errorf("another request: %v", got)
			}
			for i := range 5 {
				if got := c.claimResult(i, "x"); got != replication.AlreadyAnswered {
					t.Errorf("the owner at n%d: %v", i, got)
				}
			}
			c.reportViolations(t, 1)
		})
	}
}

// Several requests come under each key, at random schedulers and with lost and late messages and restarts. At
// most one of them is granted, only its repeats get its answer, and none of these is rejected.
func TestRandomRequestsUnderOneKeyKeepTheirAnswers(t *testing.T) {
	first, last := seedRange(60)
	answered, mismatches := 0, 0
	for seed := first; seed <= last; seed++ {
		c := New(6, 3, seed)
		c.drawNetwork(0, 0.1, 0.3)
		for i := range 6 {
			c.Start(i)
		}
		c.Run(6 * Second)
		begin := c.Now()
		for at := begin; at < begin+25*Second; at += Time(c.Rand.IntN(800)) {
			i, key := c.Rand.IntN(6), fmt.Sprint("op", (at-begin)/(4*Second), "-", c.Rand.IntN(4))
			fingerprint := uint64(c.Rand.IntN(3))
			c.At(at, func() { c.ClaimAs(i, key, fingerprint) })
		}
		c.drawRestarts(begin+Second, begin+25*Second, 3)
		c.Run(begin + 40*Second)
		c.reportViolations(t, seed)
		c.LossProbability, c.DuplicationProbability = 0, 0
		c.Run(begin + 80*Second)
		c.checkReplicasEqual(t, seed, 3)
		for _, entry := range c.History {
			switch entry.Result {
			case replication.AlreadyAnswered:
				answered++
			case replication.FingerprintMismatch:
				mismatches++
			}
		}
		if t.Failed() {
			return
		}
	}
	if runs := int(last - first + 1); answered < runs || mismatches < runs {
		t.Errorf("%d answers and %d mismatches: too few for this test", answered, mismatches)
	}
}
