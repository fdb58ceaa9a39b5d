package manifest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// Edit is a change of the configuration that an operator requests.
type Edit struct {
	// ID identifies the edit; a retry of the same edit has the same ID.
	ID     string
	Author string
	// Update lists services to add or change, Remove those to remove.
	Update []*target.Service
	Remove []string
	// Expect is the version that the operator saw; 0 accepts any version.
	Expect Version
}

// ConflictError reports that the expected version is no longer the newest one,
// with the changes made since.
type ConflictError struct {
	Expected, Found Version
	Changes         []Change
}

// Error returns both versions.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, found version %d", c.Expected, c.Found)
}

// Unwrap makes the error match ErrConflict.
func (c *ConflictError) Unwrap() error { return ErrConflict }

// Editor publishes edits through the repository.
type Editor struct {
	Repo Repository
	// Attempts bounds how often a step whose outcome is unknown is attempted.
	Attempts int
	// Delay is the pause between those attempts.
	Delay time.Duration
}

// Defaults for steps whose outcome is unknown.
const (
	DefaultAttempts = 10
	DefaultDelay    = 200 * time.Millisecond
)

// bodyWriters is the number of bodies that are stored concurrently.
const bodyWriters = 4

// NewEditor returns an editor with the default limits.
func NewEditor(repo Repository) *Editor {
	return &Editor{Repo: repo, Attempts: DefaultAttempts, Delay: DefaultDelay}
}

