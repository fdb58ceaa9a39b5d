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

// platformFlag is the address of the platform and the settings of the
// connection to it.
type platformFlag struct {
	Platform string `required:"" env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	tlsFlags
}

// tlsFlags are the TLS settings of the connection to the platform.
type tlsFlags struct {
	PlatformAuthority string `name:"platform-authority" env:"FESCUEHOIST_PLATFORM_AUTHORITY" type:"path" placeholder:"FILE" help:"Certificates of the authority that signs the platform's certificate; without it the connection is plain TCP."`
	PlatformName      string `env:"FESCUEHOIST_PLATFORM_NAME" placeholder:"NAME" help:"Name that the platform's certificate must contain; the IP address by default."`
	Certificate       string `env:"FESCUEHOIST_CERTIFICATE" type:"path" placeholder:"FILE" help:"Client certificate to present to the platform."`
	Key               string `env:"FESCUEHOIST_KEY" type:"path" placeholder:"FILE" help:"Private key of the client certificate."`
}

// connect returns a client of the platform, over TLS if an authority is given.
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

// session holds the platform's client and what commands build on it.
type session struct {
	client *platformhttp.Client
	editor *manifest.Editor
	differ *configdiff.Differ
}

// withSession calls fn with a session on the platform, within commandTimeout.
// It marks errors of an unreachable platform with errUnavailable.
func (f *platformFlag) withSession(ctx context.Context, fn func(context.Context, *session) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	client, err := f.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	repo := &platformhttp.Repository{Client: client}
	return markUnavailable(fn(ctx, &session{client: client, editor: manifest.NewEditor(repo), differ: &configdiff.Differ{Repo: repo}}))
}

// markUnavailable wraps err with errUnavailable unless it has another cause.
func markUnavailable(err error) error {
	if err == nil || isClassified(err) {
		return err
	}
	return fmt.Errorf("%w: %w", errUnavailable, err)
}

// authorFlag is the operator's name that is recorded with an edit.
type authorFlag struct {
	Author string `help:"Name recorded with the edit; the user's name by default."`
}

// author returns the given name, or else the name of the operating system's
// user, or else "unknown".
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
