// Package config has the bootstrap configuration that a scheduler reads at its start: its file, the
// deployment's settings as a flat map, the rules of categories, and what of it may change while a
// scheduler serves.
package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Keys of the settings that are read by name, as paths within the flat map. Those of durations lack the
// file's suffix "Ns".
const (
	KeyInstances       = "instances"             // number: how many schedulers the deployment has
	KeyMyNumber        = "myNumber"              // number: this scheduler among them, from 0
	KeyMyZone          = "myZone"                // number: the zone of this scheduler
	KeyDiscovery       = "discovery"             // text: how workers are listed; "on_request" or pushed
	KeyPeerMessages    = "bounds.peerMessages"   // boolean: schedulers may report to one another
	KeyMaxPushes       = "bounds.maxPushes"      // number: attempts of one op
	KeyCancel          = "bounds.cancel"         // boolean: attempts may be cancelled
	KeyConnectTimeout  = "bounds.connectTimeout" // duration: for a connection to a worker
	KeyKeepAlive       = "bounds.keepalive"      // duration: of an idle connection to a worker
	KeyConnectionPrice = "prices.connection"     // number: cost of a connection, in units of priority weight
	KeyDrainGrace      = "safety.drainGrace"     // duration: of a draining worker, until its end
	KeyReportFields    = "report.fields"         // list of texts: the fields of a load report
	KeyReportHow       = "report.how"            // text: "inline", or as a call of its own
	KeyCategories      = "categories"            // list of objects, see the keys of a category

	KeyAffinity     = "keys"  // boolean, derived: affinity keys are read
	KeyMachineKinds = "kinds" // boolean, derived: speeds by kind of machine

	keyExtraReportField = "extra.report" // text, with X0 or X1 after it: the meaning of that field
)

// Keys of one category, below KeyCategories and its index.
const (
	KeyCategoryName   = "name"       // text
	KeyCategoryTTL    = "ttl"        // duration
	KeyCategoryEffect = "effect"     // text: how often an op may run
	KeyCategoryWindow = "window"     // duration: in which repeats of an op are dropped
	KeyCategoryScope  = "dedupScope" // text: which worker group drops them
)

// nanosecondsSuffix ends the name of a duration in the file. The flat map has the name without it.
const nanosecondsSuffix = "Ns"

// effectAliases are older words for the effect of a category.
var effectAliases = map[string]string{
	"retryable": "redeliverable",
	"dedup":     "deduplicated",
	"fragile":   "at-most-once",
}

// Settings are a deployment's parameters: a flat map from the path of a key to a number, a text or a
// boolean. Durations are in tenths of a millisecond.
type Settings map[string]any

// Flatten names each value of nested settings by its path, such as "categories.0.ttl".
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

// Number returns a number. ok is false where the settings have none under the key.
func (s Settings) Number(key string) (number float64, ok bool) {
	number, ok = s[key].(float64)
	return number, ok
}

// Text returns a text. ok is false where the settings have none under the key.
func (s Settings) Text(key string) (text string, ok bool) {
	text, ok = s[key].(string)
	return text, ok
}

// Enabled tells whether a boolean is there and true.
func (s Settings) Enabled(key string) bool { return s[key] == true }

// Duration returns a duration, or the fallback where the settings have none above 0 under the key.
func (s Settings) Duration(key string, fallback time.Duration) time.Duration {
	if tenths, ok := s.Number(key); ok && tenths > 0 {
		return time.Duration(tenths) * Tenth
	}
	return fallback
}

// ItemKey is the path of a key in the object at an index of a list.
func ItemKey(list string, index int, key string) string {
	return list + "." + strconv.Itoa(index) + "." + key
}

// StringList returns a list of texts, such as the zones.
func StringList(settings map[string]any, key string) (list []string) {
	for i := 0; ; i++ {
		text, ok := settings[fmt.Sprintf("%s.%d", key, i)].(string)
		if !ok {
			return list
		}
		list = append(list, text)
	}
}
