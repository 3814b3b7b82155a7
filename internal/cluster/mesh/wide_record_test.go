package mesh

import (
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// A replication record with 64 claims, the most that a replica merges, must fit a service message even if the
// schedulers have names of 255 bytes, the longest that are allowed. A replica that catches up never receives
// a record that does not fit.
func TestTheWidestRecordFitsAMessage(t *testing.T) {
	const claims, nameBytes = 64, 255
	record := replication.Record{Key: "pay\x00key", Fingerprint: 1}
	for i := range claims {
		record.Outcomes = append(record.Outcomes, replication.Outcome{
			Claim: replication.Claim{
				Scheduler: fmt.Sprintf("%03d", i) + strings.Repeat("n", nameBytes-3),
				Nonce:     1 << 63,
			},
			Stage: replication.Released,
		})
	}
	message := serviceMessage{
		Cluster:     "cluster",
		Replication: &replication.Message{Kind: replication.Fetched, Records: []replication.Record{record}},
	}
	text, err := encodeService(message)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > maxServiceBytes {
		t.Errorf("the message has %d bytes, the limit is %d", len(text), maxServiceBytes)
	}
}
