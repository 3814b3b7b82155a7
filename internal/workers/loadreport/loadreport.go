// Package loadreport reads the load reports of workers: rows of values, or JSON objects, whose fields a
// deployment's settings name.
package loadreport

import (
	"encoding/json"
	"fmt"

	"woaddyke/dispatch"
)

// unreported is the value of a field that a report does not have; 0 would mean no jobs or no free slots.
const unreported = -1

// What a field of a report may mean, as settings call it. Fields with another meaning are read and
// ignored.
const (
	meansRunningJobs = "busy_reqs"
	meansQueuedJobs  = "pending"
	meansFreeSlots   = "free slots"
	meansFreeMemory  = "free memory"
)

// Field is one field of a report.
type Field struct {
	Name    string // its key in a JSON object
	Meaning string
}

// Format is the fields of a deployment's reports, in their order within a row.
type Format struct{ fields []Field }

// NewFormat returns the format of reports with these fields.
func NewFormat(fields []Field) Format { return Format{fields} }

// FromRow reads a report that is a row of values in the order of the fields. A row may be shorter or
// longer.
func (f Format) FromRow(row []float64) dispatch.LoadReport {
	report := dispatch.LoadReport{
		RunningJobs: unreported,
		QueuedJobs:  unreported,
		FreeSlots:   unreported,
		FreeMemory:  unreported,
	}
	for i, field := range f.fields[:min(len(f.fields), len(row))] {
		switch field.Meaning {
		case meansRunningJobs:
			report.RunningJobs = row[i]
		case meansQueuedJobs:
			report.QueuedJobs = row[i]
		case meansFreeSlots:
			report.FreeSlots = row[i]
		case meansFreeMemory:
			report.FreeMemory = row[i]
		}
	}
	return report
}

// FromJSON reads a report that is an object with the fields' names as keys; other keys are ignored. An
// empty text is a report without fields.
func (f Format) FromJSON(object []byte) (dispatch.LoadReport, error) {
	values := map[string]json.Number{}
	if len(object) > 0 {
		if err := json.Unmarshal(object, &values); err != nil {
			return f.FromRow(nil), fmt.Errorf("load report: %w", err)
		}
	}
	row := make([]float64, len(f.fields))
	for i, field := range f.fields {
		value, err := values[field.Name].Float64()
		if err != nil {
			value = unreported
		}
		row[i] = value
	}
	return f.FromRow(row), nil
}
