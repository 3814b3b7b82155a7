// Package golden compares the output of a build with files that an earlier build wrote. It is for tests only.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Compare fails the test unless got is the content of the file. With UPDATE_GOLDEN=1 it writes the file and
// fails, so that a run that updates files never passes.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		t.Fatalf("%s was written", path)
	}
	if want := Read(t, path); !bytes.Equal(got, want) {
		t.Fatalf("%s differs\n got: %q\nwant: %q", path, got, want)
	}
}

// Read returns the content of a file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
