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

// Edit is what an operator asks for.
type Edit struct {
	// ID identifies the edit; a retry of the same edit keeps it.
	ID     string
	Author string
	// Update lists services to add or change, Remove those to take away.
	Update []*target.Service
	Remove []string
	// Expect is the version that the operator saw; 0 takes the newest.
	Expect Version
}

// ConflictError says that the version the operator expected is no longer the
// newest, and which changes came in between.
type ConflictError struct {
	Expected, Found Version
	Changes         []Change
}

// Error names both versions.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d but found %d", c.Expected, c.Found)
}

// Unwrap makes the conflict match ErrConflict.
func (c *ConflictError) Unwrap() error { return ErrConflict }

// Editor publishes edits through the repository.
type Editor struct {
	Repo Repository
	// Attempts bounds how often a step whose outcome is unknown is repeated.
	Attempts int
	// Delay is the pause between those attempts.
	Delay time.Duration
}

// Defaults for steps whose outcome is unknown.
const (
	DefaultAttempts = 10
	DefaultDelay    = 200 * time.Millisecond
)

// bodyWriters is the number of bodies that are stored at the same time.
const bodyWriters = 4

// NewEditor returns an editor with default limits.
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

// Publish makes the edit the next version and returns the change. An edit that
// changes nothing returns a nil change, one that was accepted before returns
// its change again. The error is an *Invalid or a *Conflict if the edit was not
// accepted for that reason, and matches ErrUnknown if it may have been.
func (e *Editor) Publish(ctx context.Context, edit *Edit) (*Change, error) {
	if err := edit.check(); err != nil {
		return nil, err
	}
	head, table, rev, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if c := head.find(edit.ID); c != nil {
		return c, nil
	}
	if edit.Expect != 0 && edit.Expect != head.Version {
		return nil, conflict(edit.Expect, head)
	}
	change, err := plan(edit, table)
	if change == nil || err != nil {
		return nil, err
	}
	if err := e.putBodies(ctx, edit.Update); err != nil {
		return nil, err
	}
	next, err := e.extend(ctx, head, change)
	if err != nil {
		return nil, err
	}
	return e.commit(ctx, next, rev, change)
}

// check returns an *Invalid if the edit cannot become a good version.
func (edit *Edit) check() error {
	var problems []target.Problem
	names := make(map[string]bool, len(edit.Update))
	for _, s := range edit.Update {
		problems = append(problems, s.Validate()...)
		if names[s.Name] {
			problems = append(problems, target.Problem{Service: s.Name, Text: "is in the edit twice; leave one out"})
		}
		names[s.Name] = true
	}
	for _, name := range edit.Remove {
		if names[name] {
			problems = append(problems, target.Problem{Service: name, Text: "is both changed and removed; leave one out"})
		}
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// plan returns the change that the edit makes to the table, or nil.
func plan(edit *Edit, table *Table) (*Change, error) {
	c := &Change{Version: table.Version + 1, EditID: edit.ID, Author: edit.Author, At: time.Now()}
	for _, s := range edit.Update {
		d := s.Digest()
		if have, ok := table.Lookup(s.Name); ok && have == d {
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
	if err != nil {
		return nil, invalid("%v", err)
	}
	return c, nil
}

// putBodies stores the content before any version refers to it.
func (e *Editor) putBodies(ctx context.Context, services []*target.Service) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(bodyWriters)
	for _, s := range services {
		g.Go(func() error {
			return e.store(ctx, func() error { return e.Repo.PutBody(ctx, s) })
		})
	}
	return g.Wait()
}

// store repeats a write of content-addressed data, which may be done again,
// while its outcome is unknown. Its failure never leaves the edit's own outcome
// unknown, since no version refers to the data yet.
func (e *Editor) store(ctx context.Context, put func() error) error {
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
	return fmt.Errorf("the edit was not accepted: its content could not be stored: %v", err)
}

// extend returns the head after the change, with the older changes folded into
// a new base when the list is full.
func (e *Editor) extend(ctx context.Context, head *Head, c *Change) (*Head, error) {
	next := &Head{Version: c.Version, Base: head.Base, Changes: append(slices.Clone(head.Changes), *c)}
	n := next.fold()
	if n == 0 {
		return next, nil
	}
	table, err := e.table(ctx, &Head{Base: head.Base, Changes: next.Changes[:n]})
	if err != nil {
		return nil, err
	}
	err = e.store(ctx, func() error {
		next.Base, err = e.Repo.PutTable(ctx, table)
		return err
	})
	next.Changes = next.Changes[n:]
	return next, err
}

// fold returns how many of the oldest changes go into a new base: none while
// the limits of the head hold.
func (h *Head) fold() int {
	if len(h.Changes) <= MaxHeadChanges && refs(h.Changes) <= MaxHeadRefs {
		return 0
	}
	n := max(len(h.Changes)-KeptHeadChanges, 0)
	for n < len(h.Changes)-1 && refs(h.Changes[n:]) > MaxHeadRefs/2 {
		n++
	}
	return n
}

// refs counts the services that the changes touch.
func refs(changes []Change) int {
	n := 0
	for i := range changes {
		n += len(changes[i].Updated) + len(changes[i].Removed)
	}
	return n
}

// commit replaces the head. While the outcome is unknown it reads the head
// and, if that is still the old one, sends the same conditional update again:
// the condition lets at most one of them take effect, and a late one fails once
// any other has. So an edit is called not accepted only when it cannot be
// accepted any more.
func (e *Editor) commit(ctx context.Context, next *Head, rev Revision, c *Change) (*Change, error) {
	err := e.Repo.CommitHead(ctx, next, rev)
	for range e.Attempts {
		switch {
		case err == nil:
			return c, nil
		case !errors.Is(err, ErrConflict) && !errors.Is(err, ErrOutcomeUnknown):
			return nil, err
		}
		found, settled, cause := e.resolve(ctx, c, rev)
		if settled {
			return found, cause
		}
		if wait.For(ctx, e.Delay) != nil {
			break
		}
		if cause == nil {
			err = e.again(ctx, next, rev)
		}
	}
	if err == nil {
		return c, nil
	}
	return nil, fmt.Errorf("edit %s: %w", c.EditID, ErrOutcomeUnknown)
}

// again repeats the update of the head. A failure that is not known to be a
// conflict leaves the outcome of the first attempt as unknown as it was.
func (e *Editor) again(ctx context.Context, next *Head, rev Revision) error {
	err := e.Repo.CommitHead(ctx, next, rev)
	if err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// resolve reads the head to find out what became of the change. The outcome is
// settled unless the head cannot be read or is still the one at rev.
func (e *Editor) resolve(ctx context.Context, c *Change, rev Revision) (found *Change, settled bool, cause error) {
	head, now, err := e.Repo.Head(ctx)
	if err != nil {
		return nil, false, err
	}
	if found := head.find(c.EditID); found != nil {
		return found, true, nil
	}
	if now == rev {
		return nil, false, nil
	}
	if head.Base.Version >= c.Version {
		return nil, true, fmt.Errorf("edit %s: %w: its version is older than the changes kept", c.EditID, ErrOutcomeUnknown)
	}
	return nil, true, conflict(c.Version-1, head)
}

// find returns the change of an edit, or nil.
func (h *Head) find(editID string) *Change {
	for i := range h.Changes {
		if h.Changes[i].EditID == editID {
			return &h.Changes[i]
		}
	}
	return nil
}

func conflict(expected Version, head *Head) *ConflictError {
	return &ConflictError{Expected: expected, Found: head.Version, Changes: slices.Clone(ChangesAfter(head.Changes, expected))}
}
