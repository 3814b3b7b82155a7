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

// What catch-up costs, for the record: `CATCHUP=100000 go test -run CatchUpFigures -v` plays a replica
// that comes back without its memory, and one that was cut off, to so many records. A link takes 0.25 to
// 0.75 ms, and nothing is lost.
func TestCatchUpFigures(t *testing.T) {
	var most int
	if fmt.Sscan(os.Getenv("CATCHUP"), &most); most == 0 {
		t.Skip("CATCHUP is not set")
	}
	for _, cutOff := range []bool{false, true} {
		for n := 10; n <= most; n *= 10 {
			p := New(4, 3, 1)
			p.Config.MaxRecords, p.Config.MaxBytes, p.Config.Retention = 2*most+10, 1<<31, 7*24*3600*Second
			if os.Getenv("FULL") != "" {
				p.Config.CatchUpRate = 1 << 40
			}
			for i := range 4 {
				p.Start(i)
			}
			p.Run(6 * Second)
			kept := 0
			tell := func(n int, to ...int) { // as if so many ops had ended: each known at those replicas
				for k := range n {
					const result = "charged, and here is what the client was told of it: 0123456789"
					r := endedRecord(kept+k, uint64(kept+k), result)
					for _, i := range to {
						pl := p.nodes[i]
						report := replication.Message{Kind: replication.OutcomeReported, SetID: pl.core.SetID(), Record: r}
						pl.core.Step(p.Now(), replication.MessageReceived{From: "n3", Message: report})
					}
				}
				kept += n
			}
			if cutOff {
				tell(most, 0, 1, 2)
				p.Run(p.Now() + 120*Second)
				isolateReplica2(p, true)
			} else {
				p.Kill(2)
			}
			tell(n, 0, 1)
			bytes, missed := 0, 0
			text, _ := cbor.Marshal(endedRecord(1, 1<<60, strings.Repeat("x", 64)))
			missed = n * len(text)
			p.OnSend = func(e replication.Send) {
				if e.To == "n2" && (e.Kind == replication.DigestPage || e.Kind == replication.Fetched) {
					text, _ := cbor.Marshal(e.Message)
					bytes += len(text)
				}
			}
			if cutOff {
				isolateReplica2(p, false)
			} else {
				p.Start(2)
			}
			began, cpu := p.Now(), time.Now()
			for p.Core(2).Digest() != p.Core(0).Digest() || !p.Core(2).Status().Voting {
				p.Run(p.Now() + 10*Millisecond)
				if p.Now()-began > 3600*Second {
					t.Fatal("it does not catch up")
				}
			}
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			t.Logf("cut off %v, %d missed beside %d: %.2f s, %d bytes, %.2f of what was missed; "+
				"%.1f s of this machine; %d bytes of memory a record and keeper",
				cutOff, n, kept-n, float64(p.Now()-began)/float64(Second), bytes,
				float64(bytes)/float64(missed), time.Since(cpu).Seconds(), int(m.HeapAlloc)/(3*kept))
		}
	}
}

// endedRecord is a record of an op that has ended with a result.
func endedRecord(op int, nonce uint64, result string) replication.Record {
	outcome := replication.Outcome{
		Claim:          replication.Claim{Scheduler: "n3", Nonce: nonce},
		Stage:          replication.Ended,
		Verdict:        200,
		ResultRetained: true,
		Result:         []byte(result),
	}
	key := fmt.Sprintf("charge\x00%016x", op)
	return replication.Record{Key: key, Fingerprint: 1, Outcomes: []replication.Outcome{outcome}}
}

func isolateReplica2(p *Cluster, on bool) { p.partition([]int{2}, []int{0, 1, 3}, on) }

// What a guarded op costs in messages, for the record: `OPS=2000 go test -run OpFigures -v`.
func TestOpFigures(t *testing.T) {
	var n int
	if fmt.Sscan(os.Getenv("OPS"), &n); n == 0 {
		t.Skip("OPS is not set")
	}
	for _, keepers := range []int{3, 5} {
		p := New(8, keepers, 1)
		for i := range 8 {
			p.Start(i)
		}
		p.Run(6 * Second)
		messages, bytes := 0, 0
		p.OnSend = func(e replication.Send) {
			text, _ := cbor.Marshal(e.Message)
			messages, bytes = messages+1, bytes+len(text)
		}
		began := p.Now()
		p.Run(began + 10*Second)
		calm := bytes
		for k := range n {
			scheduler, key := keepers+k%(8-keepers), fmt.Sprintf("charge\x00%016x", k)
			p.At(p.Now()+Time(k*50), func() { p.Claim(scheduler, key) })
		}
		messages, bytes = 0, 0
		p.Run(p.Now() + Time(n*50) + 5*Second)
		t.Logf("%d keepers: %.1f messages and %d bytes of CBOR an op, all keepers together, "+
			"at 200 ops a second; %.0f bytes a second without ops",
			keepers, float64(messages)/float64(n), bytes/n, float64(calm)/10)
	}
}
