package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Limits of a server.
const (
	// MaxRequestSize bounds the body of a request, in bytes.
	MaxRequestSize = 8 << 20
	// MaxHeaderSize bounds the header of a request, in bytes.
	MaxHeaderSize = 16 << 10
	// MaxConnections bounds the open connections of one listener.
	MaxConnections = 4096
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout = 60 * time.Second
	// ReadTimeout bounds the reading of one request.
	ReadTimeout = 10 * time.Second
)

// Handler answers one request. Its context ends when the caller leaves.
type Handler func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)

// Server serves one listener, one task for each connection.
type Server struct {
	handler Handler

	mu sync.Mutex
	// open holds every connection and whether it waits for a request.
	open map[net.Conn]bool
	done bool
}

// NewServer returns a server that gives each request to the handler.
func NewServer(h Handler) *Server { return &Server{handler: h, open: map[net.Conn]bool{}} }

// Run accepts connections until ctx ends, then lets running requests finish.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	var tasks errgroup.Group
	tasks.SetLimit(MaxConnections)
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.closeIdle()
	})
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			_ = tasks.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		tasks.Go(func() error {
			s.serve(context.WithoutCancel(ctx), c)
			return nil
		})
	}
}

// serve is the task of one connection.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.forget(c)
	r := bufio.NewReaderSize(c, MaxHeaderSize)
	w := bufio.NewWriterSize(c, bufferSize)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for s.wait(c, r) {
		if !s.one(ctx, c, r, w, req, resp) {
			return
		}
	}
}

// wait waits for the first byte of the next request.
func (s *Server) wait(c net.Conn, r *bufio.Reader) bool {
	if r.Buffered() > 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(IdleTimeout))
	if !s.rest(c) {
		return false
	}
	_, err := r.Peek(1)
	s.busy(c)
	return err == nil
}

// one reads, handles and answers one request, and reports whether the
// connection may be used again.
func (s *Server) one(ctx context.Context, c net.Conn, r *bufio.Reader, w *bufio.Writer,
	req *fasthttp.Request, resp *fasthttp.Response) bool {
	req.Reset()
	resp.Reset()
	_ = c.SetReadDeadline(time.Now().Add(ReadTimeout))
	if err := readRequest(r, w, req); err != nil {
		refuseRequest(resp, err)
		_ = resp.Write(w)
		_ = w.Flush()
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	gone := watch(c, r, cancel)
	s.handler(ctx, req, resp)
	left := gone()
	cancel()
	if left {
		return false
	}
	last := req.Header.ConnectionClose() || s.draining()
	if last {
		resp.SetConnectionClose()
	}
	resp.SkipBody = req.Header.IsHead()
	if resp.Write(w) != nil || w.Flush() != nil {
		return false
	}
	return !last && !resp.ConnectionClose()
}

func readRequest(r *bufio.Reader, w *bufio.Writer, req *fasthttp.Request) error {
	if err := req.ReadLimitBody(r, MaxRequestSize); err != nil {
		return err
	}
	if !req.MayContinue() {
		return nil
	}
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return req.ContinueReadBody(r, MaxRequestSize)
}

func refuseRequest(resp *fasthttp.Response, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	resp.SetStatusCode(status)
	resp.SetBodyString("the request cannot be read\n")
	resp.SetConnectionClose()
}

// watch cancels once the caller closes its connection. The returned function
// ends the watch and reports whether the caller left.
func watch(c net.Conn, r *bufio.Reader, cancel context.CancelFunc) func() bool {
	if r.Buffered() > 0 {
		return func() bool { return false }
	}
	result := make(chan error, 1)
	go func() {
		_, err := r.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		result <- err
	}()
	return func() bool {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		err := <-result
		_ = c.SetReadDeadline(time.Time{})
		return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// rest notes that a connection is idle, unless the server is ending.
func (s *Server) rest(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.open[c] = true
	return true
}

func (s *Server) busy(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = false
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	_ = c.Close()
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c, idle := range s.open {
		if idle {
			_ = c.Close()
		}
	}
}

// Abort closes every connection at once, running requests included.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c := range s.open {
		_ = c.Close()
	}
}
