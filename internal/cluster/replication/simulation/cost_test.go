package simulation

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"woaddyke/internal/cluster/replication"
)

// Measures the cost of catch-up: `CATCHUP=100000 go test -run CatchUpFigures -v`. A replica that restarts
// without memory, and one that was cut off, catch up with up to CATCHUP records. A link delays messages by
// 0.25 to 0.75 ms and loses none. FULL removes the limit of CatchUpRate.
func TestCatchUpFigures(t *testing.T) {
	var maxRecords int
	if fmt.Sscan(os.Getenv("CATCHUP"), &maxRecords); maxRecords == 0 {
		t.Skip("CATCHUP is not set")
	}
	for _, cutOff := range []bool{false, true} {
		for n := 10; n <= maxRecords; n *= 10 {
			c := New(4, 3, 1)
			c.Config.MaxRecords, c.Config.MaxBytes, c.Config.Retention =
				2*maxRecords+10, 1<<31, 7*24*3600*Second
			if os.Getenv("FULL") != "" {
				c.Config.CatchUpRate = 1 << 40
			}
			for i := range 4 {
				c.Start(i)
			}
			c.Run(6 * Second)
			reported := 0
			reportEnds := func(count int, to ...int) { // reports the ends of new ops to some replicas
				for k := range count {
					const result = "charged, and here is what the client was told of it: 0123456789"
					record := endedRecord(reported+k, uint64(reported+k), result)
					for _, i := range to {
						replica := c.nodes[i]
						report := replication.Message{
							Kind:   replication.OutcomeReported,
							SetID:  replica.core.SetID(),
							Record: record,
						}
						replica.core.Step(c.Now(), replication.MessageReceived{From: "n3", Message: report})
					}
				}
				reported += count
			}
			if cutOff {
				reportEnds(maxRecords, 0, 1, 2)
				c.Run(c.Now() + 120*Second)
				setReplica2Isolated(c, true)
			} else {
				c.Kill(2)
			}
			reportEnds(n, 0, 1)
			bytes, missed := 0, 0
			encoded, _ := cbor.Marshal(endedRecord(1, 1<<60, strings.Repeat("x", 64)))
			missed = n * len(encoded)
			c.OnSend = func(e replication.Send) {
				if e.To == "n2" && (e.Kind == replication.DigestPage || e.Kind == replication.Fetched) {
					encoded, _ := cbor.Marshal(e.Message)
					bytes += len(encoded)
				}
			}
			if cutOff {
				setReplica2Isolated(c, false)
			} else {
				c.Start(2)
			}
			start, wallStart := c.Now(), time.Now()
			for c.Core(2).Digest() != c.Core(0).Digest() || !c.Core(2).Status().Voting {
				c.Run(c.Now() + 10*Millisecond)
				if c.Now()-start > 3600*Second {
					t.Fatal("n2 has not caught up after one hour")
				}
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			t.Logf("cut off %v, %d records missed and %d known: %.2f s, %d bytes, %.2f of the missed bytes; "+
				"%.1f s of real time; %d bytes of memory per record and replica",
				cutOff, n, reported-n, float64(c.Now()-start)/float64(Second), bytes,
				float64(bytes)/float64(missed), time.Since(wallStart).Seconds(),
				int(memory.HeapAlloc)/(3*reported))
		}
	}
}

// endedRecord returns the record of an op that has ended with a result.
func endedRecord(op int, nonce uint64, result string) replication.Record {
	outcome := replication.Outcome{
		Claim:          replication.Claim{Scheduler: "n3", Nonce: nonce},
		Stage:          replication.Ended,
		HTTPStatus:     200,
		ResultRetained: true,
		Result:         []byte(result),
	}
	key := fmt.Sprintf("charge\x00%016x", op)
	return replication.Record{Key: key, Fingerprint: 1, Outcomes: []replication.Outcome{outcome}}
}

// setReplica2Isolated cuts or restores all links of n2.
func setReplica2Isolated(c *Cluster, isolated bool) { c.partition([]int{2}, []int{0, 1, 3}, isolated) }

// Measures the messages and bytes per op: `OPS=2000 go test -run OpFigures -v`.
func TestOpFigures(t *testing.T) {
	var n int
	if fmt.Sscan(os.Getenv("OPS"), &n); n == 0 {
		t.Skip("OPS is not set")
	}
	for _, replicas := range []int{3, 5} {
		c := New(8, replicas, 1)
		for i := range 8 {
			c.Start(i)
		}
		c.Run(6 * Second)
		messages, bytes := 0, 0
		c.OnSend = func(e replication.Send) {
			encoded, _ := cbor.Marshal(e.Message)
			messages, bytes = messages+1, bytes+len(encoded)
		}
		start := c.Now()
		c.Run(start + 10*Second)
		idleBytes := bytes
		for k := range n {
			scheduler, key := replicas+k%(8-replicas), fmt.Sprintf("charge\x00%016x", k)
			c.At(c.Now()+Time(k*50), func() { c.Claim(scheduler, key) })
		}
		messages, bytes = 0, 0
		c.Run(c.Now() + Time(n*50) + 5*Second)
		t.Logf("%d replicas: %.1f messages and %d bytes of CBOR per op, for all replicas together, "+
			"at 200 ops per second; %.0f bytes per second without ops",
			replicas, float64(messages)/float64(n), bytes/n, float64(idleBytes)/10)
	}
}
