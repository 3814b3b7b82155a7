package terms

import (
	"fmt"
	"testing"
)

// BenchmarkHash is what a member works out each second of the settings in force, by which it sees who runs by others.
func BenchmarkHash(b *testing.B) {
	for _, categories := range []int{3, 256} {
		b.Run(fmt.Sprintf("categories=%d", categories), func(b *testing.B) {
			var list []any
			for k := range categories {
				list = append(list, map[string]any{"name": fmt.Sprint("c", k), "effect": "dedup", "dedupScope": "zone", "windowNs": 7.5e9,
					"benefit": 2.0, "targetLatencyNs": 3e8, "ttlNs": 5e9})
			}
			s := &Sheet{Site: Flat(map[string]any{"categories": list})}
			b.ReportAllocs()
			for range b.N {
				s.Hash()
			}
		})
	}
}
