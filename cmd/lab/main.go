// Command lab runs experiments: emulated workers, discovery, links and clients on loopback, with real
// schedulers of any build between them. It then audits the run by what was recorded outside the schedulers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"woaddyke/internal/lab/syscallfault"
)

// Exit codes.
const (
	exitBroken = 1 // a rule was broken, or an expectation of the file was not met
	exitUnfit  = 2 // a file can't be used, or the run could not be completed
)

// errBroken ends a command that has already printed its verdict.
var errBroken = errors.New("broken")

func main() {
	syscallfault.Launch() // a soak starts this program as its launcher
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	switch {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(exitUnfit)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "Plays experiments with schedulers on an emulated fleet, and judges them",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), auditCommand(), checkCommand(), reportCommand(), compareCommand(), campaignCommand(), soakCommand())
	return root
}
