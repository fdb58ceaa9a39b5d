// Package configdiff compares versions of the configuration and edits of it, for
// operators to read.
package configdiff

import (
	"context"
	"fmt"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// Differ reads what the comparisons need.
type Differ struct{ Repo manifest.Repository }

// TableAt returns the table of a version that the head still covers.
func (r *Differ) TableAt(ctx context.Context, head *manifest.Head, v manifest.Version) (*manifest.Table, error) {
	if v < head.Base.Version || v > head.Version {
		return nil, fmt.Errorf("version %d: the platform keeps versions %d to %d", v, head.Base.Version, head.Version)
	}
	table := &manifest.Table{}
	if head.Base.Version > 0 {
		base, err := r.Repo.Table(ctx, head.Base)
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

// Services returns all services of a table in the order of their names.
func (r *Differ) Services(ctx context.Context, t *manifest.Table) ([]*target.Service, error) {
	services := make([]*target.Service, 0, len(t.Refs))
	for _, ref := range t.Refs {
		s, err := r.Repo.Body(ctx, ref.Digest)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return services, nil
}

// DiffEdit returns what an edit changes in a table.
func (r *Differ) DiffEdit(ctx context.Context, t *manifest.Table, update []*target.Service, remove []string) ([]target.Difference, error) {
	var found []target.Difference
	for _, s := range update {
		old, err := r.service(ctx, t, s.Name)
		if err != nil {
			return nil, err
		}
		found = append(found, target.Diff(old, s)...)
	}
	for _, name := range remove {
		old, err := r.service(ctx, t, name)
		if err != nil {
			return nil, err
		}
		found = append(found, target.Diff(old, nil)...)
	}
	return found, nil
}

// DiffChange returns what a change did to the table before it.
func (r *Differ) DiffChange(ctx context.Context, before *manifest.Table, c *manifest.Change) ([]target.Difference, error) {
	var update []*target.Service
	for _, ref := range c.Updated {
		s, err := r.Repo.Body(ctx, ref.Digest)
		if err != nil {
			return nil, err
		}
		update = append(update, s)
	}
	return r.DiffEdit(ctx, before, update, c.Removed)
}

// MissingServices returns the services of a table that are not among the given ones.
func MissingServices(t *manifest.Table, services []*target.Service) []string {
	named := make(map[string]bool, len(services))
	for _, s := range services {
		named[s.Name] = true
	}
	var missing []string
	for _, ref := range t.Refs {
		if !named[ref.Service] {
			missing = append(missing, ref.Service)
		}
	}
	return missing
}

func (r *Differ) service(ctx context.Context, t *manifest.Table, name string) (*target.Service, error) {
	digest, ok := t.Lookup(name)
	if !ok {
		return nil, nil
	}
	return r.Repo.Body(ctx, digest)
}
