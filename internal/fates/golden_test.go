package fates

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON keys that tools of the staff read at /api/copies.
func TestShownKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/shown.json.golden", filled.Value[Shown](t))
}

// Guards the JSON keys of one claim that tools of the staff read at /api/copies/records.
func TestRowKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/row.json.golden", filled.Value[Row](t))
}
