// Command fescuehoist is the command line for operators: it edits the
// configuration, shows status and forecasts, and plans stops.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Version is the version of the program.
const Version = "0.1.0"

type arguments struct {
	Check    checkCommand    `cmd:"" help:"Check a file of targets without the platform."`
	Diff     diffCommand     `cmd:"" help:"Describe what applying a file would change."`
	Apply    applyCommand    `cmd:"" help:"Check a file of targets and make it the next version."`
	Remove   removeCommand   `cmd:"" help:"Remove services from the configuration."`
	Get      getCommand      `cmd:"" help:"Print the targets of a version as a file."`
	Recover  recoverCommand  `cmd:"" help:"Replace a configuration that daemons refuse because the platform lost versions."`
	History  historyCommand  `cmd:"" help:"List the edits with author, time, and changes."`
	Status   statusCommand   `cmd:"" help:"Show whether each class meets its target, and which versions each failure domain has in force."`
	Forecast forecastCommand `cmd:"" help:"Forecast which classes will miss their targets, and which clients to notify."`
	Stop     stopCommand     `cmd:"" help:"Plan, list and cancel stops of backend servers."`
	Explain  explainCommand  `cmd:"" help:"Print the log lines of one request from the logs of several daemons, ordered by time, with the state that each daemon had logged."`
	Place    placeCommand    `cmd:"" help:"Ask a daemon where a request would go now, and why, without sending it."`
	Demo     demoCommand     `cmd:"" help:"Run a mesh in this process, change it while calls run, and report the results."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Edits the targets of classes of work and shows whether they are met.

A first edit: write a file of targets (examples/nuqta/targets.toml), then
  fescuehoist check FILE
  fescuehoist diff FILE --platform IP:PORT
  fescuehoist apply FILE --platform IP:PORT

Exit codes: 0 done; 1 failure; 2 bad input or arguments; 3 conflict with another
edit; 4 the platform is unavailable; 5 the outcome of the edit is unknown; 6 an
invariant of the demonstration is broken; 7 a planned stop would break a target.`

// commandTimeout is the time limit of a command that calls the platform or a
// daemon.
const commandTimeout = 30 * time.Second

// output is the writer to which commands print.
type output struct{ io.Writer }

// printf prints one line; it adds the line end.
func (o *output) printf(format string, args ...any) { fmt.Fprintf(o, format+"\n", args...) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// exitPanic is the exit code with which kong's exit function leaves Parse by
// panicking, as it does after --help and --version.
type exitPanic int

// run parses the arguments, runs the command, and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitPanic:
			code = int(r)
		default:
			panic(r)
		}
	}()
	var parsed arguments
	parser, err := kong.New(&parsed, kong.Name("fescuehoist"), kong.Description(description),
		kong.Vars{"version": Version}, kong.Writers(stdout, stderr), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "fescuehoist: %v; see fescuehoist --help\n", err)
		return exitBadInput
	}
	command.BindTo(ctx, (*context.Context)(nil))
	command.Bind(&output{stdout})
	if err := command.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitCode(err)
	}
	return exitOK
}
