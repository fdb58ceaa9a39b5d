package main

import (
	"context"
	"fmt"
	"net"
	"os/user"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/tlsfiles"
	"fescuehoist.example/mesh/configdiff"
	"fescuehoist.example/mesh/manifest"
)

// platformFlag names the platform.
type platformFlag struct {
	Platform string `required:"" env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	tlsFlags
}

// tlsFlags say how the connection to the platform is protected.
type tlsFlags struct {
	PlatformAuthority string `name:"platform-authority" env:"FESCUEHOIST_PLATFORM_AUTHORITY" type:"path" placeholder:"FILE" help:"Certificates of the platform's authority; without it the connection is plain TCP."`
	PlatformName      string `env:"FESCUEHOIST_PLATFORM_NAME" placeholder:"NAME" help:"Name that the platform's certificate must be for; the IP number by default."`
	Certificate       string `env:"FESCUEHOIST_CERTIFICATE" type:"path" placeholder:"FILE" help:"Own certificate to show to the platform."`
	Key               string `env:"FESCUEHOIST_KEY" type:"path" placeholder:"FILE" help:"Private key of the own certificate."`
}

// connect returns a client of the platform.
func (f *platformFlag) connect() (*platformhttp.Client, error) {
	if f.PlatformAuthority == "" {
		return platformhttp.NewClient(f.Platform), nil
	}
	files := tlsfiles.Files{Certificate: f.Certificate, Key: f.Key, Authority: f.PlatformAuthority}
	source, err := tlsfiles.Open(files, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInput, err)
	}
	name := f.PlatformName
	if name == "" {
		name, _, _ = net.SplitHostPort(f.Platform)
	}
	return platformhttp.NewClientWithDial(f.Platform, tlsfiles.Dial(nil, source.ClientConfig(name))), nil
}

// session is what a command holds while it talks to the platform.
type session struct {
	client *platformhttp.Client
	editor *manifest.Editor
	review *configdiff.Differ
}

// with runs f with a session on the platform, within the command's timeout.
func (f *platformFlag) with(ctx context.Context, do func(context.Context, *session) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	client, err := f.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	repo := &platformhttp.Repository{Client: client}
	return away(do(ctx, &session{client: client, editor: manifest.NewEditor(repo), review: &configdiff.Differ{Repo: repo}}))
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
