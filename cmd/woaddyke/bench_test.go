package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"woaddyke/internal/lab/cluster"
)

// BenchmarkGuardedOp measures the latency and the processor time of an at-most-once op, with records at
// three replicas and without replication.
func BenchmarkGuardedOp(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("copies=", on), func(b *testing.B) {
			worker := httptest.NewServer(&testWorker{runs: map[string]int{}})
			defer worker.Close()
			lines := fastMembers
			if on {
				lines += "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\nhold_off = \"5s\"\n"
			}
			c := cluster.New(b, 4, lines, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
				worker.Listener.Addr()), testCommand)
			for _, p := range c.Nodes {
				c.Start(p)
			}
			c.AwaitConverged(c.Nodes...)
			for _, p := range c.Nodes {
				c.Await("the replicas have their votes", func() bool { return p.Get("/api/ready", nil) && (!on || voteSettled(p)) })
			}
			client := http.Client{Timeout: 10 * time.Second}
			var took []time.Duration
			replicaTime := func() (total time.Duration) { // processor time of the three replicas
				for _, p := range c.Nodes[:3] {
					cmd, _ := p.Process()
					total += cpuTime(b, cmd)
				}
				return total
			}
			claimer, _ := c.Nodes[3].Process()
			replicasBefore, claimerBefore := replicaTime(), cpuTime(b, claimer)
			b.ResetTimer()
			for n := range b.N {
				r, _ := http.NewRequest(http.MethodPost, "http://"+c.Nodes[3].Listen+"/", strings.NewReader("x"))
				r.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("op", n)}, "X-Service-Class": {"pay"}, "X-Time-Left-Ms": {"4500"}}
				from := time.Now()
				resp, err := client.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if took = append(took, time.Since(from)); resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64((replicaTime()-replicasBefore).Microseconds())/float64(3*b.N), "us/op-keeper")
			b.ReportMetric(float64((cpuTime(b, claimer)-claimerBefore).Microseconds())/float64(b.N), "us/op-door")
			slices.Sort(took)
			for name, q := range map[string]float64{"p50-us": 0.5, "p99-us": 0.99, "p99.9-us": 0.999} {
				b.ReportMetric(float64(took[int(q*float64(len(took)-1))].Microseconds()), name)
			}
		})
	}
}