// Current returns the head and the table of its version.
func (e *Editor) Current(ctx context.Context) (*Head, *Table, Revision, error) {
	head, rev, err := e.Repo.Head(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	table, err := e.table(ctx, head)
	return head, table, rev, err
}

func (e *Editor) table(ctx context.Context, head *Head) (*Table, error) {
	table := &Table{}
	if head.Base.Version > 0 {
		base, err := e.Repo.Table(ctx, head.Base)
		if err != nil {
			return nil, err
		}
		table = base
	}
	table, err := table.ApplyAll(head.Changes)
	if err != nil {
		return nil, &MalformedError{Object: fmt.Sprintf("head %d", head.Version), Err: err}
	}
	return table, nil
}

// Publish publishes the edit as the next version and returns its change. It
// returns a nil change if the edit changes nothing, and the original change if
// the edit was accepted before. The error is an *InvalidError or a
// *ConflictError if the edit was not accepted for that reason, and matches
// ErrOutcomeUnknown if it may have been accepted.
func (e *Editor) Publish(ctx context.Context, edit *Edit) (*Change, error) {
	if err := edit.check(); err != nil {
		return nil, err
	}
	head, table, rev, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if c := head.findEdit(edit.ID); c != nil {
		return c, nil
	}
	if edit.Expect != 0 && edit.Expect != head.Version {
		return nil, newConflictError(edit.Expect, head)
	}
	change, err := planChange(edit, table)
	if change == nil || err != nil {
		return nil, err
	}
	if err := e.putBodies(ctx, edit.Update); err != nil {
		return nil, err
	}
	next, err := e.extendHead(ctx, head, change)
	if err != nil {
		return nil, err
	}
	return e.commit(ctx, next, rev, change)
}

// check returns an *InvalidError if daemons would refuse the edited services.
func (edit *Edit) check() error {
	var problems []target.Problem
	names := make(map[string]bool, len(edit.Update))
	for _, s := range edit.Update {
		problems = append(problems, s.Validate()...)
		if names[s.Name] {
			problems = append(problems, target.Problem{Service: s.Name, Text: "appears twice in the edit; remove one"})
		}
		names[s.Name] = true
	}
	for _, name := range edit.Remove {
		if names[name] {
			problems = append(problems, target.Problem{Service: name, Text: "is both updated and removed; remove one"})
		}
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// planChange returns the change that the edit makes to the table, or nil if
// there is none.
func planChange(edit *Edit, table *Table) (*Change, error) {
	c := &Change{Version: table.Version + 1, EditID: edit.ID, Author: edit.Author, At: time.Now()}
	for _, s := range edit.Update {
		d := s.Digest()
		if existing, ok := table.Lookup(s.Name); ok && existing == d {
			continue
		}
		c.Updated = append(c.Updated, Ref{Service: s.Name, Digest: d})
	}
	for _, name := range edit.Remove {
		if _, ok := table.Lookup(name); ok {
			c.Removed = append(c.Removed, name)
		}
	}
	if len(c.Updated)+len(c.Removed) == 0 {
		return nil, nil
	}
	next, err := table.Apply(c)
	if err != nil {
		return nil, err
	}
	c.Table = next.Digest()
	err = c.Check()
	if err == nil {
		err = next.Check()
	}
	if n := len(next.Refs); err == nil && n > MaxDeclaredServices {
		err = fmt.Errorf("table %d: %d services, want at most %d", next.Version, n, MaxDeclaredServices)
	}
	if err != nil {
		return nil, newInvalidError("%v", err)
	}
	return c, nil
}

// putBodies stores the bodies. It is called before a version that refers to
// them is published.
func (e *Editor) putBodies(ctx context.Context, services []*target.Service) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(bodyWriters)
	for _, s := range services {
		g.Go(func() error {
			return e.storeContent(ctx, func() error { return e.Repo.PutBody(ctx, s) })
		})
	}
	return g.Wait()
}

// storeContent retries a write of content-addressed data while its outcome is
// unknown; repeating such a write is safe. A failure means that the edit was
// not accepted, since no version refers to the data yet, so the returned error
// does not match ErrOutcomeUnknown.
func (e *Editor) storeContent(ctx context.Context, put func() error) error {
	var err error
	for range e.Attempts {
		err = put()
		if !errors.Is(err, ErrOutcomeUnknown) {
			return err
		}
		if wait.For(ctx, e.Delay) != nil {
			break
		}
	}
	return fmt.Errorf("edit not accepted: storing its content failed: %v", err)
}

// extendHead returns the head after the change. If a limit of the head is
// exceeded, it moves the oldest changes into a new base table and stores that.
func (e *Editor) extendHead(ctx context.Context, head *Head, c *Change) (*Head, error) {
	next := &Head{Version: c.Version, Base: head.Base, Changes: append(slices.Clone(head.Changes), *c)}
	n := next.foldCount()
	if n == 0 {
		return next, nil
	}
	table, err := e.table(ctx, &Head{Base: head.Base, Changes: next.Changes[:n]})
	if err != nil {
		return nil, err
	}
	err = e.storeContent(ctx, func() error {
		next.Base, err = e.Repo.PutTable(ctx, table)
		return err
	})
	next.Changes = next.Changes[n:]
	return next, err
}

// foldCount returns how many of the oldest changes have to move into a new base
// table; 0 if the head is within its limits.
func (h *Head) foldCount() int {
	if len(h.Changes) <= MaxHeadChanges && countRefs(h.Changes) <= MaxHeadRefs {
		return 0
	}
	n := max(len(h.Changes)-RetainedHeadChanges, 0)
	for n < len(h.Changes)-1 && countRefs(h.Changes[n:]) > MaxHeadRefs/2 {
		n++
	}
	return n
}

// countRefs returns the number of services that the changes touch.
func countRefs(changes []Change) int {
	n := 0
	for i := range changes {
		n += len(changes[i].Updated) + len(changes[i].Removed)
	}
	return n
}

// commit replaces the head. While the outcome is unknown it reads the head and,
// if that has not changed, sends the same conditional update again. At most one
// of these updates takes effect, and a delayed one fails once any other has
// succeeded. Therefore commit reports that the edit was not accepted only when
// it can no longer be accepted.
func (e *Editor) commit(ctx context.Context, next *Head, rev Revision, c *Change) (*Change, error) {
	err := e.Repo.CommitHead(ctx, next, rev)
	for range e.Attempts {
		switch {
		case err == nil:
			return c, nil
		case !errors.Is(err, ErrConflict) && !errors.Is(err, ErrOutcomeUnknown):
			return nil, err
		}
		found, settled, cause := e.resolveOutcome(ctx, c, rev)
		if settled {
			return found, cause
		}
		if wait.For(ctx, e.Delay) != nil {
			break
		}
		if cause == nil {
			err = e.retryCommit(ctx, next, rev)
		}
	}
	if err == nil {
		return c, nil
	}
	return nil, fmt.Errorf("edit %s: %w", c.EditID, ErrOutcomeUnknown)
}

// retryCommit sends the update of the head again. A failure other than a
// conflict does not reveal whether the first attempt succeeded, so it is
// returned as ErrOutcomeUnknown.
func (e *Editor) retryCommit(ctx context.Context, next *Head, rev Revision) error {
	err := e.Repo.CommitHead(ctx, next, rev)
	if err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// resolveOutcome reads the head to find out whether the change was accepted.
// The outcome is not settled if the head cannot be read or still has the
// revision rev.
func (e *Editor) resolveOutcome(ctx context.Context, c *Change, rev Revision) (found *Change, settled bool, cause error) {
	head, current, err := e.Repo.Head(ctx)
	if err != nil {
		return nil, false, err
	}
	if found := head.findEdit(c.EditID); found != nil {
		return found, true, nil
	}
	if current == rev {
		return nil, false, nil
	}
	if head.Base.Version >= c.Version {
		return nil, true, fmt.Errorf("edit %s: %w: its version is older than the changes in the head", c.EditID, ErrOutcomeUnknown)
	}
	return nil, true, newConflictError(c.Version-1, head)
}

// findEdit returns the change made by an edit, or nil.
func (h *Head) findEdit(editID string) *Change {
	for i := range h.Changes {
		if h.Changes[i].EditID == editID {
			return &h.Changes[i]
		}
	}
	return nil
}

func newConflictError(expected Version, head *Head) *ConflictError {
	return &ConflictError{Expected: expected, Found: head.Version, Changes: slices.Clone(ChangesAfter(head.Changes, expected))}
}
