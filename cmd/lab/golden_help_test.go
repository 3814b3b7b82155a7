package main

import (
	"testing"

	"woaddyke/internal/testsupport/golden"
	"woaddyke/internal/testsupport/helptext"
)

// Scripts and journal entries rely on the names, flags, defaults and words in the help of each command. They
// must not change.
func TestHelpKeepsItsForm(t *testing.T) {
	golden.Compare(t, "testdata/help.txt.golden", helptext.All(t, command))
}
