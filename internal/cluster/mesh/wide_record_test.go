package mesh

import (
	"fmt"
	"strings"
	"testing"

	"woaddyke/internal/cluster/replication"
)

// A record of as many claims as replicas may merge must fit a message between them, whatever the names of the schedulers: one that does not is
// never caught up with.
func TestTheWidestRecordFitsAMessage(t *testing.T) {
	const claims, nameBytes = 64, 255
	record := replication.Record{Key: "pay\x00key", Fingerprint: 1}
	for k := range claims {
		record.Outcomes = append(record.Outcomes, replication.Outcome{
			Claim: replication.Claim{Scheduler: fmt.Sprintf("%03d", k) + strings.Repeat("n", nameBytes-3), Nonce: 1 << 63},
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
		t.Errorf("%d bytes, a message has %d at most", len(text), maxServiceBytes)
	}
}
