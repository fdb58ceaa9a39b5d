package main

import (
	"context"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/manifest"
)

type getCommand struct {
	platformFlag
	At uint64 `placeholder:"VERSION" help:"Older version, as long as the platform keeps it; the newest by default."`
}

// Run prints a version as a file of targets.
func (c *getCommand) Run(ctx context.Context, out *output) error {
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		head, _, err := s.editor.Repo.Head(ctx)
		if err != nil {
			return err
		}
		v := head.Version
		if c.At != 0 {
			v = manifest.Version(c.At)
		}
		table, err := s.differ.TableAt(ctx, head, v)
		if err != nil {
			return err
		}
		services, err := s.differ.Services(ctx, table)
		if err != nil {
			return err
		}
		text, err := targetfile.Format(services)
		if err != nil {
			return err
		}
		out.printf("# version %d\n%s", table.Version, text)
		return nil
	})
}

type historyCommand struct {
	platformFlag
	Limit   int  `default:"20" help:"Maximum number of edits to list."`
	Changes bool `help:"Show what each edit changed."`
}

// Run lists the edits, the newest first.
func (c *historyCommand) Run(ctx context.Context, out *output) error {
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		head, _, err := s.editor.Repo.Head(ctx)
		if err != nil {
			return err
		}
		for i := len(head.Changes) - 1; i >= 0 && i >= len(head.Changes)-c.Limit; i-- {
			change := &head.Changes[i]
			out.printf("version %d  %s  %s  edit %s  %d updated, %d removed", change.Version, view.Time(change.At),
				change.Author, change.EditID, len(change.Updated), len(change.Removed))
			if !c.Changes {
				continue
			}
			if err := s.printChange(ctx, out, change); err != nil {
				return err
			}
		}
		if head.Base.Version > 0 {
			out.printf("edits up to version %d are stored as one table", head.Base.Version)
		}
		return nil
	})
}
