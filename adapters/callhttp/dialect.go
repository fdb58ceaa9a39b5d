package callhttp

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// Dialect encodes and decodes the call metadata that callers and backend servers
// exchange beyond plain HTTP. It makes no routing or retry decisions.
type Dialect interface {
	// ReadCall reads the metadata of a caller's request into r and returns the
	// remaining time of the call, 0 if there is no limit.
	ReadCall(req *fasthttp.Request, r *call.Request) (time.Duration, error)
	// WriteFailure writes the response to a call that failed.
	WriteFailure(r *call.Request, f *call.Failure, resp *fasthttp.Response)
	// AnnotateAnswer adds the metadata for the caller to an answer.
	AnnotateAnswer(r *call.Request, resp *fasthttp.Response)
	// WriteCall adds the metadata for the backend server to a request.
	WriteCall(ctx context.Context, r *call.Request, req *fasthttp.Request)
	// CheckAnswer checks the header of a backend server's answer; its errors
	// are those of httpconn.Options.Check.
	CheckAnswer(r *call.Request, resp *fasthttp.Response) error
	// Refusal returns the failure of a call that the backend server did not run,
	// or nil if it ran the call.
	Refusal(r *call.Request, resp *fasthttp.Response) *call.Failure
	// Condition returns what the backend server says about itself in an answer, with
	// an error if a part of it is malformed.
	Condition(resp *fasthttp.Response) (call.Condition, error)
	// CloseDelimited reports whether the body of an answer may end with its
	// connection.
	CloseDelimited() bool
}

// ReadAPIKey returns the digest of the API key in a header field. A request that presents
// several keys is taken to present none, since it is not clear on whose behalf it is made.
// So is one with an empty key, which an account must not hold.
func ReadAPIKey(h *fasthttp.RequestHeader, name string) (target.KeyDigest, bool) {
	keys := h.PeekAll(name)
	if len(keys) != 1 || len(keys[0]) == 0 {
		return target.KeyDigest{}, false
	}
	return target.DigestKey(keys[0]), true
}

// Native is the dialect of callers and backend servers that use fescuehoist's
// own header fields.
type Native struct{}

var errLoadShed = errors.New("backend server shed the request: status 503 with verdict not-run")

func defaultDialect(d Dialect) Dialect {
	if d == nil {
		return Native{}
	}
	return d
}

// ReadCall reads the client, the API key, the depth and the remaining time.
func (Native) ReadCall(req *fasthttp.Request, r *call.Request) (time.Duration, error) {
	r.KeyDigest, r.HasKey = ReadAPIKey(&req.Header, HeaderAPIKey)
	r.Client = string(req.Header.Peek(HeaderClient))
	var err error
	if r.Depth, err = parseDepth(req); err != nil {
		return 0, err
	}
	return parseTimeout(req)
}

// WriteFailure writes the verdict, the reason, the error text and the number of
// attempts.
func (Native) WriteFailure(r *call.Request, f *call.Failure, resp *fasthttp.Response) {
	writeFailure(f, resp)
	resp.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempt))
}

// AnnotateAnswer adds the verdict and the number of attempts.
func (Native) AnnotateAnswer(r *call.Request, resp *fasthttp.Response) {
	resp.Header.Set(HeaderVerdict, call.Ran.String())
	resp.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempt))
}

// WriteCall adds the client, the depth and the remaining time.
func (Native) WriteCall(ctx context.Context, r *call.Request, req *fasthttp.Request) {
	writeMeshFields(ctx, r.Client, r.Depth+1, req)
}

// CheckAnswer accepts all answers.
func (Native) CheckAnswer(*call.Request, *fasthttp.Response) error { return nil }

// Refusal treats a 503 answer with the verdict not-run as a refusal.
func (Native) Refusal(_ *call.Request, resp *fasthttp.Response) *call.Failure {
	verdict := string(resp.Header.Peek(HeaderVerdict))
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && verdict == call.NotRun.String() {
		return call.Refuse(call.Shed, errLoadShed)
	}
	return nil
}

// Condition returns nothing: backend servers of this dialect announce themselves.
func (Native) Condition(*fasthttp.Response) (call.Condition, error) { return call.Condition{}, nil }

// CloseDelimited returns false: answers must declare their length.
func (Native) CloseDelimited() bool { return false }

// writeFailure writes the verdict, the reason and the error text of a failure.
func writeFailure(f *call.Failure, resp *fasthttp.Response) {
	resp.SetStatusCode(failureStatus(f))
	resp.Header.Set(HeaderVerdict, f.Verdict.String())
	resp.Header.Set(HeaderReason, string(f.Reason))
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.SetBodyString(f.Error() + "\n")
}

func failureStatus(f *call.Failure) int {
	switch f.Reason {
	case call.NoRoute:
		return fasthttp.StatusNotFound
	case call.BadRequest:
		return fasthttp.StatusBadRequest
	case call.Deadline:
		return fasthttp.StatusGatewayTimeout
	case call.Unauthorized:
		return fasthttp.StatusUnauthorized
	case call.OverAllowance:
		return fasthttp.StatusTooManyRequests
	}
	if f.Verdict == call.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}
