// Package configdiff computes the differences between versions of the
// configuration, and those that an edit makes, for display to operators.
package configdiff

import (
	"context"
	"fmt"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// Differ computes differences. Repo provides the tables and bodies for them.
type Differ struct{ Repo manifest.Repository }

// TableAt returns the table of version v. It returns an error if the head no
// longer covers that version.
func (d *Differ) TableAt(ctx context.Context, head *manifest.Head, v manifest.Version) (*manifest.Table, error) {
	if v < head.Base.Version || v > head.Version {
		return nil, fmt.Errorf("version %d is not stored; the platform has versions %d to %d", v, head.Base.Version, head.Version)
	}
	table := &manifest.Table{}
	if head.Base.Version > 0 {
		base, err := d.Repo.Table(ctx, head.Base)
		if err != nil {
			return nil, err
		}
		table = base
	}
	for i := range head.Changes {
		if head.Changes[i].Version > v {
			break
		}
		next, err := table.Apply(&head.Changes[i])
		if err != nil {
			return nil, err
		}
		table = next
	}
	return table, nil
}

// Services returns all services of a table, sorted by name.
func (d *Differ) Services(ctx context.Context, t *manifest.Table) ([]*target.Service, error) {
	services := make([]*target.Service, 0, len(t.Refs))
	for _, ref := range t.Refs {
		s, err := d.Repo.Body(ctx, ref.Digest)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return services, nil
}

// DiffEdit returns the differences that an edit makes to a table; update lists
// the services to add or change and remove the names of those to remove.
func (d *Differ) DiffEdit(ctx context.Context, t *manifest.Table, update []*target.Service, remove []string) ([]target.Difference, error) {
	var diffs []target.Difference
	for _, s := range update {
		old, err := d.lookupService(ctx, t, s.Name)
		if err != nil {
			return nil, err
		}
		diffs = append(diffs, target.Diff(old, s)...)
	}
	for _, name := range remove {
		old, err := d.lookupService(ctx, t, name)
		if err != nil {
			return nil, err
		}
		diffs = append(diffs, target.Diff(old, nil)...)
	}
	return diffs, nil
}

// DiffChange returns the differences that a change made to the table before it.
func (d *Differ) DiffChange(ctx context.Context, before *manifest.Table, c *manifest.Change) ([]target.Difference, error) {
	var update []*target.Service
	for _, ref := range c.Updated {
		s, err := d.Repo.Body(ctx, ref.Digest)
		if err != nil {
			return nil, err
		}
		update = append(update, s)
	}
	return d.DiffEdit(ctx, before, update, c.Removed)
}

// MissingServices returns the names of the services in a table that are not
// among the given ones.
func MissingServices(t *manifest.Table, services []*target.Service) []string {
	given := make(map[string]bool, len(services))
	for _, s := range services {
		given[s.Name] = true
	}
	var missing []string
	for _, ref := range t.Refs {
		if !given[ref.Service] {
			missing = append(missing, ref.Service)
		}
	}
	return missing
}

// lookupService returns the named service of a table, or nil if the table does
// not have it.
func (d *Differ) lookupService(ctx context.Context, t *manifest.Table, name string) (*target.Service, error) {
	digest, ok := t.Lookup(name)
	if !ok {
		return nil, nil
	}
	return d.Repo.Body(ctx, digest)
}
