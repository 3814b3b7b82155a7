package config

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"woaddyke/dispatch"
)

// Each key sets its field. If a key were read under a wrong name, the field would stay at its default, and no
// other test would detect that.
func TestDecisionSettingsReadEachKey(t *testing.T) {
	flat := map[string]any{
		"bounds.maxPushes": 4.0, "myNumber": 2.0, "instances": 9.0, "myZone": 3.0, "step": 50.0,
		"bounds.connectTimeout": 700.0, "extra.progress": 800.0,
		"bounds.retryAfter": true, "bounds.maxRetryAfter": 900.0,
		"safety.warmAfter": 80_000.0, "safety.coldFrom": 0.3, "safety.overloadFactor": 2.5, "safety.tipAfter": 15_000.0,
		"prices.crossZone": 0.03, "prices.connection": 0.05,
		"bounds.probes": true, "bounds.cancel": true, "extra.tellsStart": true, "bounds.peerMessages": true,
		"keys": true, "benefitPer": "work",
		"categories.0.name": "look", "categories.0.effect": "deduplicated", "categories.0.dedupScope": "zone",
		"categories.0.ttl": 50_000.0, "categories.0.targetLatency": 5_000.0, "categories.0.window": 20_000.0,
		"categories.0.benefit": 2.0, "extra.classStretch.0": 1.5,
		"categories.1.ttl": 10.0,
		"categories.3.ttl": 10.0, // not read, because there is no categories.2
	}
	want := dispatch.Settings{
		Categories: []dispatch.CategoryRules{
			{Name: "look", Effect: dispatch.Deduplicated, DedupScope: dispatch.DedupInZone, TTL: 50_000,
				LatencyObjective: 5_000, DedupWindow: 20_000, Stretch: 1.5, Benefit: 2},
			{TTL: 10, Benefit: 1},
		},
		MaxAttempts: 4, Scheduler: 2, Schedulers: 9, Zone: 3, TickInterval: 50,
		DialTimeout: 700, AcknowledgeTimeout: 700, ProgressInterval: 800, MaxRetryAfter: 900,
		SlowStart: dispatch.SlowStartSettings{WarmAfter: 80_000, InitialCapacity: 0.3, OverloadFactor: 2.5,
			OverloadWindow: 15_000},
		CrossZonePrice: 0.03, ConnectionPrice: 0.05,
		Probes: true, CancelsAttempts: true, ReportsStarts: true, PeerMessages: true, AffinityKeys: true,
		BenefitPerWork: true,
	}
	if got := DecisionSettings(flat); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// Without settings, defaults apply: an op must not be limited to 0 attempts, nor a warm worker to no
// capacity.
func TestDecisionSettingsHaveDefaults(t *testing.T) {
	want := dispatch.Settings{MaxAttempts: 1, Schedulers: 1, AcknowledgeTimeout: 10_000,
		SlowStart: dispatch.SlowStartSettings{InitialCapacity: 1, OverloadFactor: 1}}
	unset := map[string]any{"bounds.maxRetryAfter": 900.0} // has no effect without bounds.retryAfter
	if got := DecisionSettings(unset); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// BenchmarkDecisionSettings measures the conversion of the settings at a reload, by the number of categories.
func BenchmarkDecisionSettings(b *testing.B) {
	for _, categories := range []int{3, 560} {
		b.Run(fmt.Sprintf("categories=%d", categories), func(b *testing.B) {
			flat := map[string]any{"step": 10.0, "bounds.maxPushes": 3.0, "bounds.probes": true}
			for i := range categories {
				prefix := "categories." + strconv.Itoa(i) + "."
				flat[prefix+"name"] = fmt.Sprintf("team-%d", i)
				flat[prefix+"effect"], flat[prefix+"dedupScope"] = "deduplicated", "zone"
				flat[prefix+"ttl"], flat[prefix+"targetLatency"] = 50_000.0, 5_000.0
				flat[prefix+"window"], flat[prefix+"benefit"] = 20_000.0, 2.0
			}
			b.ReportAllocs()
			for b.Loop() {
				DecisionSettings(flat)
			}
		})
	}
}
