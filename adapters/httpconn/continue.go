package httpconn

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fasthttp"
)

// expectContinue is the value of the field Expect in a request whose sender waits for an
// interim answer with status 100 before it sends the body.
const expectContinue = "100-continue"

var errExchangeEnded = errors.New("the exchange ended before the body was sent")

// headTimeout returns the maximum time without a received byte until the server asks for
// the body, or for the whole exchange if it is not asked.
func (o *Options) headTimeout() time.Duration {
	if o.AskFirst && o.InactivityTimeout == 0 {
		return o.AskTimeout
	}
	return o.InactivityTimeout
}

// roundTripAsked sends the head of a request, and its body once the server asks for it.
// The final answer may arrive at any time.
func roundTripAsked(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	req.Header.Set(fasthttp.HeaderExpect, expectContinue)
	req.Header.SetContentLength(len(req.Body()))
	c.headBytes = math.MaxInt64
	if err := req.Header.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	c.headBytes = c.written.Load()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sent chan error
	o.onContinue = func() {
		if sent != nil {
			return
		}
		if o.InactivityTimeout == 0 && stopInactivityTimer(c) {
			// The connection is interrupted, so reading on fails.
			return
		}
		sent = make(chan error, 1)
		go func() { sent <- sendAskedBody(ctx, c, req, o.BeforeBody) }()
	}
	err := readAnswer(c, req, resp, o)
	cancel(errExchangeEnded)
	if sent != nil {
		return endSending(c, req, resp, sent, err)
	}
	if err != nil {
		return fmt.Errorf("before the body was asked for: %w", err)
	}
	// The server may still wait for the body.
	resp.SetConnectionClose()
	return nil
}

// sendAskedBody sends the body of a request once before has returned. If that fails, it
// ends the exchange.
func sendAskedBody(ctx context.Context, c *conn, req *fasthttp.Request, before func(context.Context) error) error {
	if before != nil {
		if err := before(ctx); err != nil {
			// The interruption ends the exchange, too.
			ended := context.Cause(ctx) == errExchangeEnded
			c.interrupt()
			if ended {
				return errExchangeEnded
			}
			return err
		}
	}
	if _, err := c.w.Write(req.Body()); err != nil {
		return err
	}
	return c.w.Flush()
}
