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

// Run checks a file of targets without the platform.
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
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		differences, err := s.differ.DiffEdit(ctx, table, services, servicesToPrune(c.Prune, table, services))
		if err != nil {
			return err
		}
		out.printf("compared with version %d:", table.Version)
		out.printDifferences("  ", differences)
		return nil
	})
}

// servicesToPrune returns the names of the services in table that the file does
// not name, or nil if prune is false.
func servicesToPrune(prune bool, table *manifest.Table, services []*target.Service) []string {
	if !prune {
		return nil
	}
	return configdiff.MissingServices(table, services)
}

// printDifferences prints one line per difference, or a line that says that
// nothing changes.
func (o *output) printDifferences(indent string, differences []target.Difference) {
	for _, d := range differences {
		o.printf("%s%s", indent, d)
	}
	if len(differences) == 0 {
		o.printf("%snothing changes", indent)
	}
}

// expectFlag makes an edit conditional on the version that its author saw.
type expectFlag struct {
	Expect uint64 `placeholder:"VERSION" help:"Edit only if this is the newest version."`
}

type applyCommand struct {
	platformFlag
	authorFlag
	expectFlag
	File  string `arg:"" help:"File of targets (TOML). Services that it does not name are unchanged."`
	Prune bool   `help:"Remove services that the file does not name."`
}

// Run publishes a file as the next version.
func (c *applyCommand) Run(ctx context.Context, out *output) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		edit := &manifest.Edit{
			ID: uuid.NewString(), Author: c.author(), Expect: expectedVersion(c.Expect, table),
			Update: services, Remove: servicesToPrune(c.Prune, table, services),
		}
		return s.publish(ctx, out, edit)
	})
}

type removeCommand struct {
	platformFlag
	authorFlag
	expectFlag
	Services []string `arg:"" name:"service" help:"Names of services to remove."`
	Confirm  bool     `required:"" help:"Confirm that calls of these services may be refused from now on."`
}

// Run removes services.
func (c *removeCommand) Run(ctx context.Context, out *output) error {
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		_, table, _, err := s.editor.Current(ctx)
		if err != nil {
			return err
		}
		for _, name := range c.Services {
			if _, ok := table.Lookup(name); !ok {
				return fmt.Errorf("%w: version %d has no service %q", errInput, table.Version, name)
			}
		}
		edit := &manifest.Edit{ID: uuid.NewString(), Author: c.author(), Expect: expectedVersion(c.Expect, table), Remove: c.Services}
		return s.publish(ctx, out, edit)
	})
}

// expectedVersion returns the version on which an edit is based: the one given
// with --expect, or else the one just read.
func expectedVersion(given uint64, table *manifest.Table) manifest.Version {
	if given != 0 {
		return manifest.Version(given)
	}
	return table.Version
}

// publish publishes the edit as the next version and prints the outcome: the
// new version with its changes, or on a conflict the edits in between.
func (s *session) publish(ctx context.Context, out *output, edit *manifest.Edit) error {
	change, err := s.editor.Publish(ctx, edit)
	var conflict *manifest.ConflictError
	switch {
	case errors.As(err, &conflict):
		if printErr := s.printConflict(ctx, out, conflict, edit); printErr != nil {
			out.printf("cannot show the conflicting edits: %v", printErr)
		}
		return err
	case errors.Is(err, manifest.ErrOutcomeUnknown):
		return fmt.Errorf("%w; check fescuehoist history for edit %s before you repeat it", err, edit.ID)
	case err != nil:
		return err
	case change == nil:
		out.printf("nothing changes: the newest version already has these targets")
		return nil
	}
	out.printf("accepted as version %d (edit %s)", change.Version, change.EditID)
	return s.printChange(ctx, out, change)
}

// printChange prints the differences that a change made. It prints nothing if
// the version before it cannot be read, for example because the platform no
// longer keeps it.
func (s *session) printChange(ctx context.Context, out *output, c *manifest.Change) error {
	head, _, err := s.editor.Repo.Head(ctx)
	if err != nil {
		return nil
	}
	before, err := s.differ.TableAt(ctx, head, c.Version-1)
	if err != nil {
		return nil
	}
	differences, err := s.differ.DiffChange(ctx, before, c)
	if err == nil {
		out.printDifferences("  ", differences)
	}
	return nil
}

// printConflict prints both sides of a conflict: the edits accepted since the
// expected version, and the differences that this edit would have made.
func (s *session) printConflict(ctx context.Context, out *output, c *manifest.ConflictError, edit *manifest.Edit) error {
	head, _, err := s.editor.Repo.Head(ctx)
	if err != nil {
		return err
	}
	table, err := s.differ.TableAt(ctx, head, c.Expected)
	if err != nil {
		return err
	}
	wanted, err := s.differ.DiffEdit(ctx, table, edit.Update, edit.Remove)
	if err != nil {
		return err
	}
	out.printf("nothing was applied: this edit is based on version %d, and version %d is the newest", c.Expected, c.Found)
	out.printf("accepted in between:")
	for i := range c.Changes {
		change := &c.Changes[i]
		out.printf("  version %d by %s at %s (edit %s)", change.Version, change.Author, view.Time(change.At), change.EditID)
		differences, err := s.differ.DiffChange(ctx, table, change)
		if err != nil {
			return err
		}
		out.printDifferences("    ", differences)
		if table, err = table.Apply(change); err != nil {
			return err
		}
	}
	out.printf("changes of this edit:")
	out.printDifferences("    ", wanted)
	out.printf("get the newest version with fescuehoist get, repeat your change in it, and apply it with --expect %d", c.Found)
	return nil
}
