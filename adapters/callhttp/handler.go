package callhttp

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
)

// Refuser decides what callers are told whose calls are not made.
type Refuser interface {
	// Refuse returns the failure of a call for which there is no room.
	Refuse(r *call.Request, cause error) *call.Failure
}

// CallerHandler handles requests from callers.
type CallerHandler struct {
	Handler call.Handler
	Refuser Refuser
	// Dialect encodes the metadata of calls; nil means Native.
	Dialect Dialect
	// Origin is the service of the backend server beside this daemon.
	Origin string
	// Bodies may be nil.
	Bodies Bodies
}

// Handle makes the call that a request describes and writes its answer or
// failure.
func (h *CallerHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	d := defaultDialect(h.Dialect)
	r := ReadRequest(req)
	r.Origin = h.Origin
	timeout, err := d.ReadCall(req, r)
	if err != nil {
		d.WriteFailure(r, call.Refuse(call.BadRequest, err), resp)
		return
	}
	answer, err := callWithTimeout(ctx, timeout, h.Handler, r)
	if err != nil {
		d.WriteFailure(r, toFailure(err), resp)
		return
	}
	writeAnswer(answer, resp)
	d.AnnotateAnswer(r, resp)
}

// Refuse answers a request for which there was no room.
func (h *CallerHandler) Refuse(req *fasthttp.Request, resp *fasthttp.Response, cause error) {
	d := defaultDialect(h.Dialect)
	r := readRequestLine(req)
	if _, err := d.ReadCall(req, r); err != nil {
		d.WriteFailure(r, call.Refuse(call.BadRequest, err), resp)
		return
	}
	d.WriteFailure(r, h.Refuser.Refuse(r, cause), resp)
}

// RejectMalformed marks the response to a malformed request.
func (h *CallerHandler) RejectMalformed(resp *fasthttp.Response) { markMalformed(resp) }

// DaemonHandler handles the requests of other daemons: forwarded calls and
// control messages.
type DaemonHandler struct {
	// Mesh is the name of the mesh; requests for other meshes are refused.
	Mesh    string
	Handler call.Handler
	// Control handles control messages; if nil, they are refused as malformed
	// calls.
	Control *ControlHandler
	// Bodies decides about the large bodies of forwarded calls. If it is nil, all are
	// read at once.
	Bodies Bodies
}

var errOtherMesh = errors.New("request is addressed to another mesh")

// Handle makes a forwarded call, or handles a control message, and writes the
// response.
func (h *DaemonHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.Header.SetBytesV(headerCall, req.Header.Peek(headerCall))
	if string(req.Header.Peek(headerMesh)) != h.Mesh {
		writeFailure(call.Refuse(call.Misdirected, errOtherMesh), resp)
		return
	}
	if h.Control != nil && len(req.Header.Peek(headerControl)) > 0 {
		h.Control.handle(ctx, req, resp)
		return
	}
	r := ReadRequest(req)
	timeout, err := readForwardFields(req, r)
	if err != nil {
		writeFailure(call.Refuse(call.BadRequest, err), resp)
		return
	}
	timeout = addArrivalTime(r, timeout, httpconn.HeadTime(ctx))
	answer, err := callWithTimeout(ctx, timeout, h.Handler, r)
	if err != nil {
		f := toFailure(err)
		writeFailure(f, resp)
		writeLoad(f.Load, resp)
		return
	}
	writeAnswer(answer, resp)
	resp.Header.Set(HeaderVerdict, call.Ran.String())
	if answer.Leaving {
		resp.Header.Set(headerLeaving, "1")
	}
	writeLoad(answer.Load, resp)
}

func writeLoad(l call.Load, resp *fasthttp.Response) {
	if l.Limit > 0 {
		resp.Header.Set(headerLoad, formatLoad(l))
	}
}

// Refuse answers a request for which there was no room.
func (h *DaemonHandler) Refuse(req *fasthttp.Request, resp *fasthttp.Response, cause error) {
	resp.Header.SetBytesV(headerCall, req.Header.Peek(headerCall))
	writeFailure(call.Refuse(call.Overloaded, cause), resp)
}

// RejectMalformed marks the response to a malformed request.
func (h *DaemonHandler) RejectMalformed(resp *fasthttp.Response) { markMalformed(resp) }

// callWithTimeout makes a call with a timeout; 0 means no limit.
func callWithTimeout(ctx context.Context, timeout time.Duration, handler call.Handler, r *call.Request) (*call.Answer, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return handler.Call(ctx, r)
}

// markMalformed sets the verdict not-run and the reason bad-request.
func markMalformed(resp *fasthttp.Response) {
	resp.Header.Set(HeaderVerdict, call.NotRun.String())
	resp.Header.Set(HeaderReason, string(call.BadRequest))
}

func toFailure(err error) *call.Failure {
	var f *call.Failure
	if errors.As(err, &f) {
		return f
	}
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: err}
}
