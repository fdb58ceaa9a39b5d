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
	// hostName is the virtual host of all routes.
	hostName = "soak.example"
	// timeLimit is how long a client waits, and giveUp how much longer it
	// listens for a late answer.
	timeLimit = 3 * time.Second
	giveUp    = time.Second
	// think is the mean pause between two requests of a client.
	think = 30 * time.Millisecond
	// pipelined is the part of the idempotent requests that are sent behind
	// another without waiting, leftShare of those that a client walks away from.
	pipelined = 0.15
	leftShare = 0.02
	maxBody   = 20_000
)

// client sends requests to one daemon, one after the other, over a connection
// that it keeps until it fails.
type client struct {
	run  *Run
	host *host.Host
	name string
	rng  *rand.Rand
	sent int
	conn net.Conn
	in   *bufio.Reader
}

// pending is a request that waits for its answer.
type pending struct {
	invariant.Request
	probes uint64
	starts int
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) error {
	defer c.close()
	for ctx.Err() == nil {
		batch := []pending{c.next()}
		for batch[0].Idempotent && c.rng.Float64() < pipelined {
			p := c.next()
			if !p.Idempotent {
				c.sent--
				break
			}
			batch = append(batch, p)
		}
		c.exchange(batch)
		_ = wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(think)))
	}
	return nil
}

// next makes up a request.
func (c *client) next() pending {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	r := invariant.Request{ID: id, Origin: c.host.Service}
	p := pending{starts: c.host.Starts()}
	switch n := c.rng.IntN(10); {
	case n < 5:
		r.Method, r.URI, r.Idempotent, r.Services = http.MethodGet, "/search/"+id, true, []string{lookup}
	case n < 8:
		r.Method, r.URI, r.Services = http.MethodPost, "/submit/"+id, []string{lookup}
		r.Body = c.rng.IntN(maxBody)
	case n < 9:
		r.Method, r.URI, r.Idempotent, r.Services = http.MethodGet, "/moved/"+id, true, []string{lookup, archive}
	default:
		p.probes = c.run.operator.written()
		r.Method, r.URI, r.Idempotent = http.MethodGet, markerPath(p.probes)+id, true
		r.Services = []string{lookup, archive}
	}
	p.Request = r
	return p
}

// exchange sends requests together and reads their answers in order.
func (c *client) exchange(batch []pending) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.Callers, time.Second)
		if err != nil {
			time.Sleep(think)
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	for i := range batch {
		p := &batch[i]
		p.SentAt = time.Now()
		c.run.ledger.Sent(p.Request)
		if _, err := io.WriteString(c.conn, encode(p)); err != nil {
			c.close()
			return
		}
	}
	if c.rng.Float64() < leftShare {
		c.close()
		return
	}
	for i := range batch {
		if !c.receive(&batch[i]) {
			c.close()
			return
		}
	}
}

func encode(p *pending) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: forged\r\n", p.Method, p.URI, hostName,
		platformtest.HeaderRequestID, p.ID, platformtest.HeaderDeadline, timeLimit.Milliseconds(), platformtest.HeaderCallerService)
	if p.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(p.Body) + "\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(strings.Repeat("b", p.Body))
	return b.String()
}

// receive reads one answer and reports whether the connection can go on.
func (c *client) receive(p *pending) bool {
	_ = c.conn.SetReadDeadline(p.SentAt.Add(timeLimit + giveUp))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: p.Method})
	if err != nil {
		c.failed(p, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.failed(p, err)
		return false
	}
	if took := time.Since(p.SentAt); took > timeLimit+invariant.LateLimit && c.calm(p) {
		c.run.timed("late: request %s was answered after %s", p.ID, took)
	}
	sealed := resp.Header.Get(platformtest.HeaderSeal) != ""
	if p.probes > 0 {
		c.judgeProbe(p, resp.StatusCode)
	}
	if p.probes == 0 || !platformtest.StatusMeansDenied(resp.StatusCode) {
		c.run.ledger.Answered(p.ID, invariant.Answer{Status: resp.StatusCode, Sealed: sealed, Body: string(body)})
	}
	if id := resp.Header.Get(platformtest.HeaderRequestID); id != "" && id != p.ID {
		c.run.ledger.Break("mixed: the answer to %s says that it is for %s", p.ID, id)
	}
	return !resp.Close
}

// failed notes a connection that ended without a whole answer.
func (c *client) failed(p *pending, err error) {
	if !c.calm(p) {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.run.timed("late: request %s had no answer after %s", p.ID, timeLimit+giveUp)
		return
	}
	c.run.ledger.Cut(p.ID)
}

func (c *client) calm(p *pending) bool { return c.host.Calm(p.SentAt) }

// judgeProbe compares the answer to a request on a route that a version added
// with the versions that the daemon is known to have had in force.
func (c *client) judgeProbe(p *pending, status int) {
	known := !platformtest.StatusMeansDenied(status)
	if known && !platformtest.StatusMeansNotRun(status) {
		c.run.seen.note(c.host.Name, p.starts, p.probes, time.Now())
		return
	}
	if known {
		return
	}
	if at, later := c.run.seen.version(c.host.Name, p.starts, p.probes); later && p.SentAt.Sub(at) > invariant.RollbackSlack && c.host.Starts() == p.starts {
		c.run.ledger.Break("config: %s went back: version %d was in force %s before request %s was denied",
			c.host.Name, p.probes, p.SentAt.Sub(at), p.ID)
	}
	confirmed := c.run.operator.confirmed(p.probes)
	if p.SentAt.Sub(confirmed) > invariant.ConfigLimit && c.calm(p) && c.run.storeCalm(confirmed) {
		c.run.timed("config: %s lacks version %d, %s after it was confirmed (request %s)", c.host.Name, p.probes, p.SentAt.Sub(confirmed), p.ID)
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
