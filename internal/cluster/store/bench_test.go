package store

import (
	"fmt"
	"path/filepath"
	"testing"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

func batch(from, n int) (all []replication.Record) {
	for i := range n {
		all = append(all, record(fmt.Sprintf("charge\x00%016x", (from+i)*0x9e3779b9)))
	}
	return all
}

// BenchmarkKeep is what a grant waits for at a replica with a file: so many records written together,
// beside many that are there. With sync the disk has them.
func BenchmarkKeep(b *testing.B) {
	for _, sync := range []bool{false, true} {
		for _, together := range []int{1, 64} {
			b.Run(fmt.Sprintf("sync=%v/together=%d", sync, together), func(b *testing.B) {
				s, err := Open(filepath.Join(b.TempDir(), "copies.db"), sync)
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				now := boottime.Now()
				number := 10_000
				if err := s.Write(now, batch(0, number), nil); err != nil {
					b.Fatal(err)
				}
				b.ResetTimer()
				for range b.N {
					if err := s.Write(now, batch(number, together), nil); err != nil {
						b.Fatal(err)
					}
					number += together
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*together), "us/record")
			})
		}
	}
}
