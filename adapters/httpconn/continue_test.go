package httpconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
)

const askedBodySize = 60_000

// askedPeer is the other side of one exchange in which the body is asked for.
type askedPeer struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

// readHead reads the head, and fails the test if a part of the body follows unasked.
func (p *askedPeer) readHead() {
	if _, err := http.ReadRequest(p.r); err != nil {
		p.t.Errorf("head: %v", err)
	}
	_ = p.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := p.r.Peek(1); !isTimeout(err) {
		p.t.Errorf("reading before the body was asked for: got error %v, want a timeout", err)
	}
	_ = p.SetReadDeadline(time.Time{})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (p *askedPeer) write(text string) { _, _ = io.WriteString(p, text) }

func (p *askedPeer) readBody(n int64) {
	if got, err := io.CopyN(io.Discard, p.r, n); got != n {
		p.t.Errorf("body: got %d bytes and %v, want %d", got, err, n)
	}
}

const (
	askForBody  = "HTTP/1.1 100 Continue\r\n\r\n"
	askedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// Guards against wrong verdicts: a call whose body was not sent has not run, and may have
// run once a part of the body was sent.
func TestPoolAskFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		serve   func(p *askedPeer)
		options Options
		timeout time.Duration
		// status is 0 if the exchange fails with verdict and reason.
		status  int
		verdict call.Verdict
		reason  call.Reason
		reused  bool
	}{
		{name: "granted after interim answers", status: 200, reused: true, serve: func(p *askedPeer) {
			p.write(interimAnswer + askForBody)
			p.readBody(askedBodySize)
			p.write(interimAnswer + askedAnswer)
		}},
		{name: "asked for twice", status: 200, reused: true, serve: func(p *askedPeer) {
			p.write(askForBody + askForBody)
			p.readBody(askedBodySize)
			p.write(askedAnswer)
		}},
		{name: "final answer in place of the interim one", status: 503, serve: func(p *askedPeer) {
			p.write("HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno")
			if n, _ := io.Copy(io.Discard, p.r); n > 0 {
				p.t.Errorf("got %d bytes of a refused body, want none", n)
			}
		}},
		{name: "closed while waiting", serve: func(*askedPeer) {}, verdict: call.NotRun, reason: call.Cut},
		{name: "malformed answer while waiting", serve: func(p *askedPeer) { p.write("HTTP/1.1 000\r\n\r\n") }, verdict: call.NotRun, reason: call.Cut},
		{name: "deadline while waiting", timeout: 50 * time.Millisecond, verdict: call.NotRun, reason: call.Deadline, serve: func(p *askedPeer) {
			p.write(interimAnswer)
			_, _ = io.Copy(io.Discard, p.r)
		}},
		{name: "silent while waiting", options: Options{InactivityTimeout: 50 * time.Millisecond}, verdict: call.NotRun, reason: call.Silent, serve: func(p *askedPeer) {
			_, _ = io.Copy(io.Discard, p.r)
		}},
		{name: "silent while waiting, with a limit for that alone", options: Options{AskTimeout: 50 * time.Millisecond}, verdict: call.NotRun, reason: call.Silent, serve: func(p *askedPeer) {
			_, _ = io.Copy(io.Discard, p.r)
		}},
		{name: "silent after it asked, with a limit for the time before", status: 200, reused: true, options: Options{AskTimeout: 50 * time.Millisecond}, serve: func(p *askedPeer) {
			p.write(askForBody)
			p.readBody(askedBodySize)
			time.Sleep(100 * time.Millisecond)
			p.write(askedAnswer)
		}},
		{name: "no room to send the body", verdict: call.NotRun, reason: call.Deadline, serve: func(p *askedPeer) {
			p.write(askForBody)
			if n, _ := io.Copy(io.Discard, p.r); n > 0 {
				p.t.Errorf("got %d bytes of a body that had no room, want none", n)
			}
		}, options: Options{BeforeBody: func(context.Context) error {
			time.Sleep(20 * time.Millisecond)
			return call.Refuse(call.Deadline, nil)
		}}},
		{name: "closed while the body waits to be sent", verdict: call.NotRun, reason: call.Cut, serve: func(p *askedPeer) {
			p.write(askForBody)
		}, options: Options{BeforeBody: func(context.Context) error {
			time.Sleep(20 * time.Millisecond)
			return nil
		}}},
		{name: "closed while the body waits for longer than the exchange", verdict: call.NotRun, reason: call.Cut, serve: func(p *askedPeer) {
			p.write(askForBody)
		}, options: Options{BeforeBody: func(ctx context.Context) error {
			<-ctx.Done()
			return call.Refuse(call.ReasonOf(ctx, call.Canceled), ctx.Err())
		}}},
		{name: "refused while the body waits for longer than the exchange", status: 503, serve: func(p *askedPeer) {
			p.write(askForBody + "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno")
			if n, _ := io.Copy(io.Discard, p.r); n > 0 {
				p.t.Errorf("got %d bytes of a refused body, want none", n)
			}
		}, options: Options{BeforeBody: func(ctx context.Context) error {
			<-ctx.Done()
			return call.Refuse(call.ReasonOf(ctx, call.Canceled), ctx.Err())
		}}},
		{name: "closed after a part of the body", verdict: call.MayHaveRun, reason: call.Cut, serve: func(p *askedPeer) {
			p.write(askForBody)
			p.readBody(1)
		}},
		{name: "deadline after the body", timeout: 100 * time.Millisecond, verdict: call.MayHaveRun, reason: call.Deadline, serve: func(p *askedPeer) {
			p.write(askForBody)
			_, _ = io.Copy(io.Discard, p.r)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := startAskedPeer(t, c.serve)
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("/")
			req.Header.SetHost("a")
			req.Header.SetMethod("POST")
			req.SetBodyString(strings.Repeat("b", askedBodySize))
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(c.timeout, 20*time.Second))
			defer cancel()
			c.options.AskFirst = true
			err := pool.DoWith(ctx, req, resp, c.options)
			if c.timeout == 0 && ctx.Err() != nil {
				t.Error("the exchange ended at the deadline of the call, want an end with its connection or answer")
			}
			if len(pool.idle) != btoi(c.reused) {
				t.Errorf("%d idle connections, want %d", len(pool.idle), btoi(c.reused))
			}
			if c.status > 0 {
				if err != nil || resp.StatusCode() != c.status {
					t.Errorf("got status %d and %v, want status %d", resp.StatusCode(), err, c.status)
				}
				return
			}
			var f *call.Failure
			if !errors.As(err, &f) || f.Verdict != c.verdict || f.Reason != c.reason {
				t.Errorf("got %v, want %s (%s)", err, c.reason, c.verdict)
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// startAskedPeer serves one connection after its head was read, and returns a pool of
// connections to it.
func startAskedPeer(t *testing.T, serve func(p *askedPeer)) *Pool {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		p := &askedPeer{Conn: c, r: bufio.NewReader(c), t: t}
		p.readHead()
		serve(p)
	}()
	p := NewPool(ln.Addr().String(), nil)
	t.Cleanup(func() {
		p.Close()
		_ = ln.Close()
		<-ended
	})
	return p
}
