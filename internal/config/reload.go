package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CheckReload checks that this configuration may replace the one in force: each key of the configuration in
// force must be present, with a value of the same type. A file that was truncated or damaged in editing
// must not come into force in part.
func (s *Bootstrap) CheckReload(inForce *Bootstrap) error {
	before, after := maps.Clone(inForce.raw), maps.Clone(s.raw)
	if _, exists := after["known"]; exists {
		delete(before, "known") // only its presence is required: the endpoint list changes at any time
	}
	return checkSameKeys("", before, after)
}

// checkSameKeys returns the first key below path that is missing from the new value or has another type.
func checkSameKeys(path string, before, after any) error {
	switch before := before.(type) {
	case map[string]any:
		return checkSameObject(path, before, after)
	case []any:
		return checkSameList(path, before, after)
	case float64:
		return checkSameKind[float64](path, "a number", after)
	case string:
		return checkSameKind[string](path, "a text", after)
	case bool:
		return checkSameKind[bool](path, "true or false", after)
	}
	return nil
}

func checkSameObject(path string, before map[string]any, after any) error {
	object, ok := after.(map[string]any)
	if !ok {
		return &ConfigError{Key: path, Problem: "must be an object"}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		value, exists := object[key]
		if !exists || value == nil && before[key] != nil {
			return missing(keyPath)
		}
		if err := checkSameKeys(keyPath, before[key], value); err != nil {
			return err
		}
	}
	return nil
}

// checkSameList checks that each object of a list has the keys that all its objects had before. The length
// of the list may change.
func checkSameList(path string, before []any, after any) error {
	list, ok := after.([]any)
	if !ok {
		return &ConfigError{Key: path, Problem: "must be a list"}
	}
	common := commonKeys(before)
	if common == nil {
		return nil
	}
	for i, entry := range list {
		if err := checkSameObject(fmt.Sprintf("%s.%d", path, i), common, entry); err != nil {
			return err
		}
	}
	return nil
}

func checkSameKind[T any](path, description string, after any) error {
	if _, ok := after.(T); ok {
		return nil
	}
	return invalid(path, after, "must be %s", description)
}

// commonKeys returns the keys that have a value in all objects of a list, with their values in the first
// object. It returns nil if the list is empty or has an entry that is not an object.
func commonKeys(list []any) (common map[string]any) {
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}

// categoryExtrasPrefix is the prefix of the keys of settings that have one entry for each category, but are
// not in the list of categories.
const categoryExtrasPrefix = "extra.class"

// reloadable reports whether a setting can change without a restart.
func reloadable(key string) bool {
	return strings.HasPrefix(key, KeyCategories+".") ||
		strings.HasPrefix(key, categoryExtrasPrefix) ||
		key == KeyMaxPushes
}

// CompareSettings compares this configuration with the one in force. reload reports whether a setting
// differs that can change without a restart. restart reports whether anything differs that needs one.
func (s *Bootstrap) CompareSettings(inForce *Bootstrap) (reload, restart bool) {
	restart = s.Listen != inForce.Listen || s.Limits != inForce.Limits || s.Console != inForce.Console
	compare := func(settings, others Settings) {
		for key, value := range settings {
			if other, exists := others[key]; exists && value == other {
				continue
			}
			if reloadable(key) {
				reload = true
			} else {
				restart = true
			}
		}
	}
	compare(s.Settings, inForce.Settings)
	compare(inForce.Settings, s.Settings)
	return reload, restart
}
