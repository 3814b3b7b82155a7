package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// makeCategories returns n categories in the form of the file.
func makeCategories(n int) (categories []any) {
	for i := range n {
		categories = append(categories, map[string]any{"name": fmt.Sprint("team-", i), "effect": "dedup", "dedupScope": "zone",
			"windowNs": 5e9, "ttlNs": 5e9, "targetLatencyNs": 1e9, "benefit": 2.0})
	}
	return categories
}

// BenchmarkSettingsHash measures the hash by which members detect that another member has other settings.
func BenchmarkSettingsHash(b *testing.B) {
	for _, entries := range []int{3, 256} {
		b.Run(fmt.Sprintf("categories=%d", entries), func(b *testing.B) {
			s := &Bootstrap{Settings: Flatten(map[string]any{"categories": makeCategories(entries)})}
			b.ReportAllocs()
			for range b.N {
				s.SettingsHash()
			}
		})
	}
}

// BenchmarkReload measures reading a file in which one category has changed, and checking it against the
// configuration in force.
func BenchmarkReload(b *testing.B) {
	for _, entries := range []int{3, 560, maxCategories} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			categories := makeCategories(entries)
			path := filepath.Join(b.TempDir(), "config.json")
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
				if reload, _ := s.CompareSettings(before); !reload {
					b.Fatal("no difference was found")
				}
			}
		})
	}
}
