package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	mostCategories = 2048 // in one file
	mostPushes     = 1000 // of one op
	longestTTL     = 24 * time.Hour
)

// counts checks the figures without which no op can be kept to its rules.
func (s *Bootstrap) counts() error {
	positive := func(in map[string]any, name, at string, most float64) error {
		v, there := in[name]
		n, ok := v.(float64)
		if there && (!ok || n <= 0) {
			return fmt.Errorf("%s%s: %v is no number above 0", at, name, v)
		}
		if n > most {
			return fmt.Errorf("%s%s: %g is over %g", at, name, n, most)
		}
		return nil
	}
	var err error
	list, _ := s.RawSettings["categories"].([]any)
	if len(list) > mostCategories {
		err = fmt.Errorf("%d categories, at most %d are served", len(list), mostCategories)
	}
	for i, c := range list {
		one, _ := c.(map[string]any)
		at := fmt.Sprintf("categories.%d.", i)
		err = errors.Join(err, positive(one, "ttlNs", at, float64(longestTTL)),
			positive(one, "targetLatencyNs", at, float64(longestTTL)))
	}
	bounds, _ := s.RawSettings["bounds"].(map[string]any)
	if n, ok := bounds["maxPushes"].(float64); ok && n > 0 && n < 1 {
		return fmt.Errorf("bounds.maxPushes: %g is no push", n)
	}
	return errors.Join(err, positive(bounds, "maxPushes", "bounds.", mostPushes))
}

// CheckReload tells what keeps this sheet from taking the place of one in force: a key that it lacks, or a value of another kind.
// A file that was cut or slipped in editing must not be half in force.
func (s *Bootstrap) CheckReload(before *Bootstrap) error {
	was, is := maps.Clone(before.raw), maps.Clone(s.raw)
	if _, there := is["known"]; there {
		delete(was, "known") // the workers come and go
	}
	return lacks("", was, is)
}

// lacks finds a key of one object that another of the same kind has not.
func lacks(path string, was, is any) error {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", path)
		}
		for _, k := range slices.Sorted(maps.Keys(was)) {
			at := strings.TrimPrefix(path+"."+k, ".")
			v, there := is[k]
			if !there || v == nil && was[k] != nil {
				return fmt.Errorf("%s is missing", at)
			}
			if err := lacks(at, was[k], v); err != nil {
				return err
			}
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", path)
		}
		if common := inAll(was); common != nil {
			for i, v := range is {
				if err := lacks(fmt.Sprintf("%s.%d", path, i), common, v); err != nil {
					return err
				}
			}
		}
	case float64:
		if _, ok := is.(float64); !ok {
			return fmt.Errorf("%s: %v is no number", path, is)
		}
	case string:
		if _, ok := is.(string); !ok {
			return fmt.Errorf("%s: %v is no text", path, is)
		}
	case bool:
		if _, ok := is.(bool); !ok {
			return fmt.Errorf("%s: %v is neither true nor false", path, is)
		}
	}
	return nil
}

// inAll are the keys that all objects of a list have, nil where it holds anything else.
func inAll(list []any) any {
	var common map[string]any
	for _, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(k string, _ any) bool { return o[k] == nil })
	}
	if common == nil {
		return nil
	}
	return common
}

// CategoriesChanged tells whether this sheet's categories or pushes differ from another's, and whether any of the rest of what only a
// restart takes up does.
func (s *Bootstrap) CategoriesChanged(before *Bootstrap) (retunes, rest bool) {
	now := func(k string) bool {
		return strings.HasPrefix(k, "categories.") || strings.HasPrefix(k, "extra.class") || k == "bounds.maxPushes"
	}
	rest = s.Listen != before.Listen || s.Limits != before.Limits || s.Console != before.Console
	lacks := func(a, b map[string]any) {
		for k, v := range a {
			if w, there := b[k]; !there || v != w {
				retunes, rest = retunes || now(k), rest || !now(k)
			}
		}
	}
	lacks(s.Settings, before.Settings)
	lacks(before.Settings, s.Settings)
	return retunes, rest
}
