// Command woaddyke is a scheduler that takes ops from clients and pushes them to workers.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"woaddyke/internal/config"
	"woaddyke/internal/frontend"
)

// reportTimeout is the maximum time to write an error before the process ends.
const reportTimeout = time.Second

func main() {
	if err := command().Execute(); err != nil {
		reportError(err)
		os.Exit(1)
	}
}

// reportError writes why the command failed. It stops waiting after reportTimeout if nothing reads standard
// error.
func reportError(err error) {
	written := make(chan struct{})
	go func() {
		fmt.Fprintln(os.Stderr, "woaddyke:", err)
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(reportTimeout):
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "woaddyke",
		Short:         "Pushes ops to workers, beside each submitter",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), membersCommand(), copiesCommand(), versionCommand())
	return root
}

func checkCommand() *cobra.Command {
	var featuresPath string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Say what is wrong with a configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return checkConfiguration(c.OutOrStdout(), args[0], featuresPath)
		},
	}
	c.Flags().StringVar(&featuresPath, "operator", "", "the operator's own file, checked too")
	return c
}

// checkConfiguration reads and checks the files as serve does before it opens any socket.
func checkConfiguration(out io.Writer, path, featuresPath string) error {
	bootstrap, err := config.ReadBootstrap(path)
	if err != nil {
		return err
	}
	if _, err := readFeatures(featuresPath, bootstrap); err != nil {
		return err
	}
	if _, err := frontend.New(bootstrap, zerolog.Nop()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: fit to serve at %s\n", bootstrap.Name, bootstrap.Listen)
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Say which build this is",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			build := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				build = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintln(c.OutOrStdout(), "woaddyke", build)
		},
	}
}
