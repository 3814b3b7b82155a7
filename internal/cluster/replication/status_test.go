package replication

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Operators' tools read the JSON keys of Status at /api/copies, so the keys must not change.
func TestStatusKeepsItsJSONKeys(t *testing.T) {
	filled.CompareJSON(t, "testdata/shown.json.golden", filled.Value[Status](t))
}
