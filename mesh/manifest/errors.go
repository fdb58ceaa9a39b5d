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
	// InPart means that only the services with problems keep what was in force before.
	InPart bool
}

// maxNamedProblems bounds the problems in the text of a refusal.
const maxNamedProblems = 20

// Error returns the problems, separated by semicolons.
func (r *Refusal) Error() string {
	var lines []string
	for _, p := range r.Problems[:min(len(r.Problems), maxNamedProblems)] {
		lines = append(lines, p.Error())
	}
	if more := len(r.Problems) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", more))
	}
	subject, verb := fmt.Sprintf("version %d", r.Version), "refused"
	if r.Version == 0 {
		subject = "the newest version"
	}
	if r.InPart {
		verb = "refused in part"
	}
	return fmt.Sprintf("%s %s: %s", subject, verb, strings.Join(lines, "; "))
}

// ServiceCount returns the number of services with problems. The problems of a service
// follow each other.
func (r *Refusal) ServiceCount() int {
	n, last := 0, ""
	for _, p := range r.Problems {
		if p.Service != last {
			n, last = n+1, p.Service
		}
	}
	return n
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
