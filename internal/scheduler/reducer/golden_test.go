package reducer

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON of the learned state, including the dispatcher's part, which a hot restart passes between
// builds.
func TestTheJSONOfLearnedStateIsUnchanged(t *testing.T) {
	filled.CompareJSON(t, "testdata/learned.json.golden", filled.Value[LearnedState](t))
}
