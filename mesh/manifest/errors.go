package manifest

import (
	"errors"
	"fmt"
	"strings"

	"fescuehoist.example/mesh/target"
)

// Errors that callers compare with errors.Is.
var (
	// ErrGap says that changes between the known version and the received
	// ones are missing.
	ErrGap = errors.New("changes are missing")
	// ErrForked says that a received version does not follow from the known
	// one: two histories have the same numbers.
	ErrForked = errors.New("the history differs from the known one")
	// ErrMalformed says that an update breaks a limit or is not well formed.
	ErrMalformed = errors.New("the update is malformed")
	// ErrUnchanged says that a watch ended without a change.
	ErrUnchanged = errors.New("no change yet")
	// ErrIncomplete says that an update lacks a body that it refers to.
	ErrIncomplete = errors.New("a body is missing from the update")
	// ErrUnpatchable says that a body is a patch of content that is not at hand.
	ErrUnpatchable = errors.New("a patch does not apply")
	// ErrConflict says that another edit was accepted first.
	ErrConflict = errors.New("another edit was accepted first")
	// ErrNotFound says that the platform has no such object.
	ErrNotFound = errors.New("no such object")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the outcome of the write is unknown")
)

// Refusal says why a version is not put in force. The version before it stays.
type Refusal struct {
	// Version is 0 if the version cannot be told.
	Version  Version
	EditID   string
	Problems []target.Problem
}

// Error lists the problems, separated by semicolons.
func (r *Refusal) Error() string {
	lines := make([]string, len(r.Problems))
	for i, p := range r.Problems {
		lines[i] = p.Error()
	}
	which := fmt.Sprintf("version %d", r.Version)
	if r.Version == 0 {
		which = "the newest version"
	}
	return fmt.Sprintf("%s refused: %s", which, strings.Join(lines, "; "))
}

// NewRefusal returns a refusal of a version as a whole.
func NewRefusal(v Version, editID, format string, args ...any) *Refusal {
	return &Refusal{Version: v, EditID: editID, Problems: []target.Problem{{Text: fmt.Sprintf(format, args...)}}}
}

// InvalidError says that an edit would lead to a version that daemons refuse.
type InvalidError struct{ Problems []target.Problem }

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// MalformedError says that a stored object cannot be decoded.
type MalformedError struct {
	Object string
	Err    error
}

// Error names the object and the cause.
func (m *MalformedError) Error() string { return fmt.Sprintf("%s is malformed: %v", m.Object, m.Err) }

// Unwrap returns the cause.
func (m *MalformedError) Unwrap() error { return m.Err }
