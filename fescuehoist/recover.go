package main

import (
	"context"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/mesh/manifest"
)

type recoverCommand struct {
	platformFlag
	authorFlag
	File    string `arg:"" help:"File of targets (TOML) with every service."`
	Above   uint64 `required:"" placeholder:"VERSION" help:"Highest version that any daemon knows, as status shows it."`
	Confirm bool   `required:"" help:"Confirm that the file replaces the whole configuration."`
}

// Run replaces a head that daemons refuse by the file, as a version above the
// given one.
func (c *recoverCommand) Run(ctx context.Context, out *output) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	return c.withSession(ctx, func(ctx context.Context, s *session) error {
		edit := &manifest.Edit{ID: uuid.NewString(), Author: c.author(), Update: services}
		change, err := s.editor.Recover(ctx, edit, manifest.Version(c.Above))
		if err == nil {
			out.printf("accepted as version %d (edit %s)", change.Version, change.EditID)
		}
		return err
	})
}
