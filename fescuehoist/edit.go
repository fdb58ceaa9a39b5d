package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/configdiff"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

type checkCommand struct {
	File string `arg:"" help:"File of targets (TOML)."`
}

// Run checks a file.
func (c *checkCommand) Run(out *output) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	classes := 0
	for _, s := range services {
		classes += len(s.Classes)
	}
	out.printf("%s: no problems; services: %d, classes: %d", c.File, len(services), classes)
	return nil
}

type diffCommand struct {
	platformFlag
	File  string `arg:"" help:"File of targets (TOML)."`
	Prune bool   `help:"Count services that the file does not name as removed."`
}

// Run prints what applying the file would change.
func (c *diffCommand) Run(ctx context.Context, out *output) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	return c.with(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		differences, err := s.review.DiffEdit(ctx, table, services, pruned(c.Prune, table, services))
		if err != nil {
			return err
		}
		out.printf("compared with version %d:", table.Version)
		out.differences("  ", differences)
		return nil
	})
}

func pruned(prune bool, table *manifest.Table, services []*target.Service) []string {
	if !prune {
		return nil
	}
	return configdiff.MissingServices(table, services)
}

func (o *output) differences(indent string, differences []target.Difference) {
	for _, d := range differences {
		o.printf("%s%s", indent, d)
	}
	if len(differences) == 0 {
		o.printf("%snothing changes", indent)
	}
}

// expectFlag makes an edit conditional on what its author saw.
type expectFlag struct {
	Expect uint64 `placeholder:"VERSION" help:"Edit only if this is still the newest version."`
}

type applyCommand struct {
	platformFlag
	authorFlag
	expectFlag
	File  string `arg:"" help:"File of targets (TOML). Services that it does not name stay as they are."`
	Prune bool   `help:"Remove services that the file does not name."`
}

// Run publishes a file as the next version.
func (c *applyCommand) Run(ctx context.Context, out *output) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	return c.with(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		edit := &manifest.Edit{
			ID: uuid.NewString(), Author: c.author(), Expect: expected(c.Expect, table),
			Update: services, Remove: pruned(c.Prune, table, services),
		}
		return s.publish(ctx, out, edit)
	})
}

type removeCommand struct {
	platformFlag
	authorFlag
	expectFlag
	Services []string `arg:"" name:"service" help:"Names of services to remove."`
	Confirm  bool     `required:"" help:"Say that calls of these services may be refused from now on."`
}

// Run removes services.
func (c *removeCommand) Run(ctx context.Context, out *output) error {
	return c.with(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		for _, name := range c.Services {
			if _, ok := table.Lookup(name); !ok {
				return fmt.Errorf("%w: version %d has no service %q", errInput, table.Version, name)
			}
		}
		edit := &manifest.Edit{ID: uuid.NewString(), Author: c.author(), Expect: expected(c.Expect, table), Remove: c.Services}
		return s.publish(ctx, out, edit)
	})
}

// expected returns the version to edit: the one given, or the one just read.
func expected(given uint64, table *manifest.Table) manifest.Version {
	if given != 0 {
		return manifest.Version(given)
	}
	return table.Version
}

// publish makes the edit the next version and says what came of it.
func (s *session) publish(ctx context.Context, out *output, edit *manifest.Edit) error {
	change, err := s.editor.Publish(ctx, edit)
	var conflict *manifest.ConflictError
	switch {
	case errors.As(err, &conflict):
		if shown := s.showConflict(ctx, out, conflict, edit); shown != nil {
			out.printf("the edits in between cannot be read: %v", shown)
		}
		return err
	case errors.Is(err, manifest.ErrOutcomeUnknown):
		return fmt.Errorf("%w; look for edit %s in fescuehoist history before you repeat it", err, edit.ID)
	case err != nil:
		return err
	case change == nil:
		out.printf("nothing changes; the newest version has these targets already")
		return nil
	}
	out.printf("accepted as version %d (edit %s)", change.Version, change.EditID)
	return s.showChange(ctx, out, change)
}

// showChange prints what a change did, where its version is still kept.
func (s *session) showChange(ctx context.Context, out *output, c *manifest.Change) error {
	head, _, err := s.editor.Repo.Head(ctx)
	if err != nil {
		return nil
	}
	before, err := s.review.TableAt(ctx, head, c.Version-1)
	if err != nil {
		return nil
	}
	differences, err := s.review.DiffChange(ctx, before, c)
	if err == nil {
		out.differences("  ", differences)
	}
	return nil
}

// showConflict prints both sides: the edits accepted in between, and what this
// edit wanted.
func (s *session) showConflict(ctx context.Context, out *output, c *manifest.ConflictError, edit *manifest.Edit) error {
	head, _, err := s.editor.Repo.Head(ctx)
	if err != nil {
		return err
	}
	table, err := s.review.TableAt(ctx, head, c.Expected)
	if err != nil {
		return err
	}
	wanted, err := s.review.DiffEdit(ctx, table, edit.Update, edit.Remove)
	if err != nil {
		return err
	}
	out.printf("nothing was applied: this edit is based on version %d, and version %d is the newest", c.Expected, c.Found)
	out.printf("accepted in between:")
	for i := range c.Changes {
		change := &c.Changes[i]
		out.printf("  version %d by %s at %s (edit %s)", change.Version, change.Author, view.Time(change.At), change.EditID)
		differences, err := s.review.DiffChange(ctx, table, change)
		if err != nil {
			return err
		}
		out.differences("    ", differences)
		if table, err = table.Apply(change); err != nil {
			return err
		}
	}
	out.printf("this edit wanted:")
	out.differences("    ", wanted)
	out.printf("fetch the newest with fescuehoist get, put your change in again, and apply with --expect %d", c.Found)
	return nil
}
