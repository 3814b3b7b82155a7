package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"woaddyke/internal/testsupport/golden"
)

// auditOutput returns the output of the audit command for a ledger with breaches.
func auditOutput(t *testing.T, path string) []byte {
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

// Scripts read the last line of an audit, and people compare its breaches with those of earlier builds. The
// output must not change.
func TestTheAuditOutputIsStable(t *testing.T) {
	golden.Compare(t, "testdata/audit.golden", auditOutput(t, "testdata/ledger.jsonl"))
}

// A ledger that ends within its last line must be audited up to that line, and the output must say so.
func TestTheAuditOutputForATruncatedLedgerIsStable(t *testing.T) {
	complete, err := os.ReadFile("testdata/ledger.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ledger.jsonl")
	if err := os.WriteFile(path, complete[:len(complete)-len(`"}`)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/audit-cut-off.golden", auditOutput(t, path))
}

// The output for a ledger without breaches must end with a line of the same form as for other ledgers.
func TestTheAuditOutputForASoundLedgerIsStable(t *testing.T) {
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
