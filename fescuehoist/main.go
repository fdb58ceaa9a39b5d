// Command fescuehoist is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/mesh/manifest"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes.
const (
	exitFailure  = 1
	exitBadInput = 2
	exitConflict = 3
	exitAway     = 4
	exitUnknown  = 5
	exitBroken   = 6
)

type arguments struct {
	Apply  applyCommand  `cmd:"" help:"Check a file of targets and make it the next version."`
	Check  checkCommand  `cmd:"" help:"Check a file of targets without the platform."`
	Get    getCommand    `cmd:"" help:"Print the targets of the newest version."`
	Status statusCommand `cmd:"" help:"Show what a daemon has in force and which backend servers it sees."`
	Demo   demoCommand   `cmd:"" help:"Run a whole mesh in this process, change it while calls run, and report."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Edits the targets of classes of work and shows whether they are met.

Exit codes: 0 done, 1 failure, 2 bad input or arguments, 3 conflict with another
edit, 4 the platform is away, 5 the outcome of the edit is unknown, 6 an
invariant of the demonstration is broken.`

// commandTimeout bounds a command that talks to the platform or a daemon.
const commandTimeout = 30 * time.Second

func main() {
	var args arguments
	k := kong.Parse(&args, kong.Name("fescuehoist"), kong.Description(description),
		kong.Vars{"version": Version}, kong.Exit(exit))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
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

var (
	errBroken = errors.New("an invariant is broken")
	errAway   = errors.New("the platform is away")
)

func codeOf(err error) int {
	switch {
	case targetfile.IsProblems(err), errors.Is(err, os.ErrNotExist):
		return exitBadInput
	case errors.Is(err, manifest.ErrConflict):
		return exitConflict
	case errors.Is(err, manifest.ErrUnknown):
		return exitUnknown
	case errors.Is(err, errAway):
		return exitAway
	case errors.Is(err, errBroken):
		return exitBroken
	}
	return exitFailure
}
