package manifest

import (
	"context"

	"fescuehoist.example/mesh/target"
)

// Revision is the platform's own version of the head object; 0 means that the
// object does not exist.
type Revision uint64

// Repository keeps configuration in the platform. Methods return ErrNotFound,
// ErrConflict or ErrUnknown where these apply, and a *Malformed for an object
// that cannot be decoded; a malformed head comes with its revision.
type Repository interface {
	// Head returns the head and its revision; an absent head is version 0.
	Head(ctx context.Context) (*Head, Revision, error)
	// WaitHead returns the head once its revision is above after, or
	// ErrUnchanged if the platform saw no change for a while.
	WaitHead(ctx context.Context, after Revision) (*Head, Revision, error)
	// CommitHead replaces the head if its revision is still expect.
	CommitHead(ctx context.Context, h *Head, expect Revision) error
	// Body returns the service stored under a digest.
	Body(ctx context.Context, d target.Digest) (*target.Service, error)
	// PutBody stores a service under its digest. Storing it again is no error,
	// and replaces an object there that cannot be decoded.
	PutBody(ctx context.Context, s *target.Service) error
	// Table returns a stored base table.
	Table(ctx context.Context, ref TableRef) (*Table, error)
	// PutTable stores a base table as PutBody does, and returns its reference.
	PutTable(ctx context.Context, t *Table) (TableRef, error)
}
