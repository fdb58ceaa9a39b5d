// Package httpconn implements an HTTP/1.1 client pool and server. The client sends
// one request at a time on each connection and reports for each failed call
// whether any byte of the request was sent.
package httpconn

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

var errPoolClosed = errors.New("connection pool is closed")

// Pool is a pool of client connections to one address.
type Pool struct {
	address string
	dial    DialFunc
	budget  *Budget
	// onMalformed may be nil.
	onMalformed func(address string, err *MalformedError)

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Options configure one exchange.
type Options struct {
	// InactivityTimeout is the maximum time without a received byte; then the
	// exchange fails with the reason call.Silent. 0 means no limit.
	InactivityTimeout time.Duration
	// NewConnection opens a new connection instead of reusing an idle one.
	NewConnection bool
	// MaxIdleAge is how long a connection may have been idle and still be
	// reused; 0 means the constant MaxIdleAge. A server may close an idle connection at any
	// time, and it is unknown whether a request sent at that moment ran.
	MaxIdleAge time.Duration
	// Check validates the header of an answer. If it returns ErrOtherRequest, the
	// answer is dropped and the next one is read; any other error fails the
	// exchange and closes the connection.
	Check func(resp *fasthttp.Response) error
	// AllowCloseDelimited accepts an answer without a declared length, whose body ends
	// with the connection. The exchange fails if the server did not receive the whole
	// request, since the connection may then have broken.
	AllowCloseDelimited bool
	// AskFirst sends the head of the request alone, with "Expect: 100-continue", and
	// the body once the server has asked for it. Until then the request has not run.
	AskFirst bool
	// AskTimeout replaces InactivityTimeout until the server asks for the body, if that
	// is 0: a request that has not run may be sent elsewhere.
	AskTimeout time.Duration
	// BeforeBody is called when the server has asked for the body, and may wait until ctx
	// ends, with the exchange at the latest. If it returns an error, the body is not sent
	// and the exchange fails with that error, which must be a *call.Failure with verdict
	// NotRun. It may be nil.
	BeforeBody func(ctx context.Context) error
	// onContinue is called for each interim answer that asks for the body.
	onContinue func()
}

// ErrOtherRequest is the error of Options.Check for an answer to an earlier
// request.
var ErrOtherRequest = errors.New("answer belongs to another request")

// NewPool returns a pool for an address. If dial is nil, it uses plain TCP.
func NewPool(address string, dial DialFunc) *Pool {
	if dial == nil {
		dial = Dialer().DialContext
	}
	return &Pool{address: address, dial: dial}
}

// SetAnswerBudget bounds the bytes of the answers that are read at the same time.
// It must be called before the first exchange.
func (p *Pool) SetAnswerBudget(b *Budget) { p.budget = b }

// OnMalformed sets a function that is called for each malformed answer with the address
// that it came from. It must be called before the first exchange.
func (p *Pool) OnMalformed(report func(address string, err *MalformedError)) { p.onMalformed = report }

// Do sends the request and reads the complete answer. Errors are of type
// *call.Failure, with the verdict NotRun if no byte of the request was sent.
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
	c.headBytes = 0
	c.received = false
	startInactivityTimer(c, o.headTimeout())
	stop := context.AfterFunc(ctx, c.interrupt)
	err = roundTrip(ctx, c, req, resp, &o)
	if err == nil {
		c.answer.handOver(ctx)
	} else {
		c.answer.release()
	}
	interrupted := !stop()
	inactive := stopInactivityTimer(c)
	if err == nil {
		p.put(c, resp, interrupted || inactive)
		return nil
	}
	_ = c.Close()
	p.reportMalformed(err)
	var unsent *call.Failure
	if errors.As(err, &unsent) {
		return unsent
	}
	f := &call.Failure{Verdict: verdictOf(c), Reason: call.ReasonOf(ctx, call.Cut), Err: err}
	if (inactive || errors.Is(err, syscall.ETIMEDOUT)) && ctx.Err() == nil {
		f.Reason = call.Silent
	}
	if f.Reason == call.Silent || (f.Reason == call.Deadline && !c.received) {
		p.closeIdleSince(start)
	}
	return f
}

