package callhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/route"
)

const (
	// ProgressInterval is the time between the interim answers that a daemon
	// sends while it runs a forwarded call.
	ProgressInterval = 50 * time.Millisecond
	// DefaultInactivityTimeout is how long nothing may come of a forwarded call that may
	// run again, before it is tried over another connection.
	DefaultInactivityTimeout = 4 * ProgressInterval
)

// Forwarder carries calls to other daemons.
type Forwarder struct {
	// Mesh names the mesh; a daemon of another one refuses what is sent to it.
	Mesh string
	// InactivityTimeout is how long nothing may come of a call that may run again; 0
	// means no limit, for daemons that send no interim answers.
	InactivityTimeout time.Duration

	dial  httpconn.DialFunc
	calls atomic.Uint64

	mu      sync.Mutex
	pools   map[string]*pool
	sweptAt time.Time
}

// pool holds the connections to one daemon.
type pool struct {
	*httpconn.Pool
	usedAt time.Time
}

const (
	// sweepInterval is the least time between two looks for connections that
	// have been idle for too long.
	sweepInterval = 10 * time.Second
	// poolLifetime is how long the pool of a daemon is kept without a call.
	poolLifetime = 2 * time.Minute
)

// NewForwarder returns a forwarder. A nil dial uses plain TCP.
func NewForwarder(dial httpconn.DialFunc) *Forwarder {
	return &Forwarder{InactivityTimeout: DefaultInactivityTimeout, dial: dial, pools: map[string]*pool{}, sweptAt: time.Now()}
}

// Forward sends a call to the daemon at address and returns its answer.
func (f *Forwarder) Forward(ctx context.Context, address string, r *call.Request) (*call.Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	WriteRequest(r, req)
	writeOwn(ctx, r, r.Depth, req)
	writeForwarded(r, req)
	number := f.number(req)
	o := httpconn.Options{NewConnection: r.NewConnection, InactivityTimeout: f.InactivityTimeout, Check: func(resp *fasthttp.Response) error {
		return checkNumber(number, resp)
	}}
	if r.Class == nil || !r.Class.Idempotent {
		o.InactivityTimeout = 0
		o.MaxIdleAge = httpconn.MaxIdleAgeNonIdempotent
	}
	if err := f.pool(address).DoWith(ctx, req, resp, o); err != nil {
		return nil, err
	}
	return answerOf(resp)
}

// Probe opens a connection to the daemon at address and closes it. The error is
// route.ErrUnanswered if nothing answered in time.
func (f *Forwarder) Probe(ctx context.Context, address string) error {
	dial := f.dial
	if dial == nil {
		dial = httpconn.Dialer().DialContext
	}
	c, err := dial(ctx, "tcp", address)
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return fmt.Errorf("%w: %w", route.ErrNotResponding, err)
	}
	if err != nil {
		return err
	}
	return c.Close()
}

// number numbers a request, so that its answer can be told from others, and
// names the mesh that it is meant for.
func (f *Forwarder) number(req *fasthttp.Request) string {
	number := strconv.FormatUint(f.calls.Add(1), 36)
	req.Header.Set(headerCall, number)
	req.Header.Set(headerMesh, f.Mesh)
	return number
}

var (
	errNoVerdict = errors.New("the answer carries no verdict")
	errRemote    = errors.New("said the daemon beside the backend server")
	errCrossed   = errors.New("the answer belongs to another call")
)

// checkNumber refuses an answer to another call. A request that could not be
// read is answered without a number.
func checkNumber(number string, resp *fasthttp.Response) error {
	got := string(resp.Header.Peek(headerCall))
	if got == number || (got == "" && string(resp.Header.Peek(HeaderReason)) == string(call.BadRequest)) {
		return nil
	}
	return errCrossed
}

// answerOf returns the answer or the failure that the other daemon reported.
func answerOf(resp *fasthttp.Response) (*call.Answer, error) {
	verdict, ok := call.ParseVerdict(string(resp.Header.Peek(HeaderVerdict)))
	if !ok {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: errNoVerdict}
	}
	if verdict != call.Ran {
		reason := call.Reason(resp.Header.Peek(HeaderReason))
		load := parseLoad(string(resp.Header.Peek(headerLoad)))
		return nil, &call.Failure{Verdict: verdict, Reason: reason, Err: errRemote, Load: load}
	}
	a := ReadAnswer(resp)
	a.Load = parseLoad(string(resp.Header.Peek(headerLoad)))
	return a, nil
}

func (f *Forwarder) pool(address string) *httpconn.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.sweptAt) > sweepInterval {
		f.sweep(now)
	}
	p := f.pools[address]
	if p == nil {
		p = &pool{Pool: httpconn.NewPool(address, f.dial)}
		f.pools[address] = p
	}
	p.usedAt = now
	return p.Pool
}

// sweep closes connections that have been idle for too long, and forgets
// daemons that were not called for a while.
func (f *Forwarder) sweep(now time.Time) {
	f.sweptAt = now
	for address, p := range f.pools {
		p.CloseExpired()
		if now.Sub(p.usedAt) > poolLifetime {
			p.Close()
			delete(f.pools, address)
		}
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.Close()
	}
}
