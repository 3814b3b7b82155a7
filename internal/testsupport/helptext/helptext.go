// Package helptext collects the help texts of a program's commands. It is for tests only.
package helptext

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// All returns the help texts of a program and all its subcommands, as --help prints them. Each text is
// printed by a new command tree.
func All(t testing.TB, program func() *cobra.Command) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, path := range commandPaths(program()) {
		c := program()
		c.SetOut(&text)
		c.SetArgs(append(strings.Fields(path)[1:], "--help"))
		fmt.Fprintf(&text, "$ %s --help\n", path)
		if err := c.Execute(); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		text.WriteByte('\n')
	}
	return text.Bytes()
}

// commandPaths returns the full names of a command and all its subcommands.
func commandPaths(c *cobra.Command) []string {
	names := []string{c.CommandPath()}
	for _, subcommand := range c.Commands() {
		names = append(names, commandPaths(subcommand)...)
	}
	return names
}
