// Command fescuehoistd is the daemon that runs beside each backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/logging"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/tomlfile"
	"fescuehoist.example/fescuehoistd/daemon"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	exitFailure  = 1
	exitBadInput = 2
)

type arguments struct {
	Config  string           `short:"c" required:"" type:"path" placeholder:"FILE" help:"Settings file (TOML; see docs/settings.md)."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Runs the daemon beside one backend server. It accepts calls from callers,
routes them, admits calls to its backend server, and keeps the configuration
and the view of all backend servers up to date.

SIGTERM drains the backend server and then ends the daemon. SIGHUP reloads the
settings and applies the log level, the retry limits and the share of hedged
calls; a changed target never needs a signal.
Exit codes: 0 stopped as planned, 1 failure, 2 bad settings or arguments.`

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("fescuehoistd"), kong.Description(description),
		kong.Vars{"version": Version}, kong.Exit(exitArguments))
	// SIGHUP is caught during the whole life of the process: otherwise its default
	// action would end the process, and with it the calls that a drain waits for.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := run(args.Config, hangups); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitArguments ends the process after kong has parsed the arguments. It maps
// kong's exit code for bad arguments to the documented one.
func exitArguments(code int) {
	if code != 0 {
		code = exitBadInput
	}
	os.Exit(code)
}

func exitCode(err error) int {
	var problems tomlfile.Problems
	if errors.As(err, &problems) || errors.Is(err, os.ErrNotExist) {
		return exitBadInput
	}
	return exitFailure
}

// logFlushTimeout bounds the wait for a blocked log output at exit.
const logFlushTimeout = 200 * time.Millisecond

// Garbage collector settings: memory above softLimitShare of the memory limit is
// collected and returned sooner, and garbage may grow to gcPercent of the live heap if
// the settings name a limit.
const (
	gcPercent      = 25
	softLimitShare = 0.75
)

func limitMemory(l *settings.Limits) {
	if l.MemoryBytes > 0 {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(int64(softLimitShare * float64(l.Memory())))
}

func run(file string, hangups <-chan os.Signal) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	output := logging.NewQueue(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := logging.New(output, s.LogLevel)
	limitMemory(&s.Limits)
	listeners, err := daemon.Listen(s)
	if err != nil {
		return err
	}
	defer listeners.Close()
	d, err := daemon.New(daemon.DefaultConfig(s, log), listeners)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	g.Go(func() error {
		defer cancel()
		return d.Run(ctx)
	})
	g.Go(func() error { return reloadOnHangup(ctx, hangups, file, d, log) })
	return g.Wait()
}

// reloadOnHangup reloads the settings at each SIGHUP until ctx ends. If the file
// cannot be read or is invalid, the current settings are kept.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, file string, d *daemon.Daemon, log *logrus.Logger) error {
	logger := log.WithField("part", "daemon")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		}
		s, err := settings.Load(file)
		if err != nil {
			logger.WithField("cause", err).Warn("settings not reloaded, keeping the current ones")
			continue
		}
		logger.WithField("needs_restart", d.Reload(s)).Info("settings reloaded")
	}
}
