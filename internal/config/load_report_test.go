package config

import (
	"testing"

	"woaddyke/dispatch"
)

// A value that a report lacks must not be taken for none waiting and nothing free.
func TestMissingReportFieldIsNotZero(t *testing.T) {
	r := ReportFormatOf(Flatten(map[string]any{
		"report": map[string]any{"fields": []any{"pending", "busy_reqs", "x1"}},
		"extra":  map[string]any{"reportX1": "free slots"},
	}))
	want := dispatch.LoadReport{RunningJobs: 3, QueuedJobs: -1, FreeSlots: 2, FreeMemory: -1}
	if got, err := r.FromJSON([]byte(`{"busy_reqs":3,"x1":2,"more":1}`)); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := r.FromJSON([]byte(`[1]`)); err == nil {
		t.Error("a row is no object")
	}
}
