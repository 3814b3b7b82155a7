package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CheckReload checks that this configuration may take the place of the one in force: it must not lack a
// key of that one or have a value of another kind for it. A file that was cut or damaged in editing must
// not come into force in part.
func (s *Bootstrap) CheckReload(inForce *Bootstrap) error {
	before, after := maps.Clone(inForce.raw), maps.Clone(s.raw)
	if _, exists := after["known"]; exists {
		delete(before, "known") // the list of workers changes
	}
	return checkSameKeys("", before, after)
}

// checkSameKeys returns the first difference between two values of the file that only damage explains.
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

// checkSameList checks the entries of a list of objects for the keys that all objects had before. The
// length may change.
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

func checkSameKind[kind any](path, description string, after any) error {
	if _, ok := after.(kind); ok {
		return nil
	}
	return invalid(path, after, "must be %s", description)
}

// commonKeys returns the keys that all objects of a list have, each with a value. It returns nil where
// the list is empty or has entries that are no objects.
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

// categoryExtrasPrefix begins the keys of settings beside the categories that have an entry for each of
// them.
const categoryExtrasPrefix = "extra.class"

// reloadable tells whether a setting changes while the scheduler serves.
func reloadable(key string) bool {
	return strings.HasPrefix(key, KeyCategories+".") ||
		strings.HasPrefix(key, categoryExtrasPrefix) ||
		key == KeyMaxPushes
}

// CompareSettings compares with the configuration in force. reload tells whether settings differ that
// change while the scheduler serves, restart whether anything differs that changes only at the next
// start.
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
