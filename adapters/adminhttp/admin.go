// Package adminhttp serves a daemon's admin address: announcements of the
// backend server, health, readiness, metrics and a read-only view of the state.
package adminhttp

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/target"
)

const (
	// MaxBodySize is the maximum size of the body of a request, in bytes.
	MaxBodySize = 64 << 10
	maxSlots    = 100_000
)

// Announcer accepts the announcements of the backend server.
type Announcer interface {
	Announce(b announce.Backend) bool
}

// Server handles the requests to the admin address.
type Server struct {
	Announcer Announcer
	// Metrics serves the metrics.
	Metrics http.Handler
	// State returns the value that GET /v1/state shows as JSON.
	State func() any
	// Ready reports whether the daemon can route calls.
	Ready func() bool
	// Placer answers where a request would go.
	Placer Placer
}

// announcement is the body of PUT /v1/backend.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

// Handler returns the handler of the requests to the admin address.
func (s *Server) Handler() *Handler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(s.Metrics)
	return NewHandler(func(c *fasthttp.RequestCtx) { s.handle(c, metrics) })
}

// ReadyPath is the path of the readiness check: status 200 if the daemon can
// route calls, otherwise 503.
const ReadyPath = "/readyz"

// HandleReady handles requests to the address that serves only the readiness
// check.
func (s *Server) HandleReady(c *fasthttp.RequestCtx) {
	if string(c.Path()) != ReadyPath {
		c.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	s.writeReadiness(c)
}

func (s *Server) handle(c *fasthttp.RequestCtx, metrics fasthttp.RequestHandler) {
	switch route := string(c.Method()) + " " + string(c.Path()); route {
	case "GET /healthz":
		c.SetBodyString("ok\n")
	case "GET " + ReadyPath:
		s.writeReadiness(c)
	case "GET /metrics":
		metrics(c)
	case "GET /v1/state":
		s.writeState(c)
	case "GET " + PlacementPath:
		s.handlePlacement(c)
	case "PUT /v1/backend":
		s.handleAnnouncement(c)
	default:
		c.Error("no such method or path", fasthttp.StatusNotFound)
	}
}

func (s *Server) writeReadiness(c *fasthttp.RequestCtx) {
	if !s.Ready() {
		c.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

func (s *Server) writeState(c *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(s.State(), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}

func (s *Server) handleAnnouncement(c *fasthttp.RequestCtx) {
	var in announcement
	err := json.Unmarshal(c.PostBody(), &in)
	if err == nil {
		err = in.validate()
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Announcer.Announce(announce.Backend{Service: in.Service, Address: in.Address, Slots: in.Slots})
	c.SetStatusCode(fasthttp.StatusNoContent)
}

func (a *announcement) validate() error {
	if !target.ValidName(a.Service) {
		return fmt.Errorf("service %q is not a valid service name", a.Service)
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("address %q, want an IP address and a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("slots is %d, want 1 to %d", a.Slots, maxSlots)
	}
	return nil
}
