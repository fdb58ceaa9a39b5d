package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/fescuehoist/demo"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// platformFlag names the platform.
type platformFlag struct {
	Platform string `required:"" env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
}

// editor returns an editor on the platform and a function that closes it.
func (f *platformFlag) editor() (*manifest.Editor, func()) {
	client := platformhttp.NewClient(f.Platform)
	return manifest.NewEditor(&platformhttp.Repository{Client: client}), client.Close
}

// away marks errors that say that the platform cannot be reached.
func away(err error) error {
	if err == nil || errors.Is(err, manifest.ErrConflict) || errors.Is(err, manifest.ErrUnknown) {
		return err
	}
	return fmt.Errorf("%w: %w", errAway, err)
}

type checkCommand struct {
	File string `arg:"" help:"File of targets (TOML)."`
}

// Run checks a file.
func (c *checkCommand) Run() error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	classes := 0
	for _, s := range services {
		classes += len(s.Classes)
	}
	fmt.Printf("%s: %d services with %d classes, no problems\n", c.File, len(services), classes)
	return nil
}

type applyCommand struct {
	platformFlag
	File   string `arg:"" help:"File of targets (TOML)."`
	Expect uint64 `placeholder:"VERSION" help:"Apply only if this is the newest version."`
	Author string `help:"Name recorded with the edit; the user's name by default."`
}

// Run publishes a file as the next version.
func (c *applyCommand) Run(ctx context.Context) error {
	services, err := targetfile.Load(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	editor, done := c.editor()
	defer done()
	edit := &manifest.Edit{ID: uuid.NewString(), Author: c.author(), Update: services, Expect: manifest.Version(c.Expect)}
	change, err := editor.Publish(ctx, edit)
	if err != nil {
		return away(err)
	}
	if change == nil {
		fmt.Println("nothing changes; the newest version has these targets already")
		return nil
	}
	fmt.Printf("accepted as version %d (edit %s)\n", change.Version, change.EditID)
	return nil
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type getCommand struct {
	platformFlag
}

// Run prints the newest version as a file of targets.
func (c *getCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	editor, done := c.editor()
	defer done()
	_, table, _, err := editor.Current(ctx)
	if err != nil {
		return away(err)
	}
	var services []*target.Service
	for _, ref := range table.Refs {
		s, err := editor.Repo.Body(ctx, ref.Digest)
		if err != nil {
			return away(err)
		}
		services = append(services, s)
	}
	text, err := targetfile.Format(services)
	if err != nil {
		return oops.In("get").Wrap(err)
	}
	fmt.Printf("# version %d\n%s", table.Version, text)
	return nil
}

type statusCommand struct {
	Daemon string `required:"" env:"FESCUEHOIST_DAEMON" placeholder:"IP:PORT" help:"Admin address of a daemon."`
}

// Run prints a daemon's state.
func (c *statusCommand) Run() error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+c.Daemon+"/v1/state", commandTimeout)
	if err != nil {
		return oops.In("status").Wrap(err)
	}
	if status != fasthttp.StatusOK {
		return oops.In("status").Errorf("the daemon answered with status %d", status)
	}
	_, err = os.Stdout.Write(body)
	return err
}

type demoCommand struct {
	Deployment string        `default:"nuqta" enum:"nuqta,trinacria" help:"Whose deployment to run: nuqta or trinacria."`
	Seed       uint64        `default:"1" help:"Seed of the random choices of the callers."`
	Duration   time.Duration `default:"12s" help:"How long calls run."`
	Targets    string        `placeholder:"FILE" help:"File of targets; examples/DEPLOYMENT/targets.toml by default."`
	JSON       bool          `help:"Print the result as JSON."`
	Verbose    bool          `help:"Print the daemons' messages to standard error."`
}

// Run carries out the demonstration.
func (c *demoCommand) Run(ctx context.Context) error {
	file := c.Targets
	if file == "" {
		file = "examples/" + c.Deployment + "/targets.toml"
	}
	services, err := targetfile.Load(file)
	if err != nil {
		return err
	}
	o := demo.Options{Deployment: c.Deployment, Seed: c.Seed, Duration: c.Duration, Targets: services, Out: os.Stderr}
	if c.Verbose {
		o.Log = os.Stderr
	}
	result, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		result.Print(os.Stdout)
	}
	if err == nil && !result.Holds() {
		return errBroken
	}
	return err
}
