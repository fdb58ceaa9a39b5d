package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/fescuehoist/view"
)

type placeCommand struct {
	Method  string `arg:"" help:"HTTP method of the request, such as GET."`
	Host    string `arg:"" help:"Host name in the request: the service."`
	Path    string `arg:"" help:"Path of the request, with its query."`
	Daemon  string `required:"" env:"FESCUEHOIST_DAEMON" placeholder:"IP:PORT" help:"Admin address of the daemon that would take the request."`
	Account string `placeholder:"NAME" help:"Client account whose key the request would carry."`
	Bytes   int64  `placeholder:"N" help:"Size of the request's body in bytes."`
	JSON    bool   `help:"Print as JSON."`
}

// Run asks a daemon where the request would go and prints the answer. It succeeds also if
// the request would be refused.
func (c *placeCommand) Run(ctx context.Context, out *output) error {
	if host, port, err := net.SplitHostPort(c.Daemon); err != nil || net.ParseIP(host) == nil || port == "" {
		return fmt.Errorf("%w: --daemon: expected an IP address and a port, found %.80q", errInput, c.Daemon)
	}
	body, err := getFromDaemon(ctx, c.Daemon, adminhttp.PlacementPath+"?"+c.query().Encode())
	if err != nil {
		return err
	}
	var p adminhttp.Placement
	if err := json.Unmarshal(body, &p); err != nil {
		return fmt.Errorf("daemon %s: expected a placement as JSON: %w", c.Daemon, err)
	}
	if c.JSON {
		return out.printJSON(&p)
	}
	view.PrintPlacement(out, &p)
	return nil
}

func (c *placeCommand) query() url.Values {
	q := url.Values{}
	q.Set(adminhttp.ParamMethod, c.Method)
	q.Set(adminhttp.ParamHost, c.Host)
	q.Set(adminhttp.ParamPath, c.Path)
	if c.Account != "" {
		q.Set(adminhttp.ParamAccount, c.Account)
	}
	if c.Bytes != 0 {
		q.Set(adminhttp.ParamBytes, strconv.FormatInt(c.Bytes, 10))
	}
	return q
}
