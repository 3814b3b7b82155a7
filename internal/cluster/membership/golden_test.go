package membership

import (
	"testing"

	"woaddyke/internal/testsupport/filled"
)

// Guards the words for the states of members that tools of the staff read at /api/members.
func TestStatesKeepTheirWords(t *testing.T) {
	words := map[State]string{
		Joining:  "joining",
		Alive:    "here",
		Suspect:  "doubted",
		Dead:     "gone",
		Left:     "left",
		Replaced: "superseded",
	}
	if len(words) != len(stateNames) {
		t.Fatalf("%d states are guarded, there are %d", len(words), len(stateNames))
	}
	for state, word := range words {
		if text, err := state.MarshalText(); err != nil || string(text) != word {
			t.Errorf("state %d is written as %q, %v, want %q", uint8(state), text, err, word)
		}
	}
}

// Guards the JSON keys of a process's own entry that tools of the staff read at /api/members.
func TestOwnKeepsItsForm(t *testing.T) {
	own := filled.Value[LocalStatus](t)
	own.State = Alive
	filled.CompareWritten(t, "testdata/own.json.golden", own)
}

// Guards the JSON keys of another member's entry that tools of the staff read at /api/members.
func TestSeenKeepsItsForm(t *testing.T) {
	seen := filled.Value[MemberView](t)
	seen.State = Suspect
	filled.CompareWritten(t, "testdata/seen.json.golden", seen)
}
