package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"woaddyke/internal/testsupport/golden"
)

// judged is all that the audit command prints of a ledger in which every rule is broken.
func judged(t *testing.T, path string) []byte {
	t.Helper()
	var out bytes.Buffer
	command := auditCommand()
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetOut(&out)
	command.SetArgs([]string{path})
	if err := command.Execute(); !errors.Is(err, errBroken) {
		t.Fatalf("error %v, want %v", err, errBroken)
	}
	return out.Bytes()
}

// Scripts read the last line of an audit, and people compare the breaches of earlier ledgers: neither may change.
func TestTheVerdictOnALedgerStays(t *testing.T) {
	golden.Compare(t, "testdata/audit.golden", judged(t, "testdata/ledger.jsonl"))
}

// A ledger that ends in the middle of its last line is judged up to there, and the verdict says so.
func TestTheVerdictOnALedgerThatWasCutOffStays(t *testing.T) {
	whole, err := os.ReadFile("testdata/ledger.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ledger.jsonl")
	if err := os.WriteFile(path, whole[:len(whole)-len(`"}`)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/audit-cut-off.golden", judged(t, path))
}

// A ledger in which nothing is broken ends with the same line.
func TestTheVerdictOnASoundLedgerStays(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger.jsonl")
	const sound = `{"at":0,"kind":"world","rules":{"slack":500,"categories":{"again":{"effect":"redeliverable"}}}}
{"at":1,"kind":"due","op":"a","category":"again","scheduler":1,"until":900}
{"at":2,"kind":"sent","op":"a","scheduler":1}
{"at":3,"kind":"answer","op":"a","scheduler":1,"verdict":"nacked"}
{"at":4,"kind":"finished"}
`
	if err := os.WriteFile(path, []byte(sound), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	command := auditCommand()
	command.SetOut(&out)
	command.SetArgs([]string{path})
	if err := command.Execute(); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/audit-sound.golden", out.Bytes())
}
