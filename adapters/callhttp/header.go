// Package callhttp transports calls over HTTP from callers to a daemon and from
// one daemon to another.
package callhttp

import (
	"context"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

// Header fields of requests from callers and of answers to them.
const (
	// HeaderVerdict is set in every answer and states whether the request may
	// have run.
	HeaderVerdict = "Fescuehoist-Verdict"
	// HeaderReason is the reason of a failed call.
	HeaderReason = "Fescuehoist-Reason"
	// HeaderClient is the client on whose behalf the caller makes the call.
	HeaderClient = "Fescuehoist-Client"
	// HeaderTimeout is the time remaining until the deadline of the call, in
	// milliseconds.
	HeaderTimeout = "Fescuehoist-Timeout"
	// HeaderDepth is the number of backend servers that wait for a call. A
	// backend server copies it from the request that it runs to its own calls.
	HeaderDepth = "Fescuehoist-Depth"
	// HeaderAttempts is the number of attempts made for a call.
	HeaderAttempts = "Fescuehoist-Attempts"
	// HeaderAPIKey is the API key of the client account on whose behalf the call is made.
	// It is not forwarded.
	HeaderAPIKey = "Fescuehoist-Key"
	// HeaderKey is the idempotency key of a request that must not run twice.
	HeaderKey = "Idempotency-Key"
)

// MaxDepth is the maximum depth of calls. It ends cycles of services that call
// each other.
const MaxDepth = 64

// Header fields between daemons. They are short because every forwarded call
// carries them.
const (
	headerMesh    = "F-Mesh"
	headerServer  = "F-Server"
	headerService = "F-Service"
	headerClass   = "F-Class"
	headerAttempt = "F-Attempt"
	headerElapsed = "F-Spent"
	headerLoad    = "F-Load"
	headerSuspect = "F-Suspect"
	headerID      = "F-Id"
	headerOrigin  = "F-Origin"
	// headerInstance is the ID of the chosen backend server's current start.
	headerInstance = "F-Instance"
	// headerAccount is the client account that holds the caller's key.
	headerAccount = "F-Account"
	// headerCall is the number of a request; the answer repeats it.
	headerCall = "F-Call"
	// headerLeaving is set in answers of a backend server that will stop soon.
	headerLeaving = "F-Leaving"
)

// hopByHop lists the fields that describe a single connection, not the message.
// They are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// meshFields lists the fields that the daemons set. They are not forwarded as part
// of a message.
var meshFields = map[string]bool{
	HeaderVerdict: true, HeaderReason: true, HeaderClient: true, HeaderTimeout: true, HeaderDepth: true,
	HeaderAttempts: true, headerMesh: true, headerServer: true, headerService: true, headerClass: true,
	headerAttempt: true, headerLoad: true, headerElapsed: true, headerSuspect: true, headerCall: true, headerControl: true,
	headerID: true, headerOrigin: true, headerInstance: true, headerLeaving: true, headerAccount: true, HeaderAPIKey: true,
}

func isEndToEnd(name string) bool { return !hopByHop[name] && !meshFields[name] }

// connectionOptions returns the field names listed in a Connection field; these
// fields apply to that connection only.
func connectionOptions(connection []byte) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	skipped := map[string]bool{}
	for name := range strings.SplitSeq(string(connection), ",") {
		skipped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
	}
	return skipped
}

// ReadRequest returns the call that a request describes, without the metadata of
// a dialect. The body is not copied.
func ReadRequest(req *fasthttp.Request) *call.Request {
	r := readRequestLine(req)
	listed := connectionOptions(req.Header.Peek(fasthttp.HeaderConnection))
	for name, value := range req.Header.All() {
		if n := string(name); isEndToEnd(n) && !listed[n] {
			r.Header = append(r.Header, call.Field{Name: n, Value: string(value)})
		}
	}
	return r
}

// readRequestLine is ReadRequest without the header fields to forward. A request may be
// refused because of the memory that they take.
func readRequestLine(req *fasthttp.Request) *call.Request {
	host := string(req.Host())
	service, _, _ := strings.Cut(host, ":")
	return &call.Request{
		Host:    host,
		Service: service,
		Key:     string(req.Header.Peek(HeaderKey)),
		Method:  string(req.Header.Method()),
		URI:     string(req.Header.RequestURI()),
		Body:    req.Body(),
	}
}

