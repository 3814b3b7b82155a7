package metrics

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON keys of the metrics, which operators' tools read at /api/telemetry.
func TestMetricsKeepTheirJSONKeys(t *testing.T) {
	filled.CompareJSON(t, "testdata/figures.json.golden", filled.Value[Metrics](t))
}
