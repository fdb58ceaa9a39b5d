// Package backendhttp carries calls to the backend server beside the daemon.
package backendhttp

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
)

var (
	errNoBackend = errors.New("no backend server has announced itself")
	errShed      = errors.New("the backend server refused the request")
)

// Client calls one backend server, whose address may change.
type Client struct {
	mu      sync.Mutex
	address string
	pool    *httpconn.Pool
}

// SetAddress directs new calls to an address.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address && c.pool != nil {
		return
	}
	if c.pool != nil {
		c.pool.Close()
	}
	c.address, c.pool = address, httpconn.NewPool(address, nil)
}

// Call runs the call at the backend server. A 503 answer that carries the
// verdict not-run is the documented way in which a backend server refuses.
func (c *Client) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	pool := c.current()
	if pool == nil {
		return nil, call.Refuse(call.Unreachable, errNoBackend)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	callhttp.WriteRequest(ctx, r, req)
	callhttp.SetDepth(req, r.Depth+1)
	o := httpconn.Options{NewConnection: r.NewConnection}
	if r.Class == nil || !r.Class.Idempotent {
		o.MaxIdle = httpconn.MaxIdleOnce
	}
	if err := pool.DoWith(ctx, req, resp, o); err != nil {
		return nil, err
	}
	verdict := string(resp.Header.Peek(callhttp.HeaderVerdict))
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && verdict == call.NotRun.String() {
		return nil, call.Refuse(call.Shed, errShed)
	}
	return callhttp.ReadAnswer(resp), nil
}

func (c *Client) current() *httpconn.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// Alive reports whether the backend server accepts connections. Only a refused
// connection shows that it does not.
func (c *Client) Alive(ctx context.Context) bool {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	nc, err := httpconn.Dialer().DialContext(ctx, "tcp", address)
	if err == nil {
		_ = nc.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.pool.Close()
	}
}
