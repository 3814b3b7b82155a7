package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"woaddyke/internal/console"
	"woaddyke/internal/terms"
)

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
			p := &process{sheet: sheet, log: log}
			p.memory(1)
			at, err := p.begin()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			go func() {
				for range reread {
					p.front.Reread(path)
				}
			}()
			if sheet.Console != "" {
				calls, err := net.Listen("tcp", sheet.Console)
				if err != nil {
					return fmt.Errorf("listening for staff: %w", err)
				}
				defer calls.Close()
				console.Serve(calls, p.front, log)
				go p.offer()
			}
			return p.front.Serve(ctx, at, within)
		}}
	c.Flags().StringVar(&path, "config", os.Getenv("RELAY_CONFIG"), "file with what this scheduler is told")
	c.Flags().StringVar(&staff, "console", os.Getenv("RELAY_CONSOLE"), "address for staff, where the configuration names none")
	c.Flags().StringVar(&level, "log", "info", "least level that is logged")
	c.Flags().DurationVar(&within, "stop-within", 3*time.Second,
		"after SIGTERM, wait for workers at most this long, or the longest TTL")
	return c
}
