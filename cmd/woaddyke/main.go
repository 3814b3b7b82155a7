// Command woaddyke is a scheduler that takes ops from clients and pushes them to workers.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"woaddyke/internal/config"
	"woaddyke/internal/frontend"
)

func main() {
	if err := command().Execute(); err != nil {
		reportError(err)
		os.Exit(1)
	}
}

const reportTimeout = time.Second // for an error to be read before the process ends

// reportError says why the command failed, to whoever reads it in time.
func reportError(err error) {
	said := make(chan struct{})
	go func() {
		fmt.Fprintln(os.Stderr, "woaddyke:", err)
		close(said)
	}()
	select {
	case <-said:
	case <-time.After(reportTimeout):
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "woaddyke", Short: "Pushes ops to workers, beside each submitter",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), checkCommand(), membersCommand(), copiesCommand(), versionCommand())
	return root
}

func checkCommand() *cobra.Command {
	var operators string
	c := &cobra.Command{Use: "check FILE", Short: "Say what is wrong with a configuration",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sheet, err := config.ReadBootstrap(args[0])
			if err != nil {
				return err
			}
			if _, err := readFeatures(operators, sheet); err != nil {
				return err
			}
			if _, err := frontend.New(sheet, zerolog.Nop()); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: fit to serve at %s\n", sheet.Name, sheet.Listen)
			return nil
		}}
	c.Flags().StringVar(&operators, "operator", "", "the operator's own file, checked too")
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			build := "unknown"
			if b, ok := debug.ReadBuildInfo(); ok {
				build = b.Main.Version + " " + b.GoVersion
			}
			fmt.Fprintln(c.OutOrStdout(), "woaddyke", build)
		}}
}
