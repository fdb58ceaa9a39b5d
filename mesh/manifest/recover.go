package manifest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/mesh/target"
)

// Recover replaces whatever the head is by the edit's services as the whole
// configuration, in a version above the given one. It is for a platform that
// lost versions which daemons know, or whose head cannot be read: daemons
// refuse such a head until one with a table above all that they know.
func (e *Editor) Recover(ctx context.Context, edit *Edit, above Version) (*Change, error) {
	if err := edit.check(); err != nil {
		return nil, err
	}
	head, rev, err := e.Repo.Head(ctx)
	var bad *MalformedError
	if err != nil && !errors.As(err, &bad) {
		return nil, err
	}
	if err == nil && head.Version > above {
		return nil, invalid("the platform is at version %d; give that version or a later one", head.Version)
	}
	if err := e.putBodies(ctx, edit.Update); err != nil {
		return nil, err
	}
	table := tableOf(edit.Update, above+1)
	change := &Change{Version: above + 2, EditID: edit.ID, Author: edit.Author, At: time.Now()}
	change.Table = (&Table{Version: change.Version, Refs: table.Refs}).Digest()
	if err := errors.Join(table.Check(), change.Check()); err != nil {
		return nil, invalid("%v", err)
	}
	next := &Head{Version: change.Version, Changes: []Change{*change}}
	err = e.store(ctx, func() error {
		next.Base, err = e.Repo.PutTable(ctx, table)
		return err
	})
	if err != nil {
		return nil, err
	}
	return e.commit(ctx, next, rev, change)
}

func tableOf(services []*target.Service, v Version) *Table {
	t := &Table{Version: v}
	for _, s := range services {
		t.Refs = append(t.Refs, Ref{Service: s.Name, Digest: s.Digest()})
	}
	slices.SortFunc(t.Refs, func(a, b Ref) int { return strings.Compare(a.Service, b.Service) })
	return t
}

func invalid(format string, args ...any) *InvalidError {
	return &InvalidError{Problems: []target.Problem{{Text: fmt.Sprintf(format, args...)}}}
}
