package mesh

import (
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// A record with as many claims as replicas may merge fits a message, even if the names of the schedulers have
// the longest allowed length. A replica that catches up never gets a record that is longer than a message.
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
