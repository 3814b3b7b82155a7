package metrics

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON keys of the figures that tools of the staff read at /api/telemetry.
func TestFiguresKeepTheirForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/figures.json.golden", filled.Value[Metrics](t))
}
