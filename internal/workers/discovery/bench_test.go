package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkMessage decodes a snapshot and converts it to the reducer's input.
func BenchmarkMessage(b *testing.B) {
	for _, workers := range []int{100, 1_600, 6_300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			m := EndpointList{Rev: 1, All: true}
			for i := range workers {
				m.Targets = append(m.Targets, target{UID: fmt.Sprintf("worker-%05d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", 100+i%14, i/250, 1+i%250),
					AZ: fmt.Sprintf("zone-%02d", i%14), PodGroup: i / 60, Model: fmt.Sprintf("kind-%d", i%5), State: "SERVING", BootMS: 1_700_000_000_000})
			}
			text, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				var m EndpointList
				if err := json.Unmarshal(text, &m); err != nil {
					b.Fatal(err)
				}
				if in := m.EndpointsChanged(newEmptyStartTimes()); len(in.Endpoints) != workers {
					b.Fatal(len(in.Endpoints))
				}
			}
			b.ReportMetric(float64(len(text))/float64(workers), "list-B/worker")
		})
	}
}
