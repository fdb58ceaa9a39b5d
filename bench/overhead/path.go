package overhead

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/backendhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/backend"
)

// bodySize is the size of the body of a request, in bytes.
const bodySize = 1024

var errStatus = errors.New("call failed: response status is not 200")

// sendFunc sends one call and waits for its response.
type sendFunc func(ctx context.Context) error

// httpCall returns a function that sends a call over HTTP to the server at address.
// If keyed is set, each call has a new idempotency key.
func httpCall(address, method, path string, keyed bool) sendFunc {
	pool := httpconn.NewPool(address, nil)
	body := make([]byte, bodySize)
	var keys atomic.Uint64
	return func(ctx context.Context) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(method)
		req.SetRequestURI(path)
		req.SetHost("lookup")
		req.Header.Set(backend.HeaderRequestID, "1")
		if keyed {
			req.Header.Set(callhttp.HeaderKey, strconv.FormatUint(keys.Add(1), 36))
		}
		req.SetBodyRaw(body)
		if err := pool.Do(ctx, req, resp); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return errStatus
		}
		return nil
	}
}

// hops are the two transports from one daemon to the daemon of a backend server:
// HTTP and gRPC.
type hops struct {
	http    *callhttp.Forwarder
	grpc    *grpcHop
	client  *backendhttp.Client
	cancel  context.CancelFunc
	done    chan error
	address string
	class   *target.Class
}

// startHops serves calls over HTTP and over gRPC. Both servers pass them directly to
// the same client of the backend server at address, without admission or routing.
func startHops(ctx context.Context, address string) (*hops, error) {
	h := &hops{
		http: callhttp.NewForwarder(nil), client: &backendhttp.Client{}, done: make(chan error, 1),
		class: &target.Class{Name: "search", Idempotent: true},
	}
	h.client.SetAddress(address)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.address = ln.Addr().String()
	ctx, h.cancel = context.WithCancel(ctx)
	server := httpconn.NewServer(&callhttp.DaemonHandler{Handler: h.client}, callhttp.ProgressInterval)
	go func() { h.done <- server.Run(ctx, ln) }()
	h.grpc, err = startGRPC(h.client)
	return h, err
}

func (h *hops) request() *call.Request {
	return &call.Request{
		Service: "lookup", Method: "GET", URI: "/search", Class: h.class, ClassName: h.class.Name,
		Header: []call.Field{{Name: backend.HeaderRequestID, Value: "1"}}, Body: make([]byte, bodySize),
	}
}

func (h *hops) overHTTP(ctx context.Context) error {
	_, err := h.http.Forward(ctx, h.address, h.request())
	return err
}

func (h *hops) overGRPC(ctx context.Context) error {
	_, err := h.grpc.call(ctx, h.request())
	return err
}

func (h *hops) close() {
	h.http.Close()
	h.grpc.close()
	h.cancel()
	<-h.done
	h.client.Close()
}

// deployment returns a deployment in which the called server lookup-1 is behind the
// first daemon and the caller uses the second one. Two more daemons can be replicas
// of keys.
func deployment() *fleet.Deployment {
	return &fleet.Deployment{
		Name: "overhead",
		Servers: []fleet.Server{
			{Name: "lookup-1", Service: "lookup", Domain: "cairo-a", Slots: 200},
			{Name: "archive-1", Service: "archive", Domain: "cairo-b", Slots: 200},
			{Name: "archive-2", Service: "archive", Domain: "cairo-c", Slots: 200},
			{Name: "archive-3", Service: "archive", Domain: "cairo-a", Slots: 200},
		},
		Work: func(string, string) time.Duration { return 0 },
	}
}
