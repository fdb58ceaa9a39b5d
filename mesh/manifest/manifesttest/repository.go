// Package manifesttest provides an in-memory repository with faults, histories
// of versions made by hand, and the tests that every repository must pass.
package manifesttest

import (
	"context"
	"errors"
	"slices"
	"sync"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// ErrUnavailable is the error of every call while the repository is away.
var ErrUnavailable = errors.New("the platform is away")

// Repository keeps configuration in memory.
type Repository struct {
	mu       sync.Mutex
	head     *manifest.Head
	headErr  error
	revision manifest.Revision
	bodies   map[target.Digest]*target.Service
	tables   map[target.Digest]*manifest.Table
	away     bool
	calls    int
	changed  chan struct{}
	// onCommit stands for the network between the editor and the platform.
	onCommit func(write func() error) error
}

// NewRepository returns an empty repository.
func NewRepository() *Repository {
	return &Repository{
		head: &manifest.Head{}, bodies: map[target.Digest]*target.Service{},
		tables: map[target.Digest]*manifest.Table{}, changed: make(chan struct{}),
	}
}

// SetUnavailable makes every call fail, or ends that.
func (r *Repository) SetUnavailable(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
	r.wake()
}

// Calls returns the number of calls so far, a watch counted as one.
func (r *Repository) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// InterceptCommit replaces how an update of the head reaches the repository: f calls
// write, before or after it returns, or not at all.
func (r *Repository) InterceptCommit(f func(write func() error) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCommit = f
}

// SetHead puts a head, or the error of reading it, past the conditions.
func (r *Repository) SetHead(h *manifest.Head, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headErr = h, err
	r.revision++
	r.wake()
}

// DropBody removes a body.
func (r *Repository) DropBody(d target.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.bodies, d)
}

func (r *Repository) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// begin counts a call and locks the repository.
func (r *Repository) begin() error {
	r.mu.Lock()
	r.calls++
	if r.away {
		return ErrUnavailable
	}
	return nil
}

// Head returns the head and its revision.
func (r *Repository) Head(context.Context) (*manifest.Head, manifest.Revision, error) {
	err := r.begin()
	defer r.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	return clone(r.head), r.revision, r.headErr
}

func clone(h *manifest.Head) *manifest.Head {
	return &manifest.Head{Version: h.Version, Base: h.Base, Changes: slices.Clone(h.Changes)}
}

// WaitHead returns the head once its revision is above after.
func (r *Repository) WaitHead(ctx context.Context, after manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	err := r.begin()
	for {
		h, rev, headErr, away, changed := clone(r.head), r.revision, r.headErr, r.away, r.changed
		r.mu.Unlock()
		if err != nil || away {
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
	err := r.begin()
	network := r.onCommit
	r.mu.Unlock()
	if err != nil {
		return err
	}
	write := func() error { return r.commit(h, expect) }
	if network != nil {
		return network(write)
	}
	return write()
}

func (r *Repository) commit(h *manifest.Head, expect manifest.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision != expect {
		return manifest.ErrConflict
	}
	r.head, r.headErr = clone(h), nil
	r.revision++
	r.wake()
	return nil
}

// Body returns the service stored under a digest.
func (r *Repository) Body(_ context.Context, d target.Digest) (*target.Service, error) {
	err := r.begin()
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
	err := r.begin()
	defer r.mu.Unlock()
	if err == nil {
		r.bodies[s.Digest()] = s
	}
	return err
}

// Table returns a stored base table.
func (r *Repository) Table(_ context.Context, ref manifest.TableRef) (*manifest.Table, error) {
	err := r.begin()
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
	err := r.begin()
	defer r.mu.Unlock()
	ref := manifest.TableRef{Version: t.Version, Digest: t.Digest()}
	if err == nil {
		r.tables[ref.Digest] = t
	}
	return ref, err
}
