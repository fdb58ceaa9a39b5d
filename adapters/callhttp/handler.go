package callhttp

import (
	"context"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

// Callers answers requests from callers.
type Callers struct{ Callee call.Callee }

// Handle takes one request through.
func (h *Callers) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	r := ReadRequest(req)
	handle(ctx, h.Callee, r, req, resp)
	resp.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempt))
}

// Refuse answers a request that cannot be read.
func (h *Callers) Refuse(resp *fasthttp.Response) { markUnread(resp) }

// Daemons answers calls that other daemons forward.
type Daemons struct {
	// Mesh names the mesh; what is meant for another one is refused.
	Mesh   string
	Callee call.Callee
	// Control takes messages that are not calls; nil refuses them.
	Control *Control
}

var errForeign = errors.New("the call is meant for another mesh")

// Handle takes one forwarded call through.
func (h *Daemons) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
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
	r.Server = string(req.Header.Peek(headerServer))
	r.Service = string(req.Header.Peek(headerService))
	r.ClassName = string(req.Header.Peek(headerClass))
	attempt, err := strconv.Atoi(string(req.Header.Peek(headerAttempt)))
	if err != nil {
		writeFailure(call.Refuse(call.BadRequest, err), resp)
		return
	}
	r.Attempt = attempt
	r.Suspect = len(req.Header.Peek(headerSuspect)) > 0
	handle(ctx, h.Callee, r, req, resp)
}

// Refuse answers a call that cannot be read.
func (h *Daemons) Refuse(resp *fasthttp.Response) { markUnread(resp) }

// markUnread says that a request did not run because it could not be read.
func markUnread(resp *fasthttp.Response) {
	resp.Header.Set(HeaderVerdict, call.NotRun.String())
	resp.Header.Set(HeaderReason, string(call.BadRequest))
}

func handle(ctx context.Context, callee call.Callee, r *call.Request, req *fasthttp.Request, resp *fasthttp.Response) {
	timeout, ok, err := timeoutOf(req)
	if err == nil {
		r.Depth, err = depthOf(req)
	}
	if err != nil {
		writeFailure(call.Refuse(call.BadRequest, err), resp)
		return
	}
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	answer, err := callee.Call(ctx, r)
	if err != nil {
		writeFailure(asFailure(err), resp)
		return
	}
	writeAnswer(answer, resp)
	if answer.Load.Limit > 0 {
		resp.Header.Set(headerLoad, formatLoad(answer.Load))
	}
}

func asFailure(err error) *call.Failure {
	var f *call.Failure
	if errors.As(err, &f) {
		return f
	}
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: err}
}
