package store

import (
	"fmt"
	"path/filepath"
	"testing"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

func newRecords(from, n int) (all []replication.Record) {
	for i := range n {
		all = append(all, newRecord(fmt.Sprintf("charge\x00%016x", (from+i)*0x9e3779b9)))
	}
	return all
}

// BenchmarkWrite measures the write that a replica with a file completes before it grants a claim. Each
// transaction writes the given number of records to a file that already contains many. With sync, the records
// are on disk after each write.
func BenchmarkWrite(b *testing.B) {
	for _, sync := range []bool{false, true} {
		for _, batchSize := range []int{1, 64} {
			b.Run(fmt.Sprintf("sync=%v/together=%d", sync, batchSize), func(b *testing.B) {
				s, err := Open(filepath.Join(b.TempDir(), "copies.db"), sync)
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				now := boottime.Now()
				written := 10_000
				if err := s.Write(now, newRecords(0, written), nil); err != nil {
					b.Fatal(err)
				}
				b.ResetTimer()
				for range b.N {
					if err := s.Write(now, newRecords(written, batchSize), nil); err != nil {
						b.Fatal(err)
					}
					written += batchSize
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*batchSize), "us/record")
			})
		}
	}
}
