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

	"woaddyke/internal/base/oserror"
	"woaddyke/internal/config"
	"woaddyke/internal/observe/console"
	"woaddyke/internal/observe/logsink"
)

const logFlushTimeout = time.Second // for the last lines of the log to be read

func serveCommand() *cobra.Command {
	var path, level, staff, operators string
	var within time.Duration
	c := &cobra.Command{Use: "serve", Short: "Run a scheduler until SIGTERM; SIGHUP rereads the configuration", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reread := make(chan os.Signal, 1)
			signal.Notify(reread, syscall.SIGHUP) // first of all: until then it would end the process
			told := make(chan os.Signal, 1)
			signal.Notify(told, syscall.SIGTERM, os.Interrupt)
			l, err := zerolog.ParseLevel(level)
			if err != nil {
				return fmt.Errorf("--log: %w", err)
			}
			zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
			signal.Ignore(syscall.SIGPIPE) // whoever reads the log may leave
			sink := logsink.New(os.Stderr)
			defer sink.Close(logFlushTimeout)
			log := zerolog.New(sink).Level(l).With().Timestamp().Logger()
			sheet, err := oserror.RetryTransient(func() (*config.Bootstrap, error) { return config.ReadBootstrap(path) })
			if err != nil {
				return err
			}
			if sheet.Console == "" {
				sheet.Console = staff
			}
			limitDescriptors(sheet, log)
			offers, err := readFeatures(operators, sheet)
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(max(1, int(math.Ceil(sheet.Limits.Cores))))
			// To the very end a further SIGTERM changes nothing: taken back from us it would end the process at once, with all ops.
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() {
				<-told
				stop()
			}()
			p := &process{bootstrap: sheet, log: log, lostLogLines: sink.Lost, features: *offers, stop: stop}
			p.setMemoryLimit(1)
			at, err := p.openServer()
			if err != nil {
				return err
			}
			if p.mesh != nil {
				defer p.mesh.Close()
				defer p.operatorBoard.close()
				defer context.AfterFunc(ctx, p.leaveCluster)()
				if p.replica != nil {
					defer p.replica.Close()
				}
			}
			go func() {
				for range reread {
					p.server.ReloadConfig(path)
				}
			}()
			if sheet.Console != "" {
				calls, err := oserror.RetryTransient(func() (net.Listener, error) { return net.Listen("tcp", sheet.Console) })
				if err != nil {
					return fmt.Errorf("listening for staff: %w", err)
				}
				defer calls.Close()
				console.Serve(calls, p.server, log, p.consoleCalls()...)
				go p.offerHandover()
			}
			return p.server.Serve(ctx, at, within)
		}}
	c.Flags().StringVar(&path, "config", os.Getenv("RELAY_CONFIG"), "file with what this scheduler is told")
	c.Flags().StringVar(&staff, "console", os.Getenv("RELAY_CONSOLE"), "address for staff, where the configuration names none")
	c.Flags().StringVar(&operators, "operator", "", "the operator's own file: what is offered beyond the configuration")
	c.Flags().StringVar(&level, "log", "info", "least level that is logged")
	c.Flags().DurationVar(&within, "stop-within", 3*time.Second,
		"after SIGTERM, wait for workers at most this long, or the longest TTL")
	return c
}
