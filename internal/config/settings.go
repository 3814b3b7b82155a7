// Package config reads the bootstrap configuration of a scheduler: its file, the deployment's settings as a
// flat map, the rules of categories, and the settings that may change without a restart.
package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Keys of the settings, as paths within the flat map. The keys of durations omit the suffix "Ns" that they
// have in the file.
const (
	KeyInstances       = "instances"             // number: count of schedulers in the deployment
	KeyMyNumber        = "myNumber"              // number: index of this scheduler, from 0
	KeyMyZone          = "myZone"                // number: the zone of this scheduler
	KeyDiscovery       = "discovery"             // text: endpoint lists are "on_request" or "pushed"
	KeyPeerMessages    = "bounds.peerMessages"   // boolean: schedulers may exchange peer reports
	KeyMaxPushes       = "bounds.maxPushes"      // number: maximum attempts of one op
	KeyCancel          = "bounds.cancel"         // boolean: attempts may be cancelled
	KeyConnectTimeout  = "bounds.connectTimeout" // duration: timeout of a dial to a worker
	KeyKeepAlive       = "bounds.keepalive"      // duration: lifetime of an idle connection to a worker
	KeyConnectionPrice = "prices.connection"     // number: cost of a connection, in units of priority weight
	KeyDrainGrace      = "safety.drainGrace"     // duration: from the start of a worker's drain to its end
	KeyReportFields    = "report.fields"         // list of texts: the fields of a load report
	KeyReportHow       = "report.how"            // text: "inline" if the ends of attempts have load reports
	KeyCategories      = "categories"            // list of objects with the keys of a category

	KeyAffinity     = "keys"  // boolean, derived: affinity keys are read
	KeyMachineKinds = "kinds" // boolean, derived: learn speeds by kind of machine

	keyExtraReportField = "extra.report" // text: meaning of the extra field x0 or x1; the key ends in X0 or X1
)

// Keys of one category, after KeyCategories and the index of the category.
const (
	KeyCategoryName   = "name"       // text
	KeyCategoryTTL    = "ttl"        // duration
	KeyCategoryEffect = "effect"     // text: how often an op may run
	KeyCategoryWindow = "window"     // duration: time in which duplicates of an op are dropped
	KeyCategoryScope  = "dedupScope" // text: the worker group in which duplicates are dropped
)

// nanosecondsSuffix is the suffix of a duration's key in the file. The key in the flat map omits it.
const nanosecondsSuffix = "Ns"

// effectAliases maps older names for the effect of a category to the current names.
var effectAliases = map[string]string{
	"retryable": "redeliverable",
	"dedup":     "deduplicated",
	"fragile":   "at-most-once",
}

// Settings are a deployment's parameters: a flat map from a key's path to a number, a text or a boolean.
// Durations are in tenths of a millisecond.
type Settings map[string]any

// Flatten returns nested settings as a flat map. Each key is a path such as "categories.0.ttl". A duration in
// nanoseconds, whose key has the suffix "Ns" in the file, gets a key without the suffix. Its value is rounded
// down to tenths of a millisecond. Aliases of effects are replaced by the current names.
func Flatten(nested map[string]any) map[string]any {
	flat := map[string]any{}
	flatten(flat, "", nested)
	return flat
}

func flatten(flat map[string]any, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			flatten(flat, strings.TrimPrefix(path+"."+key, "."), element)
		}
	case []any:
		for i, element := range value {
			flatten(flat, path+"."+strconv.Itoa(i), element)
		}
	case float64:
		if name, isDuration := strings.CutSuffix(path, nanosecondsSuffix); isDuration {
			flat[name] = float64(RoundDown(int64(value)))
		} else {
			flat[path] = value
		}
	case string:
		if effect, isAlias := effectAliases[value]; isAlias {
			value = effect
		}
		flat[path] = value
	default:
		flat[path] = value
	}
}

// Number returns the number under a key. ok is false if the key has no number.
func (s Settings) Number(key string) (number float64, ok bool) {
	number, ok = s[key].(float64)
	return number, ok
}

// Text returns the text under a key. ok is false if the key has no text.
func (s Settings) Text(key string) (text string, ok bool) {
	text, ok = s[key].(string)
	return text, ok
}

// Enabled reports whether the value under a key is true.
func (s Settings) Enabled(key string) bool { return s[key] == true }

// Duration returns the duration under a key. It returns the fallback if the duration is missing or not above
// 0.
func (s Settings) Duration(key string, fallback time.Duration) time.Duration {
	if tenths, ok := s.Number(key); ok && tenths > 0 {
		return time.Duration(tenths) * Tenth
	}
	return fallback
}

// ItemKey returns the path of a key in the object at an index of a list.
func ItemKey(list string, index int, key string) string {
	return list + "." + strconv.Itoa(index) + "." + key
}

// StringList returns the list of texts under a key, such as the zones.
func StringList(settings map[string]any, key string) (list []string) {
	for i := 0; ; i++ {
		text, ok := settings[fmt.Sprintf("%s.%d", key, i)].(string)
		if !ok {
			return list
		}
		list = append(list, text)
	}
}
