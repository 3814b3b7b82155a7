// Package config holds the terms under which a scheduler works: the site's settings as a flat map of names to
// values, and what the fields of a load report mean. Every front hands them to the module in this form.
package config

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"woaddyke/dispatch"
)

// Tenth is a tenth of a millisecond in nanoseconds.
const Tenth = 100_000

// RoundDown and Up round towards the safe side: what must not be overstepped down, the clock up.
func RoundDown(ns int64) dispatch.Time {
	q := ns / Tenth
	if ns%Tenth < 0 {
		q--
	}
	return dispatch.Time(q)
}

// RoundUp rounds to the next tenth of a millisecond.
func RoundUp(ns int64) dispatch.Time { return -RoundDown(-ns) }

// IdentityHash makes a number of a name, the same at every scheduler; never 0.
func IdentityHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return max(h.Sum64(), 1)
}

// digits of messages between schedulers.
const digits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"

// WorkerTag stands for a worker in messages: short, since each byte is paid for.
func WorkerTag(worker string) string {
	h := IdentityHash(worker)
	return string([]byte{digits[h>>6&63], digits[h>>12&63], digits[h>>18&63]})
}

// EncodePeerReport is a message: how many pushes to a worker are out here.
func EncodePeerReport(worker string, n int) string {
	return WorkerTag(worker) + digits[min(n, 63):][:1]
}

// DecodePeerReport reads a message; false where it is none, or of a worker that is not known here.
func DecodePeerReport(text string, tags map[string]int) (worker, n int, ok bool) {
	if len(text) != 4 {
		return 0, 0, false
	}
	worker, ok = tags[text[:3]]
	n = strings.IndexByte(digits, text[3])
	return worker, n, ok && n >= 0
}

// Flatten names each value of the settings by its path.
func Flatten(settings map[string]any) map[string]any {
	terms := map[string]any{}
	flatten(terms, "", settings)
	return terms
}

// flatten lets durations lose their unit suffix and become tenths of a millisecond.
func flatten(terms map[string]any, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flatten(terms, strings.TrimPrefix(path+"."+k, "."), e)
		}
	case []any:
		for i, e := range v {
			flatten(terms, path+"."+strconv.Itoa(i), e)
		}
	case float64:
		if name, isTime := strings.CutSuffix(path, "Ns"); isTime {
			terms[name] = float64(RoundDown(int64(v)))
		} else {
			terms[path] = v
		}
	case string:
		switch v {
		case "retryable":
			v = "redeliverable"
		case "dedup":
			v = "deduplicated"
		case "fragile":
			v = "at-most-once"
		}
		terms[path] = v
	default:
		terms[path] = v
	}
}

// StringList is a list of names in the settings, such as the zones.
func StringList(terms map[string]any, name string) (row []string) {
	for i := 0; ; i++ {
		v, ok := terms[fmt.Sprintf("%s.%d", name, i)].(string)
		if !ok {
			return row
		}
		row = append(row, v)
	}
}

// ReportFormat tells what the values of a load report mean.
type ReportFormat struct{ names, meanings []string }

// ReportFormatOf finds the fields that a site's reports have.
func ReportFormatOf(terms map[string]any) ReportFormat {
	r := ReportFormat{names: StringList(terms, "report.fields")}
	for _, f := range r.names {
		if f == "x0" || f == "x1" {
			f, _ = terms["extra.report"+strings.ToUpper(f)].(string)
		}
		r.meanings = append(r.meanings, f)
	}
	return r
}

// FromRow is a report that came as a row of values, in the order of the fields.
func (r ReportFormat) FromRow(row []float64) dispatch.LoadReport {
	load := dispatch.LoadReport{RunningJobs: -1, QueuedJobs: -1, FreeSlots: -1, FreeMemory: -1}
	for i, f := range r.meanings[:min(len(r.meanings), len(row))] {
		switch f {
		case "busy_reqs":
			load.RunningJobs = row[i]
		case "pending":
			load.QueuedJobs = row[i]
		case "free slots":
			load.FreeSlots = row[i]
		case "free memory":
			load.FreeMemory = row[i]
		}
	}
	return load
}

// FromJSON is a report that came as an object with the fields' names. What it lacks was not reported.
func (r ReportFormat) FromJSON(object []byte) (dispatch.LoadReport, error) {
	values := map[string]json.Number{}
	if len(object) > 0 {
		if err := json.Unmarshal(object, &values); err != nil {
			return r.FromRow(nil), fmt.Errorf("load report: %w", err)
		}
	}
	row := make([]float64, len(r.names))
	for i, f := range r.names {
		v, err := values[f].Float64()
		if row[i] = v; err != nil {
			row[i] = -1
		}
	}
	return r.FromRow(row), nil
}

// ItemKey is the name of a value in the i-th object of a list.
func ItemKey(list string, i int, name string) string {
	return list + "." + strconv.Itoa(i) + "." + name
}
