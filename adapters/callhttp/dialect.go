package callhttp

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

// Dialect encodes what callers and backend servers say of a call beyond plain
// HTTP. It decides nothing.
type Dialect interface {
	// ReadCall takes what a caller says of its call and returns the time left
	// for it, 0 if there is no limit.
	ReadCall(req *fasthttp.Request, r *call.Request) (time.Duration, error)
	// WriteFailure writes the answer to a call that got none.
	WriteFailure(r *call.Request, f *call.Failure, resp *fasthttp.Response)
	// AnnotateAnswer adds what a caller is told of an answer.
	AnnotateAnswer(r *call.Request, resp *fasthttp.Response)
	// WriteCall adds what a backend server is told of a call.
	WriteCall(ctx context.Context, r *call.Request, req *fasthttp.Request)
	// CheckAnswer examines the header of a backend server's answer, as
	// httpconn.Options.Check does.
	CheckAnswer(r *call.Request, resp *fasthttp.Response) error
	// Refusal returns why a backend server did not run a call, or nil if the
	// answer is one of a call that ran.
	Refusal(r *call.Request, resp *fasthttp.Response) *call.Failure
	// CloseDelimited reports whether an answer may end with its connection.
	CloseDelimited() bool
}

// Native is the dialect of fescuehoist's own callers and backend servers.
type Native struct{}

var errShed = errors.New("the backend server refused the request")

func orNative(d Dialect) Dialect {
	if d == nil {
		return Native{}
	}
	return d
}

// ReadCall reads the time left, the depth and the client.
func (Native) ReadCall(req *fasthttp.Request, r *call.Request) (time.Duration, error) {
	r.Client = string(req.Header.Peek(HeaderClient))
	var err error
	if r.Depth, err = depthOf(req); err != nil {
		return 0, err
	}
	return timeoutOf(req)
}

// WriteFailure writes the verdict, the reason and a text.
func (Native) WriteFailure(r *call.Request, f *call.Failure, resp *fasthttp.Response) {
	writeFailure(f, resp)
	resp.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempt))
}

// AnnotateAnswer adds the verdict and the number of attempts.
func (Native) AnnotateAnswer(r *call.Request, resp *fasthttp.Response) {
	resp.Header.Set(HeaderVerdict, call.Ran.String())
	resp.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempt))
}

// WriteCall adds the client, the depth and the time left.
func (Native) WriteCall(ctx context.Context, r *call.Request, req *fasthttp.Request) {
	writeOwn(ctx, r, r.Depth+1, req)
}

// CheckAnswer accepts every answer.
func (Native) CheckAnswer(*call.Request, *fasthttp.Response) error { return nil }

// Refusal takes a 503 answer that carries the verdict not-run for a refusal.
func (Native) Refusal(_ *call.Request, resp *fasthttp.Response) *call.Failure {
	verdict := string(resp.Header.Peek(HeaderVerdict))
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && verdict == call.NotRun.String() {
		return call.Refuse(call.Shed, errShed)
	}
	return nil
}

// CloseDelimited is false: answers declare their length.
func (Native) CloseDelimited() bool { return false }

// writeFailure writes a failure as a response.
func writeFailure(f *call.Failure, resp *fasthttp.Response) {
	resp.SetStatusCode(statusOf(f))
	resp.Header.Set(HeaderVerdict, f.Verdict.String())
	resp.Header.Set(HeaderReason, string(f.Reason))
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.SetBodyString(f.Error() + "\n")
}

func statusOf(f *call.Failure) int {
	switch f.Reason {
	case call.NoRoute:
		return fasthttp.StatusNotFound
	case call.BadRequest:
		return fasthttp.StatusBadRequest
	case call.Deadline:
		return fasthttp.StatusGatewayTimeout
	}
	if f.Verdict == call.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}
