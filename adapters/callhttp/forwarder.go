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
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/route"
)

const (
	// ProgressInterval is the time between the interim answers that a daemon
	// sends while a forwarded call runs.
	ProgressInterval = 50 * time.Millisecond
	// MissedInterimAnswers is the number of interim answers that may be missing during a
	// forwarded call that may run twice; then the call is retried over another
	// connection.
	MissedInterimAnswers = 4
	// DefaultInactivityTimeout is how long a connection may deliver no byte then.
	DefaultInactivityTimeout = MissedInterimAnswers * ProgressInterval
)

// Forwarder sends calls and control messages to other daemons.
type Forwarder struct {
	// Mesh is the name of the mesh; daemons of other meshes refuse its requests.
	Mesh string
	// InactivityTimeout is how long a connection may deliver no byte during a
	// call that may run twice; 0 means no limit, for daemons that send no
	// interim answers.
	InactivityTimeout time.Duration
	// AnswerBudget bounds the bytes of the answers that are read at the same time;
	// nil means no bound.
	AnswerBudget *httpconn.Budget
	// OnMalformed is called for each malformed answer of another daemon; it may be nil.
	OnMalformed func(address string, err *httpconn.MalformedError)

	// Uplink bounds the large bodies that leave this host; nil means no bound.
	Uplink Uplink

	dial           httpconn.DialFunc
	lastCallNumber atomic.Uint64

	mu        sync.Mutex
	pools     map[string]*pool
	lastSweep time.Time
}

// Uplink decides when large bodies leave this host.
type Uplink interface {
	// Send waits until a body of the given length in bytes may leave. Errors are of type
	// *call.Failure with verdict NotRun.
	Send(ctx context.Context, r *call.Request, length int64) (*link.Body, error)
}

// pool holds the connections to one daemon.
type pool struct {
	*httpconn.Pool
	lastUsed time.Time
}

const (
	// sweepInterval is the minimum time between two sweeps for expired idle
	// connections.
	sweepInterval = 10 * time.Second
	// poolIdleTimeout is how long the pool of a daemon is kept without a
	// request.
	poolIdleTimeout = 2 * time.Minute
)

// NewForwarder returns a forwarder. If dial is nil, it uses plain TCP.
func NewForwarder(dial httpconn.DialFunc) *Forwarder {
	return &Forwarder{InactivityTimeout: DefaultInactivityTimeout, dial: dial, pools: map[string]*pool{}, lastSweep: time.Now()}
}

// Forward sends a call to the daemon at address and returns its answer. Errors
// are of type *call.Failure.
func (f *Forwarder) Forward(ctx context.Context, address string, r *call.Request) (*call.Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	WriteRequest(r, req)
	writeDaemonFields(ctx, r, req)
	writeForwardFields(r, req)
	number := f.numberRequest(req)
	o := httpconn.Options{NewConnection: r.NewConnection, AskFirst: r.AskFirst, AskTimeout: f.InactivityTimeout, InactivityTimeout: f.InactivityTimeout, Check: func(resp *fasthttp.Response) error {
		return checkCallNumber(number, resp)
	}}
	if r.Class == nil || !r.Class.Idempotent {
		o.InactivityTimeout = 0
		o.MaxIdleAge = httpconn.MaxIdleAgeNonIdempotent
	}
	if r.AskFirst && f.Uplink != nil {
		var body *link.Body
		o.BeforeBody = func(ctx context.Context) (err error) {
			body, err = f.Uplink.Send(ctx, r, int64(len(r.Body)))
			return err
		}
		defer func() { body.End() }()
	}
	if err := f.pool(address).DoWith(ctx, req, resp, o); err != nil {
		return nil, err
	}
	return parseAnswer(resp)
}

// Probe opens a connection to the daemon at address and closes it. The error is
// route.ErrNotResponding if opening it timed out.
func (f *Forwarder) Probe(ctx context.Context, address string) error {
	dial := f.dial
	if dial == nil {
		dial = httpconn.Dialer().DialContext
	}
	c, err := dial(ctx, "tcp", address)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fmt.Errorf("%w: %w", route.ErrNotResponding, err)
	}
	if err != nil {
		return err
	}
	return c.Close()
}

// numberRequest sets the mesh name and a request number that identifies the
// answer, and returns the number.
func (f *Forwarder) numberRequest(req *fasthttp.Request) string {
	number := strconv.FormatUint(f.lastCallNumber.Add(1), 36)
	req.Header.Set(headerCall, number)
	req.Header.Set(headerMesh, f.Mesh)
	return number
}

var (
	errNoVerdict     = errors.New("answer of the daemon carries no valid Fescuehoist-Verdict field")
	errRemoteFailure = errors.New("reported by the daemon beside the backend server")
	errOtherCall     = errors.New("answer carries the number of another call")
)

// checkCallNumber returns an error for an answer to another call. The answer to
// a malformed request carries no number.
func checkCallNumber(number string, resp *fasthttp.Response) error {
	got := string(resp.Header.Peek(headerCall))
	if got == number || (got == "" && string(resp.Header.Peek(HeaderReason)) == string(call.BadRequest)) {
		return nil
	}
	return errOtherCall
}

// parseAnswer returns the answer of the backend server, or the failure that the
// other daemon reported as a *call.Failure.
func parseAnswer(resp *fasthttp.Response) (*call.Answer, error) {
	verdict, ok := call.ParseVerdict(string(resp.Header.Peek(HeaderVerdict)))
	if !ok {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: errNoVerdict}
	}
	if verdict != call.Ran {
		reason := call.Reason(resp.Header.Peek(HeaderReason))
		load := parseLoad(string(resp.Header.Peek(headerLoad)))
		return nil, &call.Failure{Verdict: verdict, Reason: reason, Err: errRemoteFailure, Load: load}
	}
	a := ReadAnswer(resp)
	a.Leaving = len(resp.Header.Peek(headerLeaving)) > 0
	a.Load = parseLoad(string(resp.Header.Peek(headerLoad)))
	return a, nil
}

func (f *Forwarder) pool(address string) *httpconn.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.lastSweep) > sweepInterval {
		f.sweep(now)
	}
	p := f.pools[address]
	if p == nil {
		p = &pool{Pool: httpconn.NewPool(address, f.dial)}
		p.SetAnswerBudget(f.AnswerBudget)
		p.OnMalformed(f.OnMalformed)
		f.pools[address] = p
	}
	p.lastUsed = now
	return p.Pool
}

// sweep closes expired idle connections and removes the pools that were not used
// within poolIdleTimeout.
func (f *Forwarder) sweep(now time.Time) {
	f.lastSweep = now
	for address, p := range f.pools {
		p.CloseExpired()
		if now.Sub(p.lastUsed) > poolIdleTimeout {
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
