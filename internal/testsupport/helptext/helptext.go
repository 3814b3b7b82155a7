// Package helptext collects the help of a program's commands. It is for tests only.
package helptext

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// All is the help of a program and of all commands below it, as --help prints it. Each is asked of a tree of its own.
func All(t testing.TB, program func() *cobra.Command) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, path := range paths(program()) {
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

// paths are the full names of a command and of all below it.
func paths(c *cobra.Command) []string {
	all := []string{c.CommandPath()}
	for _, below := range c.Commands() {
		all = append(all, paths(below)...)
	}
	return all
}
