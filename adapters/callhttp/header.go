// Package callhttp carries calls over HTTP: from callers to a daemon, and from
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

// Header fields that callers see.
const (
	// HeaderVerdict says on every answer whether the request may have run.
	HeaderVerdict = "Fescuehoist-Verdict"
	// HeaderReason names why a request got no answer from a backend server.
	HeaderReason = "Fescuehoist-Reason"
	// HeaderClient names the client on whose behalf a caller calls.
	HeaderClient = "Fescuehoist-Client"
	// HeaderTimeout is the time left for the answer, in milliseconds.
	HeaderTimeout = "Fescuehoist-Timeout"
	// HeaderDepth counts the backend servers that wait for a call. A backend
	// server copies it from the request that it runs to the calls it makes.
	HeaderDepth = "Fescuehoist-Depth"
	// HeaderAttempts is the number of attempts made for a call.
	HeaderAttempts = "Fescuehoist-Attempts"
	// HeaderKey identifies a request that may not run twice.
	HeaderKey = "Idempotency-Key"
)

// MaxDepth bounds the depth of calls, so that a cycle of services ends.
const MaxDepth = 64

// Header fields between daemons, short since every call carries them.
const (
	headerMesh    = "F-Mesh"
	headerServer  = "F-Server"
	headerService = "F-Service"
	headerClass   = "F-Class"
	headerAttempt = "F-Attempt"
	headerSpent   = "F-Spent"
	headerLoad    = "F-Load"
	headerSuspect = "F-Suspect"
	headerID      = "F-Id"
	headerOrigin  = "F-Origin"
	// headerInstance names the start of the backend server that was chosen.
	headerInstance = "F-Instance"
	// headerCall numbers the calls of a daemon; the answer repeats it.
	headerCall = "F-Call"
)

// hopByHop lists the fields that describe a connection rather than a message.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// ownFields lists the fields that the daemons set for each other and that are
// never passed on.
var ownFields = map[string]bool{
	HeaderVerdict: true, HeaderReason: true, HeaderClient: true, HeaderTimeout: true, HeaderDepth: true,
	HeaderAttempts: true, headerMesh: true, headerServer: true, headerService: true, headerClass: true,
	headerAttempt: true, headerLoad: true, headerSpent: true, headerSuspect: true, headerCall: true, headerControl: true,
	headerID: true, headerOrigin: true, headerInstance: true,
}

func passes(name string) bool { return !hopByHop[name] && !ownFields[name] }

// listedFields returns the fields that a Connection field declares to describe
// the connection.
func listedFields(connection []byte) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	listed := map[string]bool{}
	for name := range strings.SplitSeq(string(connection), ",") {
		listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
	}
	return listed
}

// ReadRequest returns the call that a request from a caller describes.
func ReadRequest(req *fasthttp.Request) *call.Request {
	host := string(req.Host())
	service, _, _ := strings.Cut(host, ":")
	r := &call.Request{
		Host:    host,
		Service: service,
		Key:     string(req.Header.Peek(HeaderKey)),
		Method:  string(req.Header.Method()),
		URI:     string(req.Header.RequestURI()),
		Body:    req.Body(),
	}
	listed := listedFields(req.Header.Peek(fasthttp.HeaderConnection))
	for name, value := range req.Header.All() {
		if n := string(name); passes(n) && !listed[n] {
			r.Header = append(r.Header, call.Field{Name: n, Value: string(value)})
		}
	}
	return r
}

// WriteRequest writes a call as its caller sent it.
func WriteRequest(r *call.Request, req *fasthttp.Request) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URI)
	// Set in the header, so that the URI is neither parsed nor rewritten.
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

// writeOwn adds the fields that a daemon tells backend servers of its own kind
// and other daemons.
func writeOwn(ctx context.Context, r *call.Request, depth int, req *fasthttp.Request) {
	if r.Client != "" {
		req.Header.Set(HeaderClient, r.Client)
	}
	if depth > 0 {
		req.Header.Set(HeaderDepth, strconv.Itoa(depth))
	}
	setTimeout(ctx, req)
}

// setTimeout declares the time left until the deadline of ctx.
func setTimeout(ctx context.Context, req *fasthttp.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
}

// ReadAnswer copies an answer out of a response.
func ReadAnswer(resp *fasthttp.Response) *call.Answer {
	a := &call.Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	listed := listedFields(resp.Header.Peek(fasthttp.HeaderConnection))
	for name, value := range resp.Header.All() {
		if n := string(name); passes(n) && !listed[n] {
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

// timeoutOf returns the time left that a request declares, 0 if none.
func timeoutOf(req *fasthttp.Request) (time.Duration, error) {
	text := string(req.Header.Peek(HeaderTimeout))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fmt.Errorf("%s is %q; write a whole number of milliseconds above 0", HeaderTimeout, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// depthOf returns how many backend servers wait for a call.
func depthOf(req *fasthttp.Request) (int, error) {
	text := string(req.Header.Peek(HeaderDepth))
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth > MaxDepth {
		return 0, fmt.Errorf("%s is %.20q; write a whole number from 0 to %d", HeaderDepth, text, MaxDepth)
	}
	return depth, nil
}

func formatLoad(l call.Load) string {
	return fmt.Sprintf("%d %d %d %d", l.Running, l.Queued, l.Limit, l.ServiceTime.Microseconds())
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
	return call.Load{
		Running: numbers[0], Queued: numbers[1], Limit: numbers[2],
		ServiceTime: time.Duration(numbers[3]) * time.Microsecond,
	}
}
