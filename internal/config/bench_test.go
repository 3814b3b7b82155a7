package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// teams are so many categories, as a configuration has them.
func teams(n int) (categories []any) {
	for i := range n {
		categories = append(categories, map[string]any{"name": fmt.Sprint("team-", i), "effect": "dedup", "dedupScope": "zone",
			"windowNs": 5e9, "ttlNs": 5e9, "targetLatencyNs": 1e9, "benefit": 2.0})
	}
	return categories
}

// BenchmarkHash is what a member works out of the settings in force, by which it sees who runs by
// others.
func BenchmarkHash(b *testing.B) {
	for _, entries := range []int{3, 256} {
		b.Run(fmt.Sprintf("categories=%d", entries), func(b *testing.B) {
			s := &Bootstrap{Settings: Flatten(map[string]any{"categories": teams(entries)})}
			b.ReportAllocs()
			for range b.N {
				s.SettingsHash()
			}
		})
	}
}

// BenchmarkReread reads a file in which one of so many categories has changed, and checks it against
// the one in force.
func BenchmarkReread(b *testing.B) {
	for _, entries := range []int{3, 560, maxCategories} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			categories := teams(entries)
			path := filepath.Join(b.TempDir(), "sheet")
			write := func() *Bootstrap {
				text, err := json.Marshal(map[string]any{"listen": "a:1", "discovery": "a:2", "seed": "ff", "settings": map[string]any{
					"bounds": map[string]any{"maxPushes": 3}, "categories": categories}})
				if err == nil {
					err = os.WriteFile(path, text, 0o600)
				}
				var s *Bootstrap
				if err == nil {
					s, err = ReadBootstrap(path)
				}
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(text)), "B/file")
				return s
			}
			before := write()
			categories[entries/2].(map[string]any)["windowNs"] = 6e9
			write()
			b.ReportAllocs()
			for b.Loop() {
				s, err := ReadBootstrap(path)
				if err == nil {
					err = s.CheckReload(before)
				}
				if err != nil {
					b.Fatal(err)
				}
				if retunes, _ := s.CompareSettings(before); !retunes {
					b.Fatal("no change")
				}
			}
		})
	}
}
