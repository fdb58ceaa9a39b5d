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

// Recover replaces the head, whatever its state, by a new version above the
// given one whose complete configuration is the edit's services. It is for a
// platform that lost versions which daemons know, or whose head cannot be read:
// daemons refuse that head until there is one whose base table is above every
// version that they know. The errors are those of Publish.
func (e *Editor) Recover(ctx context.Context, edit *Edit, above Version) (*Change, error) {
	if err := edit.check(); err != nil {
		return nil, err
	}
	head, rev, err := e.Repo.Head(ctx)
	var malformed *MalformedError
	if err != nil && !errors.As(err, &malformed) {
		return nil, err
	}
	if err == nil && head.Version > above {
		return nil, newInvalidError("the platform is at version %d; specify that version or a later one", head.Version)
	}
	if err := e.putBodies(ctx, edit.Update); err != nil {
		return nil, err
	}
	table := newTable(edit.Update, above+1)
	change := &Change{Version: above + 2, EditID: edit.ID, Author: edit.Author, At: time.Now()}
	change.Table = (&Table{Version: change.Version, Refs: table.Refs}).Digest()
	if err := errors.Join(table.Check(), change.Check()); err != nil {
		return nil, newInvalidError("%v", err)
	}
	next := &Head{Version: change.Version, Changes: []Change{*change}}
	err = e.storeContent(ctx, func() error {
		next.Base, err = e.Repo.PutTable(ctx, table)
		return err
	})
	if err != nil {
		return nil, err
	}
	return e.commit(ctx, next, rev, change)
}

// newTable returns the table of the services.
func newTable(services []*target.Service, v Version) *Table {
	t := &Table{Version: v}
	for _, s := range services {
		t.Refs = append(t.Refs, Ref{Service: s.Name, Digest: s.Digest()})
	}
	slices.SortFunc(t.Refs, func(a, b Ref) int { return strings.Compare(a.Service, b.Service) })
	return t
}

func newInvalidError(format string, args ...any) *InvalidError {
	return &InvalidError{Problems: []target.Problem{{Text: fmt.Sprintf(format, args...)}}}
}
