package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/wait"
)

type statusCommand struct {
	Platform string `env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	tlsFlags
	Daemon   string        `env:"FESCUEHOIST_DAEMON" placeholder:"IP:PORT" help:"Admin address of one daemon; prints the state of that daemon instead."`
	Watch    bool          `help:"Print repeatedly until interrupted."`
	Interval time.Duration `default:"10s" help:"Time between prints with --watch."`
	JSON     bool          `help:"Print as JSON."`
}

// Run prints the status of the mesh, or the state of one daemon. With --watch it
// repeats until ctx ends and prints errors instead of returning them.
func (c *statusCommand) Run(ctx context.Context, out *output) error {
	for {
		err := c.printOnce(ctx, out)
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

// printOnce prints the status once.
func (c *statusCommand) printOnce(ctx context.Context, out *output) error {
	switch {
	case c.Daemon != "":
		return c.printDaemonState(ctx, out)
	case c.Platform != "":
		return (&platformFlag{c.Platform, c.tlsFlags}).withSession(ctx, func(ctx context.Context, s *session) error {
			v, err := view.Load(ctx, s.client)
			if err != nil {
				return err
			}
			if c.JSON {
				return out.printJSON(view.NewStatus(v))
			}
			view.NewStatus(v).Print(out)
			return nil
		})
	}
	return fmt.Errorf("%w: give --platform or --daemon", errInput)
}

// printDaemonState prints the JSON state from one daemon's admin address.
func (c *statusCommand) printDaemonState(ctx context.Context, out *output) error {
	body, err := getFromDaemon(ctx, c.Daemon, "/v1/state")
	if err != nil {
		return err
	}
	_, err = out.Write(body)
	return err
}

// getFromDaemon returns the body that a daemon's admin address answers with. An answer
// that the request is wrong gives errInput with its text.
func getFromDaemon(ctx context.Context, address, uri string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	pool := httpconn.NewPool(address, nil)
	defer pool.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.SetHost(address)
	if err := pool.Do(ctx, req, resp); err != nil {
		return nil, fmt.Errorf("daemon %s: %w", address, err)
	}
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return bytes.Clone(resp.Body()), nil
	case fasthttp.StatusBadRequest:
		return nil, fmt.Errorf("%w: %s", errInput, bytes.TrimSpace(resp.Body()))
	default:
		return nil, fmt.Errorf("daemon %s answered with status %d, want 200", address, code)
	}
}

// printJSON prints v as indented JSON.
func (o *output) printJSON(v any) error {
	e := json.NewEncoder(o)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
