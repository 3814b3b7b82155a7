package config

import (
	"strconv"

	"woaddyke/dispatch"
)

// defaultAcknowledgeTimeout applies if the settings have no bounds.connectTimeout.
const defaultAcknowledgeTimeout dispatch.Time = 10_000 // 1 s

// DecisionSettings converts the flat settings to those that the dispatch decisions use.
func DecisionSettings(flat map[string]any) dispatch.Settings {
	s := dispatch.Settings{
		Categories:         categoryRules(flat),
		MaxAttempts:        int(number(flat, "bounds.maxPushes", 1)),
		Scheduler:          int(number(flat, "myNumber", 0)),
		Schedulers:         int(number(flat, "instances", 1)),
		Zone:               int(number(flat, "myZone", 0)),
		TickInterval:       duration(flat, "step", 0),
		DialTimeout:        duration(flat, "bounds.connectTimeout", 0),
		AcknowledgeTimeout: duration(flat, "bounds.connectTimeout", defaultAcknowledgeTimeout),
		ProgressInterval:   duration(flat, "extra.progress", 0),
		SlowStart: dispatch.SlowStartSettings{
			WarmAfter:       duration(flat, "safety.warmAfter", 0),
			InitialCapacity: number(flat, "safety.coldFrom", 1),
			OverloadFactor:  number(flat, "safety.overloadFactor", 1),
			OverloadWindow:  duration(flat, "safety.tipAfter", 0),
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
		s.MaxRetryAfter = duration(flat, "bounds.maxRetryAfter", 0)
	}
	return s
}

// categoryRules reads the categories, up to the first index without a TTL.
func categoryRules(flat map[string]any) (list []dispatch.CategoryRules) {
	for i := 0; ; i++ {
		rules, ok := categoryRulesAt(flat, i)
		if !ok {
			return list
		}
		list = append(list, rules)
	}
}

// categoryRulesAt reads the category at an index. ok is false if the category has no TTL. The keys are built
// in one buffer, since each reload reads hundreds of categories.
func categoryRulesAt(flat map[string]any, i int) (rules dispatch.CategoryRules, ok bool) {
	n := strconv.Itoa(i)
	prefix := append(make([]byte, 0, 64), "categories."+n+"."...)
	value := func(name string) any { return flat[string(append(prefix, name...))] }
	numberOf := func(name string, fallback float64) float64 { return asNumber(value(name), fallback) }
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

func number(flat map[string]any, key string, fallback float64) float64 {
	return asNumber(flat[key], fallback)
}

func duration(flat map[string]any, key string, fallback dispatch.Time) dispatch.Time {
	return dispatch.Time(number(flat, key, float64(fallback)))
}

func asNumber(value any, fallback float64) float64 {
	if v, ok := value.(float64); ok {
		return v
	}
	return fallback
}
