// Command woaddyke is a scheduler that takes ops from clients and pushes them to workers.
package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"woaddyke/internal/console"
	"woaddyke/internal/front"
	"woaddyke/internal/terms"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "woaddyke:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "woaddyke", Short: "Pushes ops to workers, beside each submitter",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serve(), check(), version())
	return root
}

func serve() *cobra.Command {
	var path, level, staff string
	var within time.Duration
	c := &cobra.Command{Use: "serve", Short: "Run a scheduler until SIGTERM; SIGHUP rereads the configuration", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reread := make(chan os.Signal, 1)
			signal.Notify(reread, syscall.SIGHUP) // first of all: until then it would end the process
			l, err := zerolog.ParseLevel(level)
			if err != nil {
				return fmt.Errorf("--log: %w", err)
			}
			zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
			log := zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
			sheet, err := terms.ReadSheet(path)
			if err != nil {
				return err
			}
			if sheet.Console == "" {
				sheet.Console = staff
			}
			runtime.GOMAXPROCS(max(1, int(math.Ceil(sheet.Limits.Cores))))
			// The rest is for stacks, the program itself and what the kernel counts against it.
			debug.SetMemoryLimit(int64(sheet.Limits.MemoryMB) << 20 * 3 / 4)
			f, err := front.New(sheet, log)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			at, err := net.Listen("tcp", sheet.Listen)
			if err != nil {
				return fmt.Errorf("listening: %w", err)
			}
			if sheet.Console != "" {
				calls, err := net.Listen("tcp", sheet.Console)
				if err != nil {
					return fmt.Errorf("listening for staff: %w", err)
				}
				defer calls.Close()
				console.Serve(calls, f, log)
			}
			go func() {
				for range reread {
					f.Reread(path)
				}
			}()
			return f.Serve(ctx, at, within)
		}}
	c.Flags().StringVar(&path, "config", os.Getenv("RELAY_CONFIG"), "file with what this scheduler is told")
	c.Flags().StringVar(&staff, "console", os.Getenv("RELAY_CONSOLE"), "address for staff, where the configuration names none")
	c.Flags().StringVar(&level, "log", "info", "least level that is logged")
	c.Flags().DurationVar(&within, "stop-within", 3*time.Second,
		"after SIGTERM, wait for workers at most this long, or the longest TTL")
	return c
}

func check() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Say what is wrong with a configuration",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sheet, err := terms.ReadSheet(args[0])
			if err != nil {
				return err
			}
			if _, err := front.New(sheet, zerolog.Nop()); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: fit to serve at %s\n", sheet.Name, sheet.Listen)
			return nil
		}}
}

func version() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			build := "unknown"
			if b, ok := debug.ReadBuildInfo(); ok {
				build = b.Main.Version + " " + b.GoVersion
			}
			fmt.Fprintln(c.OutOrStdout(), "woaddyke", build)
		}}
}
