package manifest

import (
	"errors"
	"fmt"
	"strings"

	"fescuehoist.example/mesh/target"
)

// Errors that callers compare with errors.Is.
var (
	// ErrGap means that changes between the known version and the received ones
	// are missing.
	ErrGap = errors.New("missing changes")
	// ErrForked means that a received version does not follow from the known
	// one, because two histories use the same version numbers.
	ErrForked = errors.New("the version history differs from the known one")
	// ErrMalformed means that an update exceeds a limit or is not well formed.
	ErrMalformed = errors.New("malformed update")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("no change before the watch ended")
	// ErrIncomplete means that an update refers to a body that it does not
	// contain.
	ErrIncomplete = errors.New("incomplete update")
	// ErrUnpatchable means that a body is a patch of content that is not stored.
	ErrUnpatchable = errors.New("the patch cannot be applied")
	// ErrConflict means that another edit was accepted first.
	ErrConflict = errors.New("another edit was accepted first")
	// ErrNotFound means that the platform has no such object.
	ErrNotFound = errors.New("no such object")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the outcome of the write is unknown")
)

// Refusal says why a version is not put in force. The version before it stays
// in force.
type Refusal struct {
	// Version is 0 if it could not be determined.
	Version  Version
	EditID   string
	Problems []target.Problem
}

// Error returns the problems, separated by semicolons.
func (r *Refusal) Error() string {
	lines := make([]string, len(r.Problems))
	for i, p := range r.Problems {
		lines[i] = p.Error()
	}
	subject := fmt.Sprintf("version %d", r.Version)
	if r.Version == 0 {
		subject = "the newest version"
	}
	return fmt.Sprintf("%s refused: %s", subject, strings.Join(lines, "; "))
}

// NewRefusal returns a refusal with one problem that concerns the version as a
// whole.
func NewRefusal(v Version, editID, format string, args ...any) *Refusal {
	return &Refusal{Version: v, EditID: editID, Problems: []target.Problem{{Text: fmt.Sprintf(format, args...)}}}
}

// InvalidError reports an edit whose version daemons would refuse.
type InvalidError struct{ Problems []target.Problem }

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// MalformedError reports a stored object that cannot be decoded.
type MalformedError struct {
	Object string
	Err    error
}

// Error returns the object and the cause.
func (m *MalformedError) Error() string { return fmt.Sprintf("%s is malformed: %v", m.Object, m.Err) }

// Unwrap returns the cause.
func (m *MalformedError) Unwrap() error { return m.Err }
