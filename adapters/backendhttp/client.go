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

var errNoBackend = errors.New("no backend server has announced itself")

// Client calls one backend server, whose address may change.
type Client struct {
	// Dialect encodes what the backend server is told; nil means the native one.
	Dialect callhttp.Dialect

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

func (c *Client) dialect() callhttp.Dialect {
	if c.Dialect == nil {
		return callhttp.Native{}
	}
	return c.Dialect
}

// Call runs the call at the backend server.
func (c *Client) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	pool := c.current()
	if pool == nil {
		return nil, call.Refuse(call.Unreachable, errNoBackend)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	dialect := c.dialect()
	callhttp.WriteRequest(r, req)
	dialect.WriteCall(ctx, r, req)
	o := httpconn.Options{
		NewConnection: r.NewConnection,
		AllowCloseDelimited:    dialect.CloseDelimited(),
		Check:         func(resp *fasthttp.Response) error { return dialect.CheckAnswer(r, resp) },
	}
	if r.Class == nil || !r.Class.Idempotent {
		o.MaxIdleAge = httpconn.MaxIdleAgeNonIdempotent
	}
	if err := pool.DoWith(ctx, req, resp, o); err != nil {
		return nil, err
	}
	if refusal := dialect.Refusal(r, resp); refusal != nil {
		return nil, refusal
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
