// Package loadreport decodes the load reports of workers: rows of values or JSON objects, whose fields are
// defined in the settings of the deployment.
package loadreport

import (
	"encoding/json"
	"fmt"

	"woaddyke/dispatch"
)

// unreported is the value of a missing field; 0 would mean no jobs or no free slots.
const unreported = -1

// Meanings of fields, as named in the settings. Fields with any other meaning are ignored.
const (
	meaningRunningJobs = "busy_reqs"
	meaningQueuedJobs  = "pending"
	meaningFreeSlots   = "free slots"
	meaningFreeMemory  = "free memory"
)

// Field is one field of a load report.
type Field struct {
	Name    string // its key in a JSON object
	Meaning string
}

// Format lists the fields of a deployment's load reports, in their order in a row.
type Format struct{ fields []Field }

// NewFormat returns the format of load reports with these fields.
func NewFormat(fields []Field) Format { return Format{fields} }

// FromRow decodes a report that is a row of values in the order of the fields. The row may be shorter or
// longer than the list of fields.
func (f Format) FromRow(row []float64) dispatch.LoadReport {
	report := dispatch.LoadReport{
		RunningJobs: unreported,
		QueuedJobs:  unreported,
		FreeSlots:   unreported,
		FreeMemory:  unreported,
	}
	for i, field := range f.fields[:min(len(f.fields), len(row))] {
		switch field.Meaning {
		case meaningRunningJobs:
			report.RunningJobs = row[i]
		case meaningQueuedJobs:
			report.QueuedJobs = row[i]
		case meaningFreeSlots:
			report.FreeSlots = row[i]
		case meaningFreeMemory:
			report.FreeMemory = row[i]
		}
	}
	return report
}

// FromJSON decodes a report that is an object with the field names as keys; other keys are ignored. An empty
// object text is a report without fields.
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
