// Package httpconn makes and serves HTTP/1.1 calls, one at a time on each
// connection, and knows for each failed call whether any byte of it left.
package httpconn

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

var errClosed = errors.New("the pool is closed")

// Pool keeps connections to one address.
type Pool struct {
	address string
	dial    DialFunc

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Options change one exchange.
type Options struct {
	// InactivityTimeout is how long nothing may arrive before the exchange fails with
	// the reason call.Silent; 0 means no limit.
	InactivityTimeout time.Duration
	// NewConnection opens a connection in place of using an idle one.
	NewConnection bool
	// MaxIdleAge is how long a connection may have been idle before it is used
	// again; 0 means MaxIdleAge. A server may close one at any moment, and a
	// request that crosses that may have run.
	MaxIdleAge time.Duration
	// Check examines the header of an answer. ErrOtherRequest drops the answer
	// and reads the next one; any other error fails the exchange and closes the
	// connection.
	Check func(resp *fasthttp.Response) error
	// AllowCloseDelimited accepts an answer without a length that ends with its
	// connection.
	AllowCloseDelimited bool
}

// ErrOtherRequest says that an answer belongs to an earlier request.
var ErrOtherRequest = errors.New("the answer belongs to another request")

// NewPool returns a pool for an address. A nil dial uses plain TCP.
func NewPool(address string, dial DialFunc) *Pool {
	if dial == nil {
		dial = Dialer().DialContext
	}
	return &Pool{address: address, dial: dial}
}

// Do sends the request and reads the whole answer. An error is a
// *call.Failure: NotRun if no byte of the request left.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return p.DoWith(ctx, req, resp, Options{})
}

// DoWith is Do with options.
func (p *Pool) DoWith(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Options) error {
	start := time.Now()
	c, err := p.get(ctx, o)
	if err != nil {
		return call.Refuse(call.ReasonOf(ctx, call.Unreachable), err)
	}
	c.written.Store(0)
	c.heard = false
	watchSilence(c, o.InactivityTimeout)
	stop := context.AfterFunc(ctx, c.expire)
	err = roundTrip(c, req, resp, &o)
	expired := !stop()
	silent := endSilence(c)
	if err == nil {
		p.put(c, resp, expired || silent)
		return nil
	}
	_ = c.Close()
	f := &call.Failure{Verdict: verdictOf(c), Reason: call.ReasonOf(ctx, call.Cut), Err: err}
	if (silent || errors.Is(err, syscall.ETIMEDOUT)) && ctx.Err() == nil {
		f.Reason = call.Silent
	}
	if f.Reason == call.Silent || (f.Reason == call.Deadline && !c.heard) {
		p.dropIdle(start)
	}
	return f
}

func verdictOf(c *conn) call.Verdict {
	if c.written.Load() == 0 {
		return call.NotRun
	}
	return call.MayHaveRun
}

// largeBody is the size above which a request is written while the answer is
// awaited, since a server may answer before it has read a long body.
const largeBody = 16 << 10

func roundTrip(c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	if len(req.Body()) <= largeBody {
		if err := send(c, req); err != nil {
			return err
		}
		return readAnswer(c.r, req, resp, o)
	}
	sent := make(chan error, 1)
	go func() { sent <- send(c, req) }()
	err := readAnswer(c.r, req, resp, o)
	select {
	case werr := <-sent:
		if err == nil {
			err = werr
		}
	default:
		// The rest of the body belongs to this request: the connection ends here.
		resp.SetConnectionClose()
		_ = c.Close()
		<-sent
	}
	return err
}

func send(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, o Options) (*conn, error) {
	if o.MaxIdleAge == 0 {
		o.MaxIdleAge = MaxIdleAge
	}
	for !o.NewConnection {
		c, err := p.pop()
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Since(c.idleAt) < o.MaxIdleAge && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
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

// put keeps a connection whose last answer was read whole and exactly, unless
// its deadline was changed meanwhile.
func (p *Pool) put(c *conn, resp *fasthttp.Response, expired bool) {
	if expired || resp.ConnectionClose() || c.r.Buffered() > 0 {
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

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() { p.dropIdle(time.Now().Add(-MaxIdleAge)) }

// dropIdle closes the connections that have been idle since before a time. One
// that went silent may share its fate with others of its age.
func (p *Pool) dropIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleAt.After(since) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
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
