package manifest

import (
	"context"
	"errors"
	"fmt"
	"time"

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

// Conflict says that the version the operator expected is no longer the
// newest, and which changes came in between.
type Conflict struct {
	Expected, Found Version
	Changes         []Change
}

// Error names both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("expected version %d but found %d", c.Expected, c.Found)
}

// Unwrap makes the conflict match ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }

// Editor publishes edits through the repository.
type Editor struct {
	Repo Repository
	// ResolveAttempts bounds how often an unknown outcome is read again.
	ResolveAttempts int
	// ResolveDelay is the pause between those reads.
	ResolveDelay time.Duration
}

// Defaults for resolving an unknown outcome.
const (
	DefaultResolveAttempts = 10
	DefaultResolveDelay    = 200 * time.Millisecond
)

// NewEditor returns an editor with default limits.
func NewEditor(repo Repository) *Editor {
	return &Editor{Repo: repo, ResolveAttempts: DefaultResolveAttempts, ResolveDelay: DefaultResolveDelay}
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
	for i := range head.Changes {
		next, err := table.Apply(&head.Changes[i])
		if err != nil {
			return nil, err
		}
		table = next
	}
	return table, nil
}

// Publish makes the edit the next version and returns the change. An edit that
// changes nothing returns a nil change.
func (e *Editor) Publish(ctx context.Context, edit *Edit) (*Change, error) {
	head, table, rev, err := e.Current(ctx)
	if err != nil {
		return nil, err
	}
	if edit.Expect != 0 && edit.Expect != head.Version {
		return nil, conflict(edit.Expect, head)
	}
	change := plan(edit, table)
	if change == nil {
		return nil, nil
	}
	for _, s := range edit.Update {
		if err := e.putBody(ctx, s); err != nil {
			return nil, err
		}
	}
	next, err := e.extend(ctx, head, table, change)
	if err != nil {
		return nil, err
	}
	err = e.Repo.CommitHead(ctx, next, rev)
	if err == nil {
		return change, nil
	}
	return e.resolve(ctx, change, err)
}

// putBody stores a body. A body is named by its content, so one that may have
// been stored is stored again, and one that is there already is the same.
func (e *Editor) putBody(ctx context.Context, s *target.Service) error {
	for range e.ResolveAttempts {
		err := e.Repo.PutBody(ctx, s)
		if err == nil || errors.Is(err, ErrConflict) {
			return nil
		}
		if !errors.Is(err, ErrUnknown) || wait.For(ctx, e.ResolveDelay) != nil {
			return err
		}
	}
	return fmt.Errorf("service %s: %w", s.Name, ErrUnknown)
}

// plan returns the change that the edit makes to the table, or nil.
func plan(edit *Edit, table *Table) *Change {
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
		return nil
	}
	return c
}

// extend returns the head after the change, on a new base when the list of
// changes is full.
func (e *Editor) extend(ctx context.Context, head *Head, table *Table, c *Change) (*Head, error) {
	next := &Head{Version: c.Version, Base: head.Base, Changes: append([]Change(nil), head.Changes...)}
	if len(next.Changes) >= MaxHeadChanges {
		base, err := e.Repo.PutTable(ctx, table)
		if err != nil {
			return nil, err
		}
		next.Base, next.Changes = base, nil
	}
	next.Changes = append(next.Changes, *c)
	return next, nil
}

// resolve finds out whether the edit was accepted after a failed commit.
func (e *Editor) resolve(ctx context.Context, c *Change, cause error) (*Change, error) {
	if !errors.Is(cause, ErrConflict) && !errors.Is(cause, ErrUnknown) {
		return nil, cause
	}
	for range e.ResolveAttempts {
		head, _, err := e.Repo.Head(ctx)
		if err == nil {
			return settle(head, c)
		}
		if wait.For(ctx, e.ResolveDelay) != nil {
			break
		}
	}
	return nil, fmt.Errorf("edit %s: %w", c.EditID, ErrUnknown)
}

// settle compares the head found after a failed commit with the change.
func settle(head *Head, c *Change) (*Change, error) {
	for i := range head.Changes {
		if head.Changes[i].EditID == c.EditID {
			return &head.Changes[i], nil
		}
	}
	if head.Base.Version >= c.Version {
		return nil, fmt.Errorf("edit %s: %w: its version is older than the changes kept", c.EditID, ErrUnknown)
	}
	if head.Version < c.Version {
		return nil, fmt.Errorf("edit %s was not accepted", c.EditID)
	}
	return nil, conflict(c.Version-1, head)
}

func conflict(expected Version, head *Head) *Conflict {
	c := &Conflict{Expected: expected, Found: head.Version}
	for i := range head.Changes {
		if head.Changes[i].Version > expected {
			c.Changes = append(c.Changes, head.Changes[i])
		}
	}
	return c
}
