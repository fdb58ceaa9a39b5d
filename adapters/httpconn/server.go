package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Limits of a server.
const (
	// MaxConnections bounds the open connections of one listener.
	MaxConnections = 4096
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout = 60 * time.Second
	// ReadTimeout bounds the reading of one request.
	ReadTimeout = 10 * time.Second
	// WriteTimeout bounds the writing of one answer.
	WriteTimeout = 30 * time.Second
)

// Handler answers one request. Its context ends when the caller leaves.
type Handler interface {
	Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)
	// Refuse answers a request that cannot be read and has not been handled.
	Refuse(resp *fasthttp.Response)
}

// Server serves one listener, one task for each connection.
type Server struct {
	handler Handler
	// progress is the time between interim answers; 0 means none.
	progress time.Duration
	draining atomic.Bool

	mu sync.Mutex
	// open holds every connection and whether it waits for a request.
	open map[net.Conn]bool
	done bool
}

// NewServer returns a server that gives each request to the handler. While a
// request runs, an interim answer is sent after each interval of progress, so
// that its caller knows that the connection works; 0 means none.
func NewServer(h Handler, progress time.Duration) *Server {
	return &Server{handler: h, progress: progress, open: map[net.Conn]bool{}}
}

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

// session is what the task of one connection works with.
type session struct {
	net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	req  *fasthttp.Request
	resp *fasthttp.Response
}

// serve is the task of one connection.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.forget(c)
	n := &session{
		Conn: c, r: bufio.NewReaderSize(c, MaxHeaderSize), w: bufio.NewWriterSize(c, bufferSize),
		req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
	}
	defer fasthttp.ReleaseRequest(n.req)
	defer fasthttp.ReleaseResponse(n.resp)
	for s.wait(n) {
		if !s.one(ctx, n) {
			return
		}
	}
}

// wait waits for the first byte of the next request.
func (s *Server) wait(n *session) bool {
	if n.r.Buffered() > 0 {
		return true
	}
	_ = n.SetReadDeadline(time.Now().Add(IdleTimeout))
	if !s.rest(n.Conn) {
		return false
	}
	_, err := n.r.Peek(1)
	s.busy(n.Conn)
	return err == nil
}

// one reads, handles and answers one request, and reports whether the
// connection may be used again.
func (s *Server) one(ctx context.Context, n *session) bool {
	n.req.Reset()
	n.resp.Reset()
	_ = n.SetReadDeadline(time.Now().Add(ReadTimeout))
	if err := readRequest(n.r, n.w, n.req); err != nil {
		s.refuse(n, err)
		return false
	}
	_ = n.SetReadDeadline(time.Time{})
	if !s.handle(ctx, n) {
		return false
	}
	last := n.req.Header.ConnectionClose() || s.draining.Load()
	if last {
		n.resp.SetConnectionClose()
	}
	n.resp.SkipBody = n.req.Header.IsHead()
	_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if n.resp.Write(n.w) != nil || n.w.Flush() != nil {
		return false
	}
	return !last && !n.resp.ConnectionClose()
}

func (s *Server) refuse(n *session, err error) {
	n.resp.Reset()
	n.resp.SetStatusCode(statusOf(err))
	n.resp.SetBodyString("the request cannot be read\n")
	s.handler.Refuse(n.resp)
	n.resp.SetConnectionClose()
	_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
	_ = n.resp.Write(n.w)
	_ = n.w.Flush()
}

// handle runs the handler and reports whether its caller stayed.
func (s *Server) handle(ctx context.Context, n *session) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gone := watch(n.Conn, n.r, cancel)
	ended := s.report(n)
	s.handler.Handle(ctx, n.req, n.resp)
	ended()
	return !gone()
}

// interim is an answer that says only that the final one is on its way.
const interim = "HTTP/1.1 102 Processing\r\n\r\n"

// report sends interim answers until the returned function is called.
func (s *Server) report(n *session) func() {
	if s.progress == 0 {
		return func() {}
	}
	var mu sync.Mutex
	ended := false
	var timer *time.Timer
	send := func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if _, err := n.Write([]byte(interim)); err != nil {
			return
		}
		timer.Reset(s.progress)
	}
	mu.Lock()
	timer = time.AfterFunc(s.progress, send)
	mu.Unlock()
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
	}
}

// watch cancels once the caller closes its connection, also after it sent
// further requests. The returned function ends the watch and reports whether
// the caller left.
func watch(c net.Conn, r *bufio.Reader, cancel context.CancelFunc) func() bool {
	result := make(chan bool, 1)
	go func() {
		left := leaves(r)
		if left {
			cancel()
		}
		result <- left
	}()
	return func() bool {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		left := <-result
		_ = c.SetReadDeadline(time.Time{})
		return left
	}
}

// leaves buffers what the caller sends until it leaves, the read deadline
// passes or the buffer is full.
func leaves(r *bufio.Reader) bool {
	for {
		_, err := r.Peek(r.Buffered() + 1)
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, bufio.ErrBufferFull)
		}
	}
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

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

func (s *Server) closeIdle() {
	s.draining.Store(true)
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
