package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/wait"
)

type statusCommand struct {
	Platform string `env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	tlsFlags
	Daemon   string        `env:"FESCUEHOIST_DAEMON" placeholder:"IP:PORT" help:"Admin address of one daemon to ask instead."`
	Watch    bool          `help:"Print again and again until interrupted."`
	Interval time.Duration `default:"10s" help:"Time between prints with --watch."`
	JSON     bool          `help:"Print as JSON."`
}

// Run prints what each class gets and what each failure domain has in force.
func (c *statusCommand) Run(ctx context.Context, out *output) error {
	for {
		err := c.once(ctx, out)
		if !c.Watch {
			return err
		}
		if err != nil {
			out.printf("%v", err)
		}
		if wait.For(ctx, c.Interval) != nil {
			return nil
		}
	}
}

func (c *statusCommand) once(ctx context.Context, out *output) error {
	switch {
	case c.Daemon != "":
		return c.daemon(out)
	case c.Platform != "":
		return (&platformFlag{c.Platform, c.tlsFlags}).with(ctx, func(ctx context.Context, s *session) error {
			v, err := view.Load(ctx, s.client)
			if err != nil {
				return err
			}
			if c.JSON {
				return out.json(view.NewStatus(v))
			}
			view.NewStatus(v).Print(out)
			return nil
		})
	}
	return fmt.Errorf("%w: give --platform or --daemon", errInput)
}

// daemon prints one daemon's state.
func (c *statusCommand) daemon(out *output) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+c.Daemon+"/v1/state", commandTimeout)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", c.Daemon, err)
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("daemon %s answered with status %d", c.Daemon, code)
	}
	_, err = out.Write(body)
	return err
}

func (o *output) json(v any) error {
	e := json.NewEncoder(o)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
