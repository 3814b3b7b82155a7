package config

import (
	"testing"

	"woaddyke/dispatch"
)

// A field that a load report lacks must not be read as 0, which would mean no queued jobs and no free slots.
func TestAMissingReportFieldIsNotReadAsZero(t *testing.T) {
	r := ReportFormatOf(Flatten(map[string]any{
		"report": map[string]any{"fields": []any{"pending", "busy_reqs", "x1"}},
		"extra":  map[string]any{"reportX1": "free slots"},
	}))
	want := dispatch.LoadReport{RunningJobs: 3, QueuedJobs: -1, FreeSlots: 2, FreeMemory: -1}
	if got, err := r.FromJSON([]byte(`{"busy_reqs":3,"x1":2,"more":1}`)); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := r.FromJSON([]byte(`[1]`)); err == nil {
		t.Error("a list was read as a load report")
	}
}
