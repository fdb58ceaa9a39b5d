package manifest

import (
	"context"

	"fescuehoist.example/mesh/target"
)

// Revision is the platform's revision of the head object; 0 means that the
// object does not exist.
type Revision uint64

// Repository stores configuration in the platform. Methods return ErrNotFound,
// ErrConflict or ErrOutcomeUnknown where these apply, and a *MalformedError for
// an object that cannot be decoded; a malformed head is returned with its
// revision.
type Repository interface {
	// Head returns the head and its revision; a missing head has version 0.
	Head(ctx context.Context) (*Head, Revision, error)
	// WaitHead returns the head once its revision is above after, or
	// ErrUnchanged if the platform's watch ends before that.
	WaitHead(ctx context.Context, after Revision) (*Head, Revision, error)
	// CommitHead replaces the head if its revision is still expect; otherwise it
	// returns ErrConflict.
	CommitHead(ctx context.Context, h *Head, expect Revision) error
	// Body returns the service stored under a digest.
	Body(ctx context.Context, d target.Digest) (*target.Service, error)
	// PutBody stores a service under its digest. Storing it again succeeds, and
	// replaces a stored object that cannot be decoded.
	PutBody(ctx context.Context, s *target.Service) error
	// Table returns a stored base table.
	Table(ctx context.Context, ref TableRef) (*Table, error)
	// PutTable stores a base table, like PutBody, and returns its reference.
	PutTable(ctx context.Context, t *Table) (TableRef, error)
}
