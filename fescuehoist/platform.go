package main

import (
	"context"
	"fmt"
	"os/user"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/review"
)

// platformFlag names the platform.
type platformFlag struct {
	Platform string `required:"" env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
}

// session is what a command holds while it talks to the platform.
type session struct {
	client *platformhttp.Client
	editor *manifest.Editor
	review *review.Reviewer
}

// with runs f with a session on the platform, within the command's timeout.
func (f *platformFlag) with(ctx context.Context, do func(context.Context, *session) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	client := platformhttp.NewClient(f.Platform)
	defer client.Close()
	repo := &platformhttp.Repository{Client: client}
	return away(do(ctx, &session{client: client, editor: manifest.NewEditor(repo), review: &review.Reviewer{Repo: repo}}))
}

// away marks errors that say that the platform cannot be reached.
func away(err error) error {
	if err == nil || settled(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errAway, err)
}

// authorFlag names the operator.
type authorFlag struct {
	Author string `help:"Name recorded with the edit; the user's name by default."`
}

func (f *authorFlag) author() string {
	if f.Author != "" {
		return f.Author
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
