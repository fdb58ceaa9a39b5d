package callhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/idempotency"
	"fescuehoist.example/mesh/quarantine"
)

// headerControl names a message between daemons that is not a call.
const headerControl = "Fescuehoist-Control"

// Messages between daemons that are not calls.
const (
	controlBegin  = "begin"
	controlAwait  = "await"
	controlFinish = "finish"
	controlCopy   = "copy"
	controlCrash  = "crash"
)

var errNoControl = errors.New("no such message")

// ControlHandler takes the messages of other daemons that are not calls.
type ControlHandler struct {
	Ledger  *idempotency.Ledger
	Runner  *idempotency.Runner
	Tracker *quarantine.Tracker
}

// handle answers one message.
func (c *ControlHandler) handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	timeout, err := timeoutOf(req)
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var reply any
	if err == nil {
		reply, err = c.answer(ctx, string(req.Header.Peek(headerControl)), req.Body())
	}
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusBadRequest)
		resp.SetBodyString(err.Error() + "\n")
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	resp.SetBodyRaw(body)
}

func (c *ControlHandler) answer(ctx context.Context, name string, body []byte) (any, error) {
	switch name {
	case controlBegin:
		return take(body, c.Ledger.Begin)
	case controlAwait:
		return take(body, func(id *idempotency.ID) *idempotency.Reply { return c.Ledger.Await(ctx, *id) })
	case controlFinish:
		return take(body, func(m *idempotency.Finish) *idempotency.Reply {
			c.Runner.Finish(m)
			return nil
		})
	case controlCopy:
		return take(body, func(copies *[]idempotency.Transfer) *idempotency.Reply {
			c.Ledger.Import(*copies)
			return nil
		})
	case controlCrash:
		return take(body, func(r *quarantine.Report) *idempotency.Reply {
			c.Tracker.Apply(r)
			return nil
		})
	}
	return nil, errNoControl
}

// take decodes a message and hands it over.
func take[M any](body []byte, to func(*M) *idempotency.Reply) (*idempotency.Reply, error) {
	m := new(M)
	if err := json.Unmarshal(body, m); err != nil {
		return nil, err
	}
	return to(m), nil
}

// Begin asks the home at address to record a key.
func (f *Forwarder) Begin(ctx context.Context, address string, m *idempotency.Begin) (*idempotency.Reply, error) {
	reply := &idempotency.Reply{}
	return reply, f.control(ctx, address, controlBegin, m, reply)
}

// Await waits at the home at address for the end of a run.
func (f *Forwarder) Await(ctx context.Context, address string, id idempotency.ID) (*idempotency.Reply, error) {
	reply := &idempotency.Reply{}
	return reply, f.control(ctx, address, controlAwait, id, reply)
}

// Finish tells the home at address how a run ended.
func (f *Forwarder) Finish(ctx context.Context, address string, m *idempotency.Finish) error {
	return f.control(ctx, address, controlFinish, m, nil)
}

// Copy gives keys to the home at address.
func (f *Forwarder) Copy(ctx context.Context, address string, copies []idempotency.Transfer) error {
	return f.control(ctx, address, controlCopy, copies, nil)
}

// Tell gives a report of a crash to the daemon at address.
func (f *Forwarder) Tell(ctx context.Context, address string, r *quarantine.Report) error {
	return f.control(ctx, address, controlCrash, r, nil)
}

// control sends a message and decodes its reply into out unless that is nil.
func (f *Forwarder) control(ctx context.Context, address, name string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/")
	req.SetHost("daemon")
	req.Header.Set(headerControl, name)
	setTimeout(ctx, req)
	req.SetBodyRaw(body)
	number := f.number(req)
	o := httpconn.Options{InactivityTimeout: f.InactivityTimeout, Check: func(resp *fasthttp.Response) error {
		return checkNumber(number, resp)
	}}
	if err := f.pool(address).DoWith(ctx, req, resp, o); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("message %s was answered with status %d", name, resp.StatusCode())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}
