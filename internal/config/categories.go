package config

import "time"

// effectDeduplicated is the effect of a category whose worker groups drop duplicates of an op.
const effectDeduplicated = "deduplicated"

// CategoryRule says how often an op of a category may run.
type CategoryRule struct {
	Effect string        // "redeliverable", "deduplicated", "at-most-once" or empty
	Window time.Duration // time after the first attempt in which duplicates are dropped; 0 if none are dropped
	Scope  string        // worker group that drops duplicates: "all", "zone" or "cell"; empty if none does
}

// Categories returns the names of the categories in the settings, in the order of the settings.
func (s *Bootstrap) Categories() (names []string) {
	for i := 0; ; i++ {
		name, ok := s.Settings.Text(ItemKey(KeyCategories, i, KeyCategoryName))
		if !ok {
			return names
		}
		names = append(names, name)
	}
}

// CategoryRules returns the rules of the categories by name. If two categories have the same name, the
// rules of the last one apply.
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

// LongestTTL returns the longest TTL of all categories. No op is open for longer than that.
func (s *Bootstrap) LongestTTL() (longest time.Duration) {
	for i := 0; ; i++ {
		key := ItemKey(KeyCategories, i, KeyCategoryTTL)
		if s.Settings[key] == nil {
			return longest
		}
		longest = max(longest, s.Settings.Duration(key, 0))
	}
}
