package callhttp

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

// CallerHandler answers requests from callers.
type CallerHandler struct {
	Handler call.Handler
	// Dialect encodes what callers say; nil means Native.
	Dialect Dialect
	// Origin is the service of the backend server beside this daemon.
	Origin string
}

// Handle takes one request through.
func (h *CallerHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	d := orNative(h.Dialect)
	r := ReadRequest(req)
	r.Origin = h.Origin
	left, err := d.ReadCall(req, r)
	if err != nil {
		d.WriteFailure(r, call.Refuse(call.BadRequest, err), resp)
		return
	}
	answer, err := callWithin(ctx, left, h.Handler, r)
	if err != nil {
		d.WriteFailure(r, asFailure(err), resp)
		return
	}
	writeAnswer(answer, resp)
	d.AnnotateAnswer(r, resp)
}

// RejectMalformed answers a request that cannot be read.
func (h *CallerHandler) RejectMalformed(resp *fasthttp.Response) { markUnread(resp) }

// DaemonHandler answers calls that other daemons forward.
type DaemonHandler struct {
	// Mesh names the mesh; what is meant for another one is refused.
	Mesh   string
	Handler call.Handler
	// Control takes messages that are not calls; nil refuses them.
	Control *ControlHandler
}

var errForeign = errors.New("the call is meant for another mesh")

// Handle takes one forwarded call through.
func (h *DaemonHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.Header.SetBytesV(headerCall, req.Header.Peek(headerCall))
	if string(req.Header.Peek(headerMesh)) != h.Mesh {
		writeFailure(call.Refuse(call.Misdirected, errForeign), resp)
		return
	}
	if h.Control != nil && len(req.Header.Peek(headerControl)) > 0 {
		h.Control.handle(ctx, req, resp)
		return
	}
	r := ReadRequest(req)
	left, err := readForwarded(req, r)
	if err != nil {
		writeFailure(call.Refuse(call.BadRequest, err), resp)
		return
	}
	answer, err := callWithin(ctx, left, h.Handler, r)
	if err != nil {
		f := asFailure(err)
		writeFailure(f, resp)
		writeLoad(f.Load, resp)
		return
	}
	writeAnswer(answer, resp)
	resp.Header.Set(HeaderVerdict, call.Ran.String())
	writeLoad(answer.Load, resp)
}

func writeLoad(l call.Load, resp *fasthttp.Response) {
	if l.Limit > 0 {
		resp.Header.Set(headerLoad, formatLoad(l))
	}
}

// RejectMalformed answers a call that cannot be read.
func (h *DaemonHandler) RejectMalformed(resp *fasthttp.Response) { markUnread(resp) }

// callWithin makes a call in the time left for it; 0 means no limit.
func callWithin(ctx context.Context, left time.Duration, callee call.Handler, r *call.Request) (*call.Answer, error) {
	if left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	return callee.Call(ctx, r)
}

// markUnread says that a request did not run because it could not be read.
func markUnread(resp *fasthttp.Response) {
	resp.Header.Set(HeaderVerdict, call.NotRun.String())
	resp.Header.Set(HeaderReason, string(call.BadRequest))
}

func asFailure(err error) *call.Failure {
	var f *call.Failure
	if errors.As(err, &f) {
		return f
	}
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: err}
}
