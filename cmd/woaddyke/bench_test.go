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

// BenchmarkGuardedOp is what an at-most-once op costs from its client's side, with copies at three keepers and without.
func BenchmarkGuardedOp(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("copies=", on), func(b *testing.B) {
			worker := httptest.NewServer(&bench{runs: map[string]int{}})
			defer worker.Close()
			offer := quick
			if on {
				offer += "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\nhold_off = \"5s\"\n"
			}
			c := cluster.New(b, 4, offer, fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":%q,"state":"SERVING"}]}`,
				worker.Listener.Addr()), thisProgram)
			for _, p := range c.Places {
				c.Start(p)
			}
			c.AwaitWhole(c.Places...)
			for _, p := range c.Places {
				c.Await("keepers have their votes", func() bool { return p.Get("/api/ready", nil) && (!on || votes(p)) })
			}
			client := http.Client{Timeout: 10 * time.Second}
			var took []time.Duration
			kept := func() (total time.Duration) { // the processor time of the three that keep
				for _, p := range c.Places[:3] {
					cmd, _ := p.Running()
					total += spent(b, cmd)
				}
				return total
			}
			door, _ := c.Places[3].Running()
			keepers, own := kept(), spent(b, door)
			b.ResetTimer()
			for n := range b.N {
				r, _ := http.NewRequest(http.MethodPost, "http://"+c.Places[3].Listen+"/", strings.NewReader("x"))
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
			b.ReportMetric(float64((kept()-keepers).Microseconds())/float64(3*b.N), "us/op-keeper")
			b.ReportMetric(float64((spent(b, door)-own).Microseconds())/float64(b.N), "us/op-door")
			slices.Sort(took)
			for name, q := range map[string]float64{"p50-us": 0.5, "p99-us": 0.99, "p99.9-us": 0.999} {
				b.ReportMetric(float64(took[int(q*float64(len(took)-1))].Microseconds()), name)
			}
		})
	}
}
