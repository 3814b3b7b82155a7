// Package schedulers manages the schedulers under test. It writes their configuration and starts, signals,
// stops and kills their processes.
package schedulers

import (
	"encoding/json"
	"fmt"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

// BootstrapConfig is the bootstrap configuration of a scheduler in the platform's format.
type BootstrapConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Console   string          `json:"console,omitempty"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Endpoints json.RawMessage `json:"known"`
	Settings  map[string]any  `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// effectNames maps the ledger's names of effects to those of the bootstrap configuration.
var effectNames = map[string]string{ledger.Redeliverable: "retryable", ledger.Deduplicated: "dedup",
	ledger.AtMostOnce: "fragile"}

// ChangeSettings applies a numbered settings change: it changes the benefit of the first category by a factor
// that is too small to affect any decision.
func (s *BootstrapConfig) ChangeSettings(number int) {
	if first, ok := s.Settings["categories"].([]any)[0].(map[string]any); ok {
		first["benefit"] = first["benefit"].(float64) * (1 + float64(number)*1e-9)
	}
}

// NewBootstrapConfig returns the bootstrap configuration of the n-th scheduler, counted from 0. Start is the
// number of this start and varies the seed.
func NewBootstrapConfig(e *experiment.Experiment, n int, start uint64, listen, discovery string,
	endpoints json.RawMessage,
) *BootstrapConfig {
	s, r := &e.Schedulers, &e.Rules
	ns := func(ms float64) float64 { return float64(int64(ms * 1e6)) }
	var categories []any
	var stretch []any
	for _, c := range e.Categories {
		m := map[string]any{"name": c.Name, "effect": effectNames[c.Effect], "benefit": c.Benefit,
			"targetLatencyNs": ns(c.TargetMS), "ttlNs": ns(c.TTLMS), "tardyBenefit": c.LateBenefit}
		if c.Effect == ledger.Deduplicated {
			m["dedupScope"], m["windowNs"] = c.Scope, ns(c.WindowMS)
		}
		categories, stretch = append(categories, m), append(stretch, c.Stretch)
	}
	var zones []any
	for _, z := range e.Zones {
		zones = append(zones, z)
	}
	progress := 0.0
	for _, w := range e.Workers {
		progress = max(progress, w.ProgressMS)
	}
	fields := []any{"pending", "busy_reqs", "x0"}
	for _, c := range e.Categories {
		if c.Memory > 0 {
			fields = append(fields[:3:3], "x1")
		}
	}
	settings := map[string]any{
		"benefitPer": "work",
		"bounds": map[string]any{"cancel": s.Cancel, "connectTimeoutNs": ns(s.ConnectTimeoutMS), "keepaliveNs": ns(s.KeepaliveMS),
			"maxPushes": s.MaxPushes, "maxRetryAfterNs": ns(s.MaxRetryAfterMS), "probes": s.Probes, "retryAfter": s.MaxRetryAfterMS > 0},
		"categories": categories, "discovery": "pushed",
		"extra": map[string]any{"classStretch": stretch, "progressNs": ns(progress), "reportX0": "free slots",
			"reportX1": "free memory", "tellsStart": true},
		"failureDomains": zones, "myZone": n % len(e.Zones), "prices": map[string]any{"crossZone": s.CrossPrice},
		"report": map[string]any{"fields": fields, "how": "on_probe"},
		"safety": map[string]any{"askEveryNs": 1e10, "coldFrom": r.ColdFrom, "drainGraceNs": ns(r.DrainGraceMS),
			"overloadFactor": r.OverloadFactor, "tipAfterNs": ns(r.TipAfterMS), "warmAfterNs": ns(r.WarmAfterMS)},
		"stepNs": ns(s.StepMS),
	}
	return &BootstrapConfig{Name: fmt.Sprintf("n%d", n+1), Listen: listen, Discovery: discovery, Endpoints: endpoints, Settings: settings,
		Seed:   fmt.Sprintf("%016x", (e.Seed*0x9e3779b97f4a7c15+uint64(n)*0x100000001b3+start)|1),
		Limits: limits{s.Cores, s.MemoryMB, s.Sockets}}
}
