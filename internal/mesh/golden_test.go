package mesh

import (
	"testing"

	"woaddyke/internal/members"
	"woaddyke/internal/testsupport/filled"
)

// Guards the JSON keys that tools of the staff read at /api/members.
func TestShownKeepsItsForm(t *testing.T) {
	shown := filled.Value[Shown](t)
	shown.Self.State = members.Here
	shown.Members[0].State, shown.Members[1].State = members.Doubted, members.Gone
	filled.CompareWritten(t, "testdata/shown.json.golden", shown)
}
