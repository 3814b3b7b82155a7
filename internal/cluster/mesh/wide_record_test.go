package mesh

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/cluster/replication"
)

// wideRecord returns a record with the most claims, by schedulers with the longest names.
func wideRecord(stage replication.Stage, group string) replication.Record {
	const claims, nameBytes = 64, 255
	record := replication.Record{Key: "pay\x00key", Fingerprint: 1}
	for i := range claims {
		record.Outcomes = append(record.Outcomes, replication.Outcome{
			Claim: replication.Claim{
				Scheduler: fmt.Sprintf("%03d", i) + strings.Repeat("n", nameBytes-3),
				Nonce:     1 << 63,
			},
			Stage: stage,
			Group: group,
		})
	}
	return record
}

// A replication record with 64 claims, the most that a replica merges, must fit a service message even if the
// schedulers have names of 255 bytes, the longest that are allowed. A replica that catches up never receives
// a record that does not fit.
func TestTheWidestRecordFitsAMessage(t *testing.T) {
	record := wideRecord(replication.Released, "")
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

// The same with the longest group names and a result, over the sockets of two members.
func TestTheWidestRecordArrives(t *testing.T) {
	const groupBytes, resultBytes = 512, 2 << 10
	record := wideRecord(replication.Claimed, strings.Repeat("g", groupBytes))
	record.Outcomes[0].Stage, record.Outcomes[0].ResultRetained = replication.Ended, true
	record.Outcomes[0].Result = make([]byte, resultBytes)
	message := replication.Message{Kind: replication.Fetched, Records: []replication.Record{record}}
	arrived := make(chan replication.Message, 99)
	host := Host{Replication: func(_ string, m replication.Message) { arrived <- m }}
	a := startMesh(t, "a", 0, host)
	b := startMesh(t, "b", 1, host, a.sockets.addr().String())
	awaitAlive(t, a)
	awaitAlive(t, b)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		a.SendReplication("b", message)
		select {
		case got := <-arrived:
			if !reflect.DeepEqual(got, message) {
				t.Errorf("another message arrived: %d records", len(got.Records))
			}
			return
		case <-time.After(100 * time.Millisecond): // a datagram may be lost
		}
	}
	t.Errorf("the record does not arrive; dropped %v", a.dropped.byCause())
}
