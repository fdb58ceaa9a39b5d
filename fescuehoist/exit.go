package main

import (
	"errors"
	"io/fs"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/mesh/manifest"
)

// Exit codes of the command line; the description lists them for operators.
const (
	exitOK              = 0
	exitFailure         = 1
	exitBadInput        = 2
	exitConflict        = 3
	exitUnavailable     = 4
	exitOutcomeUnknown  = 5
	exitInvariantBroken = 6
	exitSlowdown        = 7
)

var (
	errInvariantBroken = errors.New("an invariant is broken")
	errUnavailable     = errors.New("the platform is unavailable")
	errSlowdown        = errors.New("the stop would break a target; notify the clients and repeat with --accept-slowdown")
	errInput           = errors.New("bad input")
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case targetfile.IsProblems(err), errors.Is(err, fs.ErrNotExist), errors.Is(err, errInput), isInvalidEdit(err):
		return exitBadInput
	case errors.Is(err, manifest.ErrConflict):
		return exitConflict
	case errors.Is(err, manifest.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, errUnavailable):
		return exitUnavailable
	case errors.Is(err, errInvariantBroken):
		return exitInvariantBroken
	case errors.Is(err, errSlowdown):
		return exitSlowdown
	}
	return exitFailure
}

// isClassified reports whether err states the cause of a failure, such as bad
// input or a conflict. All other errors of a command that uses the platform are
// taken to mean that the platform could not be reached.
func isClassified(err error) bool {
	var malformed *manifest.MalformedError
	return isInvalidEdit(err) || errors.Is(err, manifest.ErrConflict) || errors.Is(err, manifest.ErrOutcomeUnknown) ||
		errors.Is(err, manifest.ErrNotFound) || errors.Is(err, errInput) || errors.Is(err, errSlowdown) ||
		errors.As(err, &malformed)
}

// isInvalidEdit reports whether err says that the edit would lead to a
// configuration that daemons refuse.
func isInvalidEdit(err error) bool {
	var e *manifest.InvalidError
	return errors.As(err, &e)
}
