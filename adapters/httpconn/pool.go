// Package httpconn makes and serves HTTP/1.1 calls, one at a time on each
// connection, and knows for each failed call whether any byte of it left.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

// Limits of connections.
const (
	// MaxIdleAge is how long an idle connection may be used again.
	MaxIdleAge = 30 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// MaxAnswerSize bounds the body of an answer, in bytes.
	MaxAnswerSize = 32 << 20
	bufferSize    = 8 << 10
)

// Errors of calls.
var (
	errUnframed = errors.New("the answer declares no length")
	errClosed   = errors.New("the pool is closed")
)

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps connections to one address.
type Pool struct {
	address string
	dial    DialFunc

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// conn is a connection that counts the bytes written.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written int
	idleAt  time.Time
}

// Write counts the bytes that left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// NewPool returns a pool for an address. A nil dial uses plain TCP.
func NewPool(address string, dial DialFunc) *Pool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: DialTimeout}).DialContext
	}
	return &Pool{address: address, dial: dial}
}

// Do sends the request and reads the whole answer. An error is a
// *call.Failure: NotRun if no byte of the request left.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, err := p.get(ctx)
	if err != nil {
		return call.Refuse(reasonOf(ctx, call.Unreachable), err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	c.written = 0
	err = exchange(c, req, resp)
	if !stop() && err == nil {
		_ = c.Close()
		return nil
	}
	if err != nil {
		_ = c.Close()
		return &call.Failure{Verdict: verdictOf(c), Reason: reasonOf(ctx, call.Cut), Err: err}
	}
	p.put(c, resp)
	return nil
}

func verdictOf(c *conn) call.Verdict {
	if c.written == 0 {
		return call.NotRun
	}
	return call.MayHaveRun
}

// reasonOf returns why a call failed, given that it failed for other if its
// context has not ended.
func reasonOf(ctx context.Context, other call.Reason) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.Deadline
	case ctx.Err() != nil:
		return call.Canceled
	}
	return other
}

func exchange(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	return readAnswer(c.r, req, resp)
}

func readAnswer(r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response) error {
	for {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusContinue {
			break
		}
	}
	status := resp.StatusCode()
	if req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	if resp.Header.ContentLength() == -2 {
		return errUnframed
	}
	if err := resp.ReadBody(r, MaxAnswerSize); err != nil {
		return fmt.Errorf("answer cut: %w", err)
	}
	return nil
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c, err := p.pop()
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Since(c.idleAt) < MaxIdleAge && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	return c, nil
}

func (p *Pool) pop() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	n := len(p.idle)
	if n == 0 {
		return nil, nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, nil
}

// put keeps a connection whose last answer was read whole and exactly.
func (p *Pool) put(c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections; calls that run keep theirs.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