func (p *Pool) reportMalformed(err error) {
	var m *MalformedError
	if p.onMalformed != nil && errors.As(err, &m) {
		p.onMalformed(p.address, m)
	}
}

func verdictOf(c *conn) call.Verdict {
	if c.written.Load() <= c.headBytes {
		return call.NotRun
	}
	return call.MayHaveRun
}

// largeBodySize is the body size in bytes above which the request is written
// concurrently with reading the answer, since a server may answer before it has
// read a long body.
const largeBodySize = 16 << 10

func roundTrip(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	var err error
	if o.AskFirst {
		err = roundTripAsked(ctx, c, req, resp, o)
	} else {
		err = roundTripAtOnce(c, req, resp, o)
	}
	if err == nil && isCloseDelimited(req, resp) {
		return awaitReceipt(c.Conn)
	}
	return err
}

func roundTripAtOnce(c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	if len(req.Body()) <= largeBodySize {
		if err := send(c, req); err != nil {
			return err
		}
		return readAnswer(c, req, resp, o)
	}
	sent := make(chan error, 1)
	go func() { sent <- send(c, req) }()
	return endSending(c, req, resp, sent, readAnswer(c, req, resp, o))
}

// sendGrace is how long the sending of a body may go on after its answer. The answer may
// arrive before the sending goroutine has returned from its last write; the connection
// would be closed for nothing then.
const sendGrace = 20 * time.Millisecond

// endSending ends an exchange whose answer was read, or not with err, while the request
// was being sent.
func endSending(c *conn, req *fasthttp.Request, resp *fasthttp.Response, sent <-chan error, err error) error {
	if err == nil {
		if isCloseDelimited(req, resp) {
			// The answer may have broken off if the request could not be written.
			return receiptError(<-sent)
		}
		grace := time.NewTimer(sendGrace)
		defer grace.Stop()
		select {
		case sendErr := <-sent:
			if sendErr != nil {
				// The answer is whole; the server closed without reading the request.
				resp.SetConnectionClose()
			}
			return nil
		case <-grace.C:
		}
	}
	// The server would read the rest of the body as part of this request, so the
	// connection cannot be reused.
	resp.SetConnectionClose()
	_ = c.Close()
	var unsent *call.Failure
	if sendErr := <-sent; err != nil && errors.As(sendErr, &unsent) {
		return unsent
	}
	return err
}

func send(c *conn, req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// get returns an idle connection that can be reused, or a new one.
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
		if time.Since(c.idleSince) < o.MaxIdleAge && isReusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, p.budget), nil
}

func (p *Pool) pop() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	n := len(p.idle)
	if n == 0 {
		return nil, nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c, nil
}

// maxSpareAge is how long a connection may stay idle while the pool is in use. The
// connection used last is used next, so that one that stays idle is not needed.
const maxSpareAge = 5 * time.Second

// put returns a connection to the pool. It closes it if it was interrupted (its
// deadline is in the past), if the answer ends it, or if bytes after the answer were
// received.
func (p *Pool) put(c *conn, resp *fasthttp.Response, interrupted bool) {
	if interrupted || resp.ConnectionClose() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	if oldest := p.idle[0]; c.idleSince.Sub(oldest.idleSince) > maxSpareAge {
		p.idle = slices.Delete(p.idle, 0, 1)
		_ = oldest.Close()
	}
}

// CloseExpired closes the connections that were idle for longer than MaxIdleAge.
func (p *Pool) CloseExpired() { p.closeIdleSince(time.Now().Add(-MaxIdleAge)) }

// closeIdleSince closes the connections that have been idle since the given time
// or earlier. When one connection stops responding, those that were idle before
// the exchange began may be dead as well.
func (p *Pool) closeIdleSince(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince.After(since) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections. Running calls keep theirs until they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
