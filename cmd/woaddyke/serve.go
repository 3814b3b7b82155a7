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

// logFlushTimeout is the maximum time to write the last log lines.
const logFlushTimeout = time.Second

// serveOptions holds the flags of serve.
type serveOptions struct {
	configPath   string
	console      string // used if the configuration has no console address
	featuresPath string
	logLevel     string
	stopWithin   time.Duration // maximum wait for workers after SIGTERM
}

func serveCommand() *cobra.Command {
	var options serveOptions
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a scheduler until SIGTERM; SIGHUP rereads the configuration",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return options.serve() },
	}
	flags := c.Flags()
	flags.StringVar(&options.configPath, "config", os.Getenv("RELAY_CONFIG"),
		"file with what this scheduler is told")
	flags.StringVar(&options.console, "console", os.Getenv(consoleFlagEnvVar),
		"address for staff, where the configuration names none")
	flags.StringVar(&options.featuresPath, "operator", "",
		"the operator's own file: what is offered beyond the configuration")
	flags.StringVar(&options.logLevel, "log", "info", "least level that is logged")
	flags.DurationVar(&options.stopWithin, "stop-within", 3*time.Second,
		"after SIGTERM, wait for workers at most this long, or the longest TTL")
	return c
}

// serve runs a scheduler until it stops. It closes what it opened in reverse order: the console, the
// cluster, the context of the signals, the log.
func (o *serveOptions) serve() error {
	reload, terminate := notifySignals()
	level, err := zerolog.ParseLevel(o.logLevel)
	if err != nil {
		return fmt.Errorf("--log: %w", err)
	}
	sink := logsink.New(os.Stderr)
	defer sink.Close(logFlushTimeout)
	log := newLogger(sink, level)
	bootstrap, err := o.readBootstrap()
	if err != nil {
		return err
	}
	limitDescriptors(bootstrap, log)
	features, err := readFeatures(o.featuresPath, bootstrap)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(bootstrap.Limits.Cores))))
	ctx, stop := contextUntil(terminate)
	defer stop()

	p := &process{bootstrap: bootstrap, log: log, lostLogLines: sink.Lost, features: *features, stop: stop}
	p.setMemoryLimit(1)
	listener, err := p.openServer()
	if err != nil {
		return err
	}
	defer p.leaveClusterAfter(ctx)()
	go p.reloadOn(reload, o.configPath)
	closeConsole, err := p.openConsole()
	if err != nil {
		return err
	}
	defer closeConsole()
	return p.server.Serve(ctx, listener, o.stopWithin)
}

// notifySignals must run first in a process: before it runs, SIGHUP ends the process.
func notifySignals() (reload, terminate chan os.Signal) {
	reload = make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	terminate = make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	return reload, terminate
}

// contextUntil returns a context that ends with the first signal. The signals stay caught until the process
// ends: another SIGTERM must not kill the process and lose all its ops.
func contextUntil(terminate <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-terminate
		stop()
	}()
	return ctx, stop
}

func newLogger(sink *logsink.Sink, level zerolog.Level) zerolog.Logger {
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may close its end
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(sink).Level(level).With().Timestamp().Logger()
}

func (o *serveOptions) readBootstrap() (*config.Bootstrap, error) {
	bootstrap, err := oserror.RetryTransient(func() (*config.Bootstrap, error) {
		return config.ReadBootstrap(o.configPath)
	})
	if err != nil {
		return nil, err
	}
	if bootstrap.Console == "" {
		bootstrap.Console = o.console
	}
	return bootstrap, nil
}

// leaveClusterAfter makes this process leave the cluster when the context ends. The returned function
// closes the replica, the operator board and the mesh.
func (p *process) leaveClusterAfter(ctx context.Context) (closeCluster func()) {
	if p.mesh == nil {
		return func() {}
	}
	cancelLeave := context.AfterFunc(ctx, p.leaveCluster)
	return func() {
		if p.replica != nil {
			p.replica.Close()
		}
		cancelLeave()
		p.operatorBoard.close()
		p.mesh.Close()
	}
}

func (p *process) reloadOn(reload <-chan os.Signal, configPath string) {
	for range reload {
		p.server.ReloadConfig(configPath)
	}
}

// openConsole serves operators and successors if the configuration has a console address.
func (p *process) openConsole() (closeConsole func(), err error) {
	if p.bootstrap.Console == "" {
		return func() {}, nil
	}
	listener, err := oserror.RetryTransient(func() (net.Listener, error) {
		return net.Listen("tcp", p.bootstrap.Console)
	})
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	console.Serve(listener, p.server, p.log, p.consoleCalls()...)
	go p.offerHandover()
	return func() { listener.Close() }, nil
}
