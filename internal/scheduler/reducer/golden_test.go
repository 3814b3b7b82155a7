package reducer

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON of what a reducer has learned, with the dispatcher's part in it, which a handover carries between builds.
func TestLearnedKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/learned.json.golden", filled.Value[LearnedState](t))
}
