// Command fescuehoistd is the daemon beside each backend server.
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

const description = `Runs the daemon beside one backend server. It takes calls from callers,
routes them, admits calls to its backend server, and keeps the configuration
and the view of all backend servers up to date.

SIGTERM drains the backend server and then ends the daemon. SIGHUP reads the
settings again and takes up the log level and the limits on retries; a changed
target never needs a signal.
Exit codes: 0 stopped as planned, 1 failure, 2 bad settings or arguments.`

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("fescuehoistd"), kong.Description(description),
		kong.Vars{"version": Version}, kong.Exit(exit))
	// Caught from the start and until the end: a hangup that nobody waits for would
	// end the process, and with it the calls of a drain.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := run(args.Config, hangups); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(codeOf(err))
	}
}

// exit maps kong's code for bad arguments to the documented one.
func exit(code int) {
	if code != 0 {
		code = exitBadInput
	}
	os.Exit(code)
}

func codeOf(err error) int {
	var problems tomlfile.Problems
	if errors.As(err, &problems) || errors.Is(err, os.ErrNotExist) {
		return exitBadInput
	}
	return exitFailure
}

// logFlushTimeout bounds the wait for a blocked log output at the end.
const logFlushTimeout = 200 * time.Millisecond

// Pace of the collector: garbage may reach this share of what is in use, and
// memory beyond this share of the limit is returned sooner.
const (
	garbagePercent   = 25
	memoryLimitShare = 0.75
)

func limitMemory(bytes int64) {
	if bytes == 0 {
		return
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
}

func run(file string, hangups <-chan os.Signal) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	output := logging.NewQueue(os.Stdout)
	defer output.Close(logFlushTimeout)
	log := logging.New(output, s.LogLevel)
	limitMemory(s.Limits.MemoryBytes)
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
	ctx, end := context.WithCancel(ctx)
	g.Go(func() error {
		defer end()
		return d.Run(ctx)
	})
	g.Go(func() error { return reloadOnHangup(ctx, hangups, file, d, log) })
	return g.Wait()
}

// reloadOnHangup reads the settings again at each SIGHUP. A file that cannot be
// read changes nothing.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, file string, d *daemon.Daemon, log *logrus.Logger) error {
	out := log.WithField("part", "daemon")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		}
		s, err := settings.Load(file)
		if err != nil {
			out.WithField("cause", err).Warn("settings not reloaded, the old ones stay")
			continue
		}
		out.WithField("needs_restart", d.Reload(s)).Info("settings reloaded")
	}
}
