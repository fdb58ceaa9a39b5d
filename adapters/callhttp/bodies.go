package callhttp

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
)

// Bodies decides about the large bodies of requests before they are read.
type Bodies interface {
	// AdmitBody waits until the body of a forwarded call, of the given length in bytes,
	// may be sent to this host. Errors are of type *call.Failure with verdict NotRun.
	AdmitBody(ctx context.Context, r *call.Request, length int64) (*link.Body, error)
	// ObserveBody tracks a body that arrives without having been asked for.
	ObserveBody(length int64) *link.Body
}

// AwaitBody lets the daemon count a caller's body, which cannot be held back.
func (h *CallerHandler) AwaitBody(_ context.Context, _ *fasthttp.Request, _ *fasthttp.Response, length int, _ bool) (httpconn.ArrivingBody, bool) {
	if h.Bodies == nil {
		return nil, true
	}
	return h.Bodies.ObserveBody(int64(length)), true
}

// AwaitBody waits until the body of a forwarded call may be sent, or writes the failure of
// the call. Daemons of earlier releases send the body without waiting.
func (h *DaemonHandler) AwaitBody(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, length int, asked bool) (httpconn.ArrivingBody, bool) {
	if h.Bodies == nil {
		return nil, true
	}
	if !asked {
		return h.Bodies.ObserveBody(int64(length)), true
	}
	if string(req.Header.Peek(headerMesh)) != h.Mesh || len(req.Header.Peek(headerControl)) > 0 {
		// Handle decides about it.
		return nil, true
	}
	r := ReadRequest(req)
	timeout, err := readForwardFields(req, r)
	if err != nil {
		return nil, true
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	body, err := h.Bodies.AdmitBody(ctx, r, int64(length))
	if err == nil {
		return body, true
	}
	f := toFailure(err)
	resp.Header.SetBytesV(headerCall, req.Header.Peek(headerCall))
	writeFailure(f, resp)
	writeLoad(f.Load, resp)
	return nil, false
}

// addArrivalTime adds the time that passed since the head of a request was read, while
// its body waited and arrived, to the time spent on the call, and returns the timeout that
// is left. A zero headAt means that the body was short.
func addArrivalTime(r *call.Request, timeout time.Duration, headAt time.Time) time.Duration {
	if headAt.IsZero() {
		return timeout
	}
	passed := time.Since(headAt)
	r.Elapsed += passed
	if timeout == 0 {
		return 0
	}
	return max(timeout-passed, time.Millisecond)
}
