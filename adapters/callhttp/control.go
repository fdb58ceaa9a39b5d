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

// headerControl holds the name of a control message.
const headerControl = "Fescuehoist-Control"

// Control messages: the requests between daemons that are not calls.
const (
	controlBegin  = "begin"
	controlAwait  = "await"
	controlFinish = "finish"
	controlCopy   = "copy"
	controlCrash  = "crash"
)

var errUnknownControl = errors.New("unknown control message, want begin, await, finish, copy or crash")

// ControlHandler handles the control messages of other daemons.
type ControlHandler struct {
	Ledger  *idempotency.Ledger
	Runner  *idempotency.Runner
	Tracker *quarantine.Tracker
}

// handle answers one control message: with status 400 if it is malformed or of
// unknown name, otherwise with the reply as JSON.
func (c *ControlHandler) handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	timeout, err := parseTimeout(req)
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var reply any
	if err == nil {
		reply, err = c.dispatch(ctx, string(req.Header.Peek(headerControl)), req.Body())
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

func (c *ControlHandler) dispatch(ctx context.Context, name string, body []byte) (any, error) {
	switch name {
	case controlBegin:
		return decodeAndHandle(body, c.Ledger.Begin)
	case controlAwait:
		return decodeAndHandle(body, func(id *idempotency.ID) *idempotency.Reply { return c.Ledger.Await(ctx, *id) })
	case controlFinish:
		return decodeAndHandle(body, func(m *idempotency.Finish) *idempotency.Reply {
			c.Runner.Finish(m)
			return nil
		})
	case controlCopy:
		return decodeAndHandle(body, func(transfers *[]idempotency.Transfer) *idempotency.Reply {
			c.Ledger.Import(*transfers)
			return nil
		})
	case controlCrash:
		return decodeAndHandle(body, func(r *quarantine.Report) *idempotency.Reply {
			c.Tracker.Apply(r)
			return nil
		})
	}
	return nil, errUnknownControl
}

// decodeAndHandle decodes a JSON message and passes it to handle.
func decodeAndHandle[M any](body []byte, handle func(*M) *idempotency.Reply) (*idempotency.Reply, error) {
	m := new(M)
	if err := json.Unmarshal(body, m); err != nil {
		return nil, err
	}
	return handle(m), nil
}

// Begin asks the replica at address to record a key.
func (f *Forwarder) Begin(ctx context.Context, address string, m *idempotency.Begin) (*idempotency.Reply, error) {
	reply := &idempotency.Reply{}
	return reply, f.control(ctx, address, controlBegin, m, reply)
}

// Await asks the replica at address for the outcome of an execution. The replica
// replies once the execution has ended.
func (f *Forwarder) Await(ctx context.Context, address string, id idempotency.ID) (*idempotency.Reply, error) {
	reply := &idempotency.Reply{}
	return reply, f.control(ctx, address, controlAwait, id, reply)
}

// Finish reports the end of an execution to the replica at address.
func (f *Forwarder) Finish(ctx context.Context, address string, m *idempotency.Finish) error {
	return f.control(ctx, address, controlFinish, m, nil)
}

// Import transfers keys to the replica at address.
func (f *Forwarder) Import(ctx context.Context, address string, transfers []idempotency.Transfer) error {
	return f.control(ctx, address, controlCopy, transfers, nil)
}

// SendReport sends a crash report to the daemon at address.
func (f *Forwarder) SendReport(ctx context.Context, address string, r *quarantine.Report) error {
	return f.control(ctx, address, controlCrash, r, nil)
}

// control sends a control message and decodes the reply into out unless out is
// nil.
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
	number := f.numberRequest(req)
	o := httpconn.Options{InactivityTimeout: f.InactivityTimeout, Check: func(resp *fasthttp.Response) error {
		return checkCallNumber(number, resp)
	}}
	if err := f.pool(address).DoWith(ctx, req, resp, o); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("control message %q: reply has status %d, want 200", name, resp.StatusCode())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}
