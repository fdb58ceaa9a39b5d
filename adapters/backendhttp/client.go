// Package backendhttp sends calls to the backend server beside the daemon.
package backendhttp

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
)

var errNoBackend = errors.New("no backend server has announced its address")

// ConditionObserver receives what the backend server says about itself in its answers.
type ConditionObserver interface {
	ObserveCondition(instance string, n call.Condition)
	ObserveInvalidCondition(instance string, err error)
}

// Client makes calls to one backend server, whose address may change.
type Client struct {
	// Dialect encodes the metadata of calls; nil means callhttp.Native.
	Dialect callhttp.Dialect
	// Conditions may be nil.
	Conditions ConditionObserver
	// AnswerBudget bounds the bytes of the answers that are read at the same time;
	// nil means no bound.
	AnswerBudget *httpconn.Budget

	mu      sync.Mutex
	address string
	pool    *httpconn.Pool
}

// SetAddress sets the address for new calls and closes the idle connections to
// the previous one.
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
	c.pool.SetAnswerBudget(c.AnswerBudget)
}

func (c *Client) dialect() callhttp.Dialect {
	if c.Dialect == nil {
		return callhttp.Native{}
	}
	return c.Dialect
}

// Call sends a call to the backend server and returns its answer. Errors are of
// type *call.Failure, with the reason unreachable if no address is set.
func (c *Client) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	pool := c.currentPool()
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
		NewConnection:       r.NewConnection,
		AllowCloseDelimited: dialect.CloseDelimited(),
		Check:               func(resp *fasthttp.Response) error { return dialect.CheckAnswer(r, resp) },
	}
	if r.Class == nil || !r.Class.Idempotent {
		o.MaxIdleAge = httpconn.MaxIdleAgeNonIdempotent
	}
	if err := pool.DoWith(ctx, req, resp, o); err != nil {
		return nil, err
	}
	refusal := dialect.Refusal(r, resp)
	if refusal != nil && refusal.Reason == call.Misdirected {
		return nil, refusal
	}
	condition := c.observeCondition(r.Instance, resp)
	if refusal != nil {
		return nil, refusal
	}
	answer := callhttp.ReadAnswer(resp)
	answer.Leaving = condition.Leaving
	return answer, nil
}

// observeCondition returns the condition in an answer of the instance that the call was
// addressed to, and passes it on.
func (c *Client) observeCondition(instance string, resp *fasthttp.Response) call.Condition {
	n, err := c.dialect().Condition(resp)
	if c.Conditions == nil {
		return n
	}
	if err != nil {
		c.Conditions.ObserveInvalidCondition(instance, err)
	}
	c.Conditions.ObserveCondition(instance, n)
	return n
}

func (c *Client) currentPool() *httpconn.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// shutdownPeriod is how long the listener of a crashed backend server may stay open
// after the first of its connections was cut.
const shutdownPeriod = 20 * time.Millisecond

// Alive reports whether the backend server accepts connections and keeps them. Only a
// refused connection counts as proof that it does not; a timeout, for example, does
// not, nor does a connection that is closed by a server at its limit of connections.
func (c *Client) Alive(ctx context.Context) bool {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	for range 2 {
		nc, err := httpconn.Dialer().DialContext(ctx, "tcp", address)
		if err != nil {
			return !errors.Is(err, syscall.ECONNREFUSED)
		}
		if staysOpen(nc) {
			return true
		}
	}
	return true
}

// staysOpen closes a connection after shutdownPeriod and reports whether the other
// end had kept it open until then.
func staysOpen(nc net.Conn) bool {
	defer nc.Close()
	_ = nc.SetReadDeadline(time.Now().Add(shutdownPeriod))
	_, err := nc.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.pool.Close()
	}
}
