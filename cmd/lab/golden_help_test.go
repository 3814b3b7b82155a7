package main

import (
	"testing"

	"woaddyke/internal/testsupport/golden"
	"woaddyke/internal/testsupport/helptext"
)

// Guards the help of each command: the names, flags, defaults and words that scripts and journal entries rely
// on.
func TestHelpKeepsItsForm(t *testing.T) {
	golden.Compare(t, "testdata/help.txt.golden", helptext.All(t, command))
}
