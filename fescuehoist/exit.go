package main

import (
	"errors"
	"io/fs"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/mesh/manifest"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailure  = 1
	exitBadInput = 2
	exitConflict = 3
	exitAway     = 4
	exitUnknown  = 5
	exitBroken   = 6
	exitSlowdown = 7
)

var (
	errBroken   = errors.New("an invariant is broken")
	errAway     = errors.New("the platform is away")
	errSlowdown = errors.New("the stop breaks a target; tell the clients and repeat with --accept-slowdown")
	errInput    = errors.New("bad input")
)

func codeOf(err error) int {
	switch {
	case err == nil:
		return exitDone
	case targetfile.IsProblems(err), errors.Is(err, fs.ErrNotExist), errors.Is(err, errInput), invalid(err):
		return exitBadInput
	case errors.Is(err, manifest.ErrConflict):
		return exitConflict
	case errors.Is(err, manifest.ErrOutcomeUnknown):
		return exitUnknown
	case errors.Is(err, errAway):
		return exitAway
	case errors.Is(err, errBroken):
		return exitBroken
	case errors.Is(err, errSlowdown):
		return exitSlowdown
	}
	return exitFailure
}

// settled reports whether an error says what became of a request, other than
// that the platform could not be asked.
func settled(err error) bool {
	var malformed *manifest.MalformedError
	return invalid(err) || errors.Is(err, manifest.ErrConflict) || errors.Is(err, manifest.ErrOutcomeUnknown) ||
		errors.Is(err, manifest.ErrNotFound) || errors.Is(err, errInput) || errors.Is(err, errSlowdown) ||
		errors.As(err, &malformed)
}

// invalid reports whether daemons would refuse what an edit leads to.
func invalid(err error) bool {
	var e *manifest.InvalidError
	return errors.As(err, &e)
}
