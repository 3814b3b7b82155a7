package config

import "time"

// effectDeduplicated is the effect of a category whose worker groups drop the repeats of an op.
const effectDeduplicated = "deduplicated"

// CategoryRule is how often an op of a category may run.
type CategoryRule struct {
	Effect string        // as the settings have it: "redeliverable", "deduplicated", "at-most-once" or empty
	Window time.Duration // how long after the first attempt a worker group drops repeats; 0 where none does
	Scope  string        // the worker group: "all", "zone" or "cell"; empty where repeats are not dropped
}

// Categories returns the names of the categories that are served, in their order.
func (s *Bootstrap) Categories() (names []string) {
	for i := 0; ; i++ {
		name, ok := s.Settings.Text(ItemKey(KeyCategories, i, KeyCategoryName))
		if !ok {
			return names
		}
		names = append(names, name)
	}
}

// CategoryRules returns the rules of the categories that are served, by name. Of two categories with one
// name the last one is served.
func (s *Bootstrap) CategoryRules() map[string]CategoryRule {
	rules := map[string]CategoryRule{}
	for i, name := range s.Categories() {
		rules[name] = s.categoryRule(i)
	}
	return rules
}

func (s *Bootstrap) categoryRule(index int) (rule CategoryRule) {
	rule.Effect, _ = s.Settings.Text(ItemKey(KeyCategories, index, KeyCategoryEffect))
	if rule.Effect != effectDeduplicated {
		return rule
	}
	rule.Window = s.Settings.Duration(ItemKey(KeyCategories, index, KeyCategoryWindow), 0)
	rule.Scope, _ = s.Settings.Text(ItemKey(KeyCategories, index, KeyCategoryScope))
	return rule
}

// LongestTTL returns the longest TTL of all categories: no op is open for longer.
func (s *Bootstrap) LongestTTL() (longest time.Duration) {
	for i := 0; ; i++ {
		key := ItemKey(KeyCategories, i, KeyCategoryTTL)
		if s.Settings[key] == nil {
			return longest
		}
		longest = max(longest, s.Settings.Duration(key, 0))
	}
}
