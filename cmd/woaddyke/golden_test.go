package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/config"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
	"woaddyke/internal/testsupport/helptext"
)

// Guards the JSON keys that tools of operators read at /api/staff.
func TestOperatorStateKeysAreStable(t *testing.T) {
	filled.CompareJSON(t, "testdata/staff.json.golden", filled.Value[operatorStatus](t))
}

// Guards the JSON keys that tools of operators read at /api/copies/records.
func TestRecordsPageKeysAreStable(t *testing.T) {
	filled.CompareJSON(t, "testdata/records.json.golden", filled.Value[recordsPage](t))
}

// Guards the JSON keys that tools of operators read at /api/copies/keepers after a change of the replica
// set.
func TestChangeResultKeysAreStable(t *testing.T) {
	filled.CompareJSON(t, "testdata/keepers.json.golden", filled.Value[changeResult](t))
}

// The members command must find each key that it prints in the recorded answer of /api/members, which a
// scheduler of another version may send. Its printed text must not change.
func TestMembersCommandReadsEveryKeyItPrints(t *testing.T) {
	text, err := os.ReadFile("../../internal/cluster/mesh/testdata/shown.json.golden")
	if err != nil {
		t.Fatal(err)
	}
	var read membersView
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	filled.RequireSet(t, read)
	var printed bytes.Buffer
	read.print(&printed)
	golden.Compare(t, "testdata/members.txt.golden", printed.Bytes())
}

// Guards the paths of the console calls for members and copies, and whether a call changes state.
func TestConsolePathsAreStable(t *testing.T) {
	p := &process{mesh: &mesh.Mesh{}, replica: &replica.Replica{}}
	var list bytes.Buffer
	for _, c := range p.consoleCalls() {
		fmt.Fprintf(&list, "%s, changes: %v\n", c.Path, c.ChangesState)
	}
	golden.Compare(t, "testdata/calls.txt.golden", list.Bytes())
}

// Guards the help of each command: the names, flags, defaults and texts that operators and their scripts
// rely on.
func TestHelpTextIsStable(t *testing.T) {
	t.Setenv("RELAY_CONFIG", "")
	t.Setenv("RELAY_CONSOLE", "")
	golden.Compare(t, "testdata/help.txt.golden", helptext.All(t, command))
}

// runToEnd runs the program as a process, and returns its exit code and output.
func runToEnd(t *testing.T, args ...string) []byte {
	t.Helper()
	var out, errs bytes.Buffer
	c := testCommand(args...)
	c.Stdout, c.Stderr = &out, &errs
	var exit *exec.ExitError
	if err := c.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, "exit code %d\nstdout: %q\nstderr: %q\n", c.ProcessState.ExitCode(), out.Bytes(), errs.Bytes())
}

// Guards the output and the exit code of the check command for the example files. Scripts of operators read
// them.
func TestCheckOutputIsStable(t *testing.T) {
	got := runToEnd(t, "check", "../../examples/config.json", "--operator", "../../deploy/operator.toml")
	golden.Compare(t, "testdata/check.txt.golden", got)
}

// Guards the error text and the exit code of the check command for an unknown key in the features file.
func TestCheckErrorForAnUnknownKeyIsStable(t *testing.T) {
	got := runToEnd(t, "check", "../../examples/config.json", "--operator", "testdata/unknown_key.toml")
	golden.Compare(t, "testdata/check_unknown_key.txt.golden", got)
}

// Guards the keys of the features file. Each key is set to a valid value that is not its default.
func TestFeaturesFileKeysAreStable(t *testing.T) {
	bootstrap := &config.Bootstrap{Name: "n1", RawSettings: map[string]any{"bounds": map[string]any{"peerMessages": true}}, Settings: map[string]any{},
		Limits: config.Limits{Descriptors: 1024}}
	read, err := readFeatures("testdata/operator.toml", bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	filled.RequireDiffers(t, *read, featureTables{})
	filled.RequireDiffers(t, *read.Members, *mesh.Defaults())
	filled.RequireDiffers(t, *read.Copies, *replica.Defaults())
	text, err := toml.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/operator_read.toml.golden", text)
}