// WriteRequest writes a call as its caller sent it. The body is not copied.
func WriteRequest(r *call.Request, req *fasthttp.Request) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URI)
	// req.SetHost would parse and rewrite the URI.
	host := r.Host
	if host == "" {
		host = r.Service
	}
	req.Header.SetHost(host)
	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}
	if len(r.Body) > 0 || r.Method == fasthttp.MethodPost || r.Method == fasthttp.MethodPut {
		req.SetBodyRaw(r.Body)
	}
}

// writeMeshFields adds the fields for other daemons and for backend servers that
// use the native dialect: client, depth and remaining time.
func writeMeshFields(ctx context.Context, client string, depth int, req *fasthttp.Request) {
	if client != "" {
		req.Header.Set(HeaderClient, client)
	}
	if depth > 0 {
		req.Header.Set(HeaderDepth, strconv.Itoa(depth))
	}
	setTimeout(ctx, req)
}

// setTimeout sets HeaderTimeout to the time until the deadline of ctx, at least
// 1 ms.
func setTimeout(ctx context.Context, req *fasthttp.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
}

// ReadAnswer returns the answer in a response that package httpconn has read. The body is
// not copied: httpconn reads it into memory that is not used again.
func ReadAnswer(resp *fasthttp.Response) *call.Answer {
	a := &call.Answer{Status: resp.StatusCode(), Body: resp.Body()}
	listed := connectionOptions(resp.Header.Peek(fasthttp.HeaderConnection))
	for name, value := range resp.Header.All() {
		if n := string(name); isEndToEnd(n) && !listed[n] {
			a.Header = append(a.Header, call.Field{Name: n, Value: string(value)})
		}
	}
	return a
}

// writeAnswer writes an answer as a response.
func writeAnswer(a *call.Answer, resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	resp.SetStatusCode(a.Status)
	for _, f := range a.Header {
		if f.Name == fasthttp.HeaderContentType {
			resp.Header.SetContentType(f.Value)
			continue
		}
		resp.Header.Add(f.Name, f.Value)
	}
	resp.SetBodyRaw(a.Body)
}

// parseTimeout returns the value of HeaderTimeout, 0 if it is absent.
func parseTimeout(req *fasthttp.Request) (time.Duration, error) {
	text := string(req.Header.Peek(HeaderTimeout))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fmt.Errorf("%s: %q, want a whole number of milliseconds above 0", HeaderTimeout, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseDepth returns the value of HeaderDepth, 0 if it is absent.
func parseDepth(req *fasthttp.Request) (int, error) {
	text := string(req.Header.Peek(HeaderDepth))
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth > MaxDepth {
		return 0, fmt.Errorf("%s: %.20q, want a whole number from 0 to %d", HeaderDepth, text, MaxDepth)
	}
	return depth, nil
}

// formatLoad encodes a load. The wait for the link, in milliseconds, is left out if it is
// below one; earlier releases ignore it.
func formatLoad(l call.Load) string {
	text := fmt.Sprintf("%d %d %d %d", l.Running, l.Queued, l.Limit, l.ServiceTime.Microseconds())
	if l.LinkWait < time.Millisecond {
		return text
	}
	return text + " " + strconv.FormatInt(l.LinkWait.Milliseconds(), 10)
}

func parseLoad(text string) call.Load {
	var numbers [4]int
	for i := range numbers {
		field, rest, _ := strings.Cut(text, " ")
		n, err := strconv.Atoi(field)
		if err != nil {
			return call.Load{}
		}
		numbers[i], text = n, rest
	}
	linkWait, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		linkWait = 0
	}
	return call.Load{
		Running: numbers[0], Queued: numbers[1], Limit: numbers[2],
		ServiceTime: time.Duration(numbers[3]) * time.Microsecond,
		LinkWait:    time.Duration(linkWait) * time.Millisecond,
	}
}
