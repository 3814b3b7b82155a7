package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"woaddyke/internal/testsupport/golden"
)

// Guards the help of each command: the names, flags, defaults and words that scripts and journal entries rely on.
func TestHelpKeepsItsForm(t *testing.T) {
	var text bytes.Buffer
	for _, path := range commandPaths(command()) {
		c := command()
		c.SetOut(&text)
		c.SetArgs(append(strings.Fields(path)[1:], "--help"))
		fmt.Fprintf(&text, "$ %s --help\n", path)
		if err := c.Execute(); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		text.WriteByte('\n')
	}
	golden.Compare(t, "testdata/help.txt.golden", text.Bytes())
}

// commandPaths are the full names of a command and of all below it.
func commandPaths(c *cobra.Command) []string {
	paths := []string{c.CommandPath()}
	for _, below := range c.Commands() {
		paths = append(paths, commandPaths(below)...)
	}
	return paths
}
