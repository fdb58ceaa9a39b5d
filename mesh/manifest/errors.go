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
	// ErrIncomplete says that an update lacks a body that it refers to.
	ErrIncomplete = errors.New("a body is missing from the update")
	// ErrConflict says that another edit was accepted first.
	ErrConflict = errors.New("another edit was accepted first")
	// ErrNotFound says that the platform has no such object.
	ErrNotFound = errors.New("no such object")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = errors.New("the outcome of the write is unknown")
)

// Refusal says why a version is not put in force. The version before it stays.
type Refusal struct {
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
	return fmt.Sprintf("version %d refused: %s", r.Version, strings.Join(lines, "; "))
}

// Malformed says that a stored object cannot be decoded.
type Malformed struct {
	Object string
	Err    error
}

// Error names the object and the cause.
func (m *Malformed) Error() string { return fmt.Sprintf("%s is malformed: %v", m.Object, m.Err) }

// Unwrap returns the cause.
func (m *Malformed) Unwrap() error { return m.Err }
