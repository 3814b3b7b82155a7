package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"woaddyke/internal/fates"
	"woaddyke/internal/mesh"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

// Guards the JSON keys that tools of the staff read at /api/staff.
func TestStaffCallKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/staff.json.golden", filled.Value[told](t))
}

// Guards the JSON keys that tools of the staff read at /api/copies/records.
func TestRecordsCallKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/records.json.golden", filled.Value[page](t))
}

// Guards the JSON keys that tools of the staff read after a change of keepers at /api/copies/keepers.
func TestKeepersCallKeepsItsForm(t *testing.T) {
	filled.CompareJSON(t, "testdata/keepers.json.golden", filled.Value[outcome](t))
}

// Guards that the members command reads each key it prints from what a scheduler of another build shows at /api/members, and the
// text that it prints.
func TestMembersCommandReadsWhatIsShown(t *testing.T) {
	text, err := os.ReadFile("../../internal/mesh/testdata/shown.json.golden")
	if err != nil {
		t.Fatal(err)
	}
	var read view
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	filled.RequireSet(t, read)
	var printed bytes.Buffer
	read.print(&printed)
	golden.Compare(t, "testdata/members.txt.golden", printed.Bytes())
}

// Guards the methods and paths of the calls that tools of the staff make where members and copies are switched on.
func TestCallsKeepTheirPaths(t *testing.T) {
	p := &process{mesh: &mesh.Mesh{}, fates: &fates.Fates{}}
	var list bytes.Buffer
	for _, c := range p.calls() {
		fmt.Fprintf(&list, "%s, changes: %v\n", c.Path, c.Changes)
	}
	golden.Compare(t, "testdata/calls.txt.golden", list.Bytes())
}
