package config

import (
	"strconv"

	"woaddyke/dispatch"
)

// defaultAcknowledgeTimeout stands in where the settings limit no dial.
const defaultAcknowledgeTimeout dispatch.Time = 10_000 // 1 s

// DecisionSettings is the part of the flat settings that decisions rest on.
func DecisionSettings(flat map[string]any) dispatch.Settings {
	s := dispatch.Settings{
		Categories:         categoryRules(flat),
		MaxAttempts:        int(number(flat, "bounds.maxPushes", 1)),
		Scheduler:          int(number(flat, "myNumber", 0)),
		Schedulers:         int(number(flat, "instances", 1)),
		Zone:               int(number(flat, "myZone", 0)),
		TickInterval:       span(flat, "step", 0),
		DialTimeout:        span(flat, "bounds.connectTimeout", 0),
		AcknowledgeTimeout: span(flat, "bounds.connectTimeout", defaultAcknowledgeTimeout),
		ProgressInterval:   span(flat, "extra.progress", 0),
		SlowStart: dispatch.SlowStartSettings{
			WarmAfter:       span(flat, "safety.warmAfter", 0),
			InitialCapacity: number(flat, "safety.coldFrom", 1),
			OverloadFactor:  number(flat, "safety.overloadFactor", 1),
			OverloadWindow:  span(flat, "safety.tipAfter", 0),
		},
		CrossZonePrice:  number(flat, "prices.crossZone", 0),
		ConnectionPrice: number(flat, "prices.connection", 0),
		Probes:          flat["bounds.probes"] == true,
		CancelsAttempts: flat["bounds.cancel"] == true,
		ReportsStarts:   flat["extra.tellsStart"] == true,
		PeerMessages:    flat["bounds.peerMessages"] == true,
		AffinityKeys:    flat["keys"] == true,
		BenefitPerWork:  flat["benefitPer"] == "work",
	}
	if flat["bounds.retryAfter"] == true {
		s.MaxRetryAfter = span(flat, "bounds.maxRetryAfter", 0)
	}
	return s
}

// categoryRules reads the categories, up to the first number without a TTL.
func categoryRules(flat map[string]any) (all []dispatch.CategoryRules) {
	for i := 0; ; i++ {
		rules, ok := categoryRulesAt(flat, i)
		if !ok {
			return all
		}
		all = append(all, rules)
	}
}

// categoryRulesAt builds its keys in one buffer: hundreds of categories are read at each reload.
func categoryRulesAt(flat map[string]any, i int) (rules dispatch.CategoryRules, ok bool) {
	n := strconv.Itoa(i)
	prefix := append(make([]byte, 0, 64), "categories."+n+"."...)
	value := func(name string) any { return flat[string(append(prefix, name...))] }
	numberOf := func(name string, missing float64) float64 { return asNumber(value(name), missing) }
	if _, ok = flat[string(append(prefix, "ttl"...))]; !ok {
		return rules, false
	}
	rules = dispatch.CategoryRules{
		TTL:              dispatch.Time(numberOf("ttl", 0)),
		LatencyObjective: dispatch.Time(numberOf("targetLatency", 0)),
		DedupWindow:      dispatch.Time(numberOf("window", 0)),
		Benefit:          numberOf("benefit", 1),
		Stretch:          number(flat, "extra.classStretch."+n, 0),
	}
	rules.Name, _ = value("name").(string)
	effect, _ := value("effect").(string)
	scope, _ := value("dedupScope").(string)
	rules.Effect, rules.DedupScope = dispatch.Effect(effect), dispatch.DedupScope(scope)
	return rules, true
}

func number(flat map[string]any, key string, missing float64) float64 {
	return asNumber(flat[key], missing)
}

func span(flat map[string]any, key string, missing dispatch.Time) dispatch.Time {
	return dispatch.Time(number(flat, key, float64(missing)))
}

func asNumber(value any, missing float64) float64 {
	if v, ok := value.(float64); ok {
		return v
	}
	return missing
}
