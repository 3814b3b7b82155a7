package membership

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Operators' tools read the names of member states at /api/members: a changed name breaks them.
func TestStateNamesAreStable(t *testing.T) {
	names := map[State]string{
		Joining:  "joining",
		Alive:    "here",
		Suspect:  "doubted",
		Dead:     "gone",
		Left:     "left",
		Replaced: "superseded",
	}
	if len(names) != len(stateNames) {
		t.Fatalf("%d states are checked, there are %d", len(names), len(stateNames))
	}
	for state, name := range names {
		if text, err := state.MarshalText(); err != nil || string(text) != name {
			t.Errorf("state %d is written as %q, %v, want %q", uint8(state), text, err, name)
		}
	}
}

// Operators' tools read a process's own entry at /api/members: a changed JSON key breaks them.
func TestLocalStatusJSONIsStable(t *testing.T) {
	status := filled.Value[LocalStatus](t)
	status.State = Alive
	filled.CompareWritten(t, "testdata/own.json.golden", status)
}

// Operators' tools read the other members' entries at /api/members: a changed JSON key breaks them.
func TestMemberViewJSONIsStable(t *testing.T) {
	view := filled.Value[MemberView](t)
	view.State = Suspect
	filled.CompareWritten(t, "testdata/seen.json.golden", view)
}
