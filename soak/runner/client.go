package runner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/host"
	"fescuehoist.example/soak/invariant"
)

const (
	// virtualHost is the virtual host of all routes.
	virtualHost = "soak.example"
	// requestTimeout is the deadline that a client sends with each request, and
	// lateResponseWait how much longer it reads to catch a late response.
	requestTimeout   = 3 * time.Second
	lateResponseWait = time.Second
	// meanThinkTime is the mean pause between two requests of a client.
	meanThinkTime = 30 * time.Millisecond
	// pipelineShare is the probability that a client pipelines another
	// idempotent request behind an idempotent one without waiting for its
	// response, abandonShare the probability that it closes the connection
	// instead of reading the responses.
	pipelineShare = 0.15
	abandonShare  = 0.02
	// maxBodySize is above the size of any request's body, in bytes.
	maxBodySize = 20_000
)

// client sends requests to one daemon over one connection, which it reuses until
// it fails.
type client struct {
	runner       *Runner
	host         *host.Host
	name         string
	rng          *rand.Rand
	requestCount int
	conn         net.Conn
	reader       *bufio.Reader
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	invariant.Request
	// probedVersion is the version whose route the request probes, or 0.
	probedVersion uint64
	// daemonStarts is the host's number of daemon starts before the request.
	daemonStarts int
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) error {
	defer c.close()
	for ctx.Err() == nil {
		batch := []pendingRequest{c.newRequest()}
		for batch[0].Idempotent && c.rng.Float64() < pipelineShare {
			p := c.newRequest()
			if !p.Idempotent {
				c.requestCount--
				break
			}
			batch = append(batch, p)
		}
		c.exchange(batch)
		_ = wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanThinkTime)))
	}
	return nil
}

// newRequest returns a random request. One in ten probes the newest version of
// the configuration by means of the route that this version added.
func (c *client) newRequest() pendingRequest {
	c.requestCount++
	id := fmt.Sprintf("%s-%d", c.name, c.requestCount)
	r := invariant.Request{ID: id, Origin: c.host.Service}
	p := pendingRequest{daemonStarts: c.host.Starts()}
	switch n := c.rng.IntN(10); {
	case n < 5:
		r.Method, r.URI, r.Idempotent, r.Services = http.MethodGet, "/search/"+id, true, []string{lookup}
	case n < 8:
		r.Method, r.URI, r.Services = http.MethodPost, "/submit/"+id, []string{lookup}
		r.Body = c.rng.IntN(maxBodySize)
	case n < 9:
		r.Method, r.URI, r.Idempotent, r.Services = http.MethodGet, "/moved/"+id, true, []string{lookup, archive}
	default:
		p.probedVersion = c.runner.operator.newestVersion()
		r.Method, r.URI, r.Idempotent = http.MethodGet, versionPrefix(p.probedVersion)+id, true
		r.Services, r.Public = []string{lookup, archive}, true
	}
	r.Key = c.runner.operator.pickKey(c.rng)
	p.Request = r
	return p
}

// exchange sends a batch of pipelined requests and reads their responses in
// order.
func (c *client) exchange(batch []pendingRequest) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.CallerAddress, time.Second)
		if err != nil {
			time.Sleep(meanThinkTime)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	for i := range batch {
		p := &batch[i]
		p.SentAt = time.Now()
		c.runner.checker.RecordRequest(p.Request)
		if _, err := io.WriteString(c.conn, encodeRequest(p)); err != nil {
			c.close()
			return
		}
	}
	if c.rng.Float64() < abandonShare {
		c.close()
		return
	}
	for i := range batch {
		if !c.readResponse(&batch[i]) {
			c.close()
			return
		}
	}
}

// encodeRequest encodes a request for the wire. It carries a forged caller
// service and account, which daemons must replace by the real ones.
func encodeRequest(p *pendingRequest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\n%s: %s\r\n", p.Method, p.URI, virtualHost,
		platformtest.HeaderRequestID, p.ID, platformtest.HeaderDeadline, requestTimeout.Milliseconds(), platformtest.HeaderCallerService,
		platformtest.HeaderAccount, unknownAccount)
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platformtest.HeaderAPIKey, p.Key)
	}
	if p.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(p.Body) + "\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(strings.Repeat("b", p.Body))
	return b.String()
}

// readResponse reads one response and reports whether the connection can be
// reused.
func (c *client) readResponse(p *pendingRequest) bool {
	_ = c.conn.SetReadDeadline(p.SentAt.Add(requestTimeout + lateResponseWait))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: p.Method})
	if err != nil {
		c.recordFailure(p, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.recordFailure(p, err)
		return false
	}
	if elapsed := time.Since(p.SentAt); elapsed > requestTimeout+invariant.LateLimit && c.hostUndisturbed(p) {
		c.runner.recordTimeViolation("late: request %s got its response after %s", p.ID, elapsed)
	}
	sealed := resp.Header.Get(platformtest.HeaderSeal) != ""
	if p.probedVersion > 0 {
		c.checkProbe(p, resp.StatusCode)
	}
	excused := p.probedVersion > 0 && platformtest.StatusMeansDenied(resp.StatusCode) ||
		resp.StatusCode == http.StatusUnauthorized && !p.Public && c.runner.operator.mayBeUnauthorized(p.Request)
	if !excused {
		c.runner.checker.RecordResponse(p.ID, invariant.Response{Status: resp.StatusCode, Sealed: sealed, Body: string(body)})
	}
	if id := resp.Header.Get(platformtest.HeaderRequestID); id != "" && id != p.ID {
		c.runner.checker.RecordViolation("mixed: response to request %s has request ID %s", p.ID, id)
	}
	return !resp.Close
}

// recordFailure records that a connection closed or timed out before a complete
// response, unless a fault affected the host.
func (c *client) recordFailure(p *pendingRequest, err error) {
	if !c.hostUndisturbed(p) {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.runner.recordTimeViolation("late: request %s got no response within %s", p.ID, requestTimeout+lateResponseWait)
		return
	}
	c.runner.checker.RecordDisconnect(p.ID)
}

// hostUndisturbed reports whether no unplanned fault has affected the host since
// the request was sent.
func (c *client) hostUndisturbed(p *pendingRequest) bool { return c.host.Undisturbed(p.SentAt) }

// checkProbe checks the response to a request for a route that a version added
// against the versions that the daemon is known to have had active.
func (c *client) checkProbe(p *pendingRequest, status int) {
	routeFound := !platformtest.StatusMeansDenied(status)
	if routeFound && !platformtest.StatusMeansNotRun(status) {
		c.runner.observed.record(c.host.Name, p.daemonStarts, p.probedVersion, time.Now())
		return
	}
	if routeFound {
		return
	}
	if at, found := c.runner.observed.firstObserved(c.host.Name, p.daemonStarts, p.probedVersion); found && p.SentAt.Sub(at) > invariant.RollbackSlack && c.host.Starts() == p.daemonStarts {
		c.runner.checker.RecordViolation("config: %s rolled back: version %d was active %s before request %s, which was denied, was sent",
			c.host.Name, p.probedVersion, p.SentAt.Sub(at), p.ID)
	}
	confirmed := c.runner.operator.confirmationTime(p.probedVersion)
	if p.SentAt.Sub(confirmed) > invariant.ConfigLimit && c.hostUndisturbed(p) && c.runner.storeUndisturbed(confirmed) {
		c.runner.recordTimeViolation("config: %s has not applied version %d, %s after it was confirmed (request %s)", c.host.Name, p.probedVersion, p.SentAt.Sub(confirmed), p.ID)
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
