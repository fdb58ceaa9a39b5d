package adminhttp

import (
	"context"

	"github.com/valyala/fasthttp"
)

// Handler adapts a handler of fasthttp's own server to that of package httpconn, whose
// server bounds connections and memory and closes slow connections.
type Handler struct{ handle fasthttp.RequestHandler }

// NewHandler returns a handler that passes each request to handle.
func NewHandler(handle fasthttp.RequestHandler) *Handler { return &Handler{handle: handle} }

// Handle handles one request.
func (h *Handler) Handle(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	var c fasthttp.RequestCtx
	c.Init2(nil, nil, true)
	req.CopyTo(&c.Request)
	h.handle(&c)
	c.Response.CopyTo(resp)
}

// Refuse answers a request for which there was no room.
func (h *Handler) Refuse(_ *fasthttp.Request, resp *fasthttp.Response, cause error) {
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.SetBodyString(cause.Error() + "\n")
}

// RejectMalformed adds nothing to the response to a malformed request.
func (h *Handler) RejectMalformed(*fasthttp.Response) {}
