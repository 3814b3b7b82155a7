package dispatch

import (
	"slices"

	"woaddyke/internal/base/stats"
)

// ShadowedDecision is a kind of decision that is repeated under shadow settings.
type ShadowedDecision int

// The kinds: the pair of workers probed, the worker pushed to, and a report to another scheduler.
const (
	ShadowedPair ShadowedDecision = iota
	ShadowedPlacement
	ShadowedReport
	shadowedDecisions
)

// shadow repeats decisions under other settings and counts those that differ.
type shadow struct {
	settings   *Settings // nil where nothing is repeated
	divergence [shadowedDecisions]int
}

// exchangesPeerReports reports whether schedulers would report to each other under the shadow settings.
func (s *shadow) exchangesPeerReports() bool {
	return s.settings != nil && s.settings.exchangesPeerReports()
}

// SetShadowSettings has this dispatcher count how often other settings would have had it decide otherwise.
func (d *Dispatcher) SetShadowSettings(settings Settings) { d.shadow.settings = &settings }

// ShadowDivergence returns the number of decisions of each kind that shadow settings would have changed.
func (d *Dispatcher) ShadowDivergence() [shadowedDecisions]int { return d.shadow.divergence }

// withShadow decides, where there are shadow settings first under these, with the same random numbers.
// Peer reports are never received under them, so they decide as if there were none.
func (d *Dispatcher) withShadow(kind ShadowedDecision, decide func() []int) []int {
	if d.shadow.settings == nil {
		return decide()
	}
	settings, random := d.settings, d.random
	d.settings, d.settings.PeerMessages = *d.shadow.settings, false
	underShadow := decide()
	d.settings, d.random = settings, random
	decided := decide()
	d.shadow.divergence[kind] += stats.Bit(!slices.Equal(underShadow, decided))
	return decided
}
