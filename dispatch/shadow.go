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
	shadowedDecisionCount
)

// shadow repeats decisions under other settings and counts the decisions that differ.
type shadow struct {
	settings   *Settings // nil if no decision is repeated
	divergence [shadowedDecisionCount]int
}

// exchangesPeerReports reports whether schedulers would report to each other under the shadow settings.
func (s *shadow) exchangesPeerReports() bool {
	return s.settings != nil && s.settings.exchangesPeerReports()
}

// SetShadowSettings makes this dispatcher count its decisions that would differ under other settings.
func (d *Dispatcher) SetShadowSettings(settings Settings) { d.shadow.settings = &settings }

// ShadowDivergence returns the number of decisions of each kind that would differ under the shadow
// settings.
func (d *Dispatcher) ShadowDivergence() [shadowedDecisionCount]int { return d.shadow.divergence }

// withShadow makes a decision. If there are shadow settings, it first makes the decision under these, with
// the same random numbers, and counts a difference. No peer reports are received on behalf of shadow
// settings, so the decision under them does not use any.
func (d *Dispatcher) withShadow(kind ShadowedDecision, decide func() []int) []int {
	if d.shadow.settings == nil {
		return decide()
	}
	settings, random := d.settings, d.random
	d.settings, d.settings.PeerMessages = *d.shadow.settings, false
	underShadow := decide()
	d.settings, d.random = settings, random
	decided := decide()
	d.shadow.divergence[kind] += stats.BoolToInt(!slices.Equal(underShadow, decided))
	return decided
}
