// Package manifesttest provides an in-memory repository with injectable faults,
// hand-made histories of versions, and the contract test for implementations of
// manifest.Repository.
package manifesttest

import (
	"context"
	"errors"
	"slices"
	"sync"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// ErrUnavailable is the error of every call while the repository is
// unavailable.
var ErrUnavailable = errors.New("the platform is unavailable")

// Repository stores configuration in memory.
type Repository struct {
	mu          sync.Mutex
	head        *manifest.Head
	headErr     error
	revision    manifest.Revision
	bodies      map[target.Digest]*target.Service
	tables      map[target.Digest]*manifest.Table
	unavailable bool
	calls       int
	changed     chan struct{}
	// commitInterceptor simulates the network between the editor and the
	// platform.
	commitInterceptor func(write func() error) error
}

// NewRepository returns an empty repository.
func NewRepository() *Repository {
	return &Repository{
		head: &manifest.Head{}, bodies: map[target.Digest]*target.Service{},
		tables: map[target.Digest]*manifest.Table{}, changed: make(chan struct{}),
	}
}

// SetUnavailable makes every call fail with ErrUnavailable, or ends that.
func (r *Repository) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
	r.notify()
}

// Calls returns the number of calls so far; a watch counts as one call.
func (r *Repository) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// InterceptCommit sets the function that delivers updates of the head. It may
// call write before or after it returns, or not at all. nil restores direct
// delivery.
func (r *Repository) InterceptCommit(f func(write func() error) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commitInterceptor = f
}

// SetHead sets the head, or the error of reading it, without the revision
// check.
func (r *Repository) SetHead(h *manifest.Head, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headErr = h, err
	r.revision++
	r.notify()
}

// DropBody removes a stored body.
func (r *Repository) DropBody(d target.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.bodies, d)
}

// notify wakes all watches.
func (r *Repository) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// startCall counts a call and locks the repository; the caller unlocks it. It
// returns ErrUnavailable if the repository is unavailable.
func (r *Repository) startCall() error {
	r.mu.Lock()
	r.calls++
	if r.unavailable {
		return ErrUnavailable
	}
	return nil
}

// Head returns the head and its revision.
func (r *Repository) Head(context.Context) (*manifest.Head, manifest.Revision, error) {
	err := r.startCall()
	defer r.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	return cloneHead(r.head), r.revision, r.headErr
}

func cloneHead(h *manifest.Head) *manifest.Head {
	return &manifest.Head{Version: h.Version, Base: h.Base, Changes: slices.Clone(h.Changes)}
}

// WaitHead returns the head once its revision is above after.
func (r *Repository) WaitHead(ctx context.Context, after manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	err := r.startCall()
	for {
		h, rev, headErr, unavailable, changed := cloneHead(r.head), r.revision, r.headErr, r.unavailable, r.changed
		r.mu.Unlock()
		if err != nil || unavailable {
			return nil, 0, ErrUnavailable
		}
		if rev > after {
			return h, rev, headErr
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		}
		r.mu.Lock()
	}
}

// CommitHead replaces the head if its revision is still expect.
func (r *Repository) CommitHead(_ context.Context, h *manifest.Head, expect manifest.Revision) error {
	err := r.startCall()
	intercept := r.commitInterceptor
	r.mu.Unlock()
	if err != nil {
		return err
	}
	write := func() error { return r.commit(h, expect) }
	if intercept != nil {
		return intercept(write)
	}
	return write()
}

func (r *Repository) commit(h *manifest.Head, expect manifest.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision != expect {
		return manifest.ErrConflict
	}
	r.head, r.headErr = cloneHead(h), nil
	r.revision++
	r.notify()
	return nil
}

// Body returns the service stored under a digest.
func (r *Repository) Body(_ context.Context, d target.Digest) (*target.Service, error) {
	err := r.startCall()
	defer r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s, ok := r.bodies[d]
	if !ok {
		return nil, manifest.ErrNotFound
	}
	return s, nil
}

// PutBody stores a service under its digest.
func (r *Repository) PutBody(_ context.Context, s *target.Service) error {
	err := r.startCall()
	defer r.mu.Unlock()
	if err == nil {
		r.bodies[s.Digest()] = s
	}
	return err
}

// Table returns a stored base table.
func (r *Repository) Table(_ context.Context, ref manifest.TableRef) (*manifest.Table, error) {
	err := r.startCall()
	defer r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	t, ok := r.tables[ref.Digest]
	if !ok {
		return nil, manifest.ErrNotFound
	}
	return t, nil
}

// PutTable stores a base table.
func (r *Repository) PutTable(_ context.Context, t *manifest.Table) (manifest.TableRef, error) {
	err := r.startCall()
	defer r.mu.Unlock()
	ref := manifest.TableRef{Version: t.Version, Digest: t.Digest()}
	if err == nil {
		r.tables[ref.Digest] = t
	}
	return ref, err
}
