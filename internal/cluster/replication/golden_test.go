package replication

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON keys of a copy's state that tools of the operators read at /api/copies.
func TestShownKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/shown.json.golden", filled.Value[Status](t))
}
