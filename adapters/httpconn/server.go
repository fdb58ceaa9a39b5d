package httpconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/wait"
)

// Limits of a server.
const (
	// DefaultMaxConnections bounds the open connections of one listener.
	DefaultMaxConnections = 4096
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout = 60 * time.Second
	// ReadTimeout bounds the reading of one request.
	ReadTimeout = 10 * time.Second
	// WriteTimeout bounds the writing of one answer.
	WriteTimeout = 30 * time.Second
	// maxPipelined bounds the requests of one connection that run at once.
	maxPipelined = 32
	// acceptRetryBase and acceptRetryMax bound the delay after a failed Accept.
	acceptRetryBase = 5 * time.Millisecond
	acceptRetryMax  = time.Second
)

// Handler answers one request. Its context ends when the caller leaves.
type Handler interface {
	Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)
	// RejectMalformed answers a request that cannot be read and has not been handled.
	RejectMalformed(resp *fasthttp.Response)
}

// Server serves one listener, one task for each connection and one for each
// request that runs.
type Server struct {
	handler Handler
	// progress is the time between interim answers; 0 means none.
	progress time.Duration
	// maxConnections bounds the open connections.
	maxConnections int
	draining       atomic.Bool
	// acceptFailed is told of each failed Accept; it may be nil.
	acceptFailed func(error)

	mu   sync.Mutex
	open map[*session]bool
	done bool
}

// NewServer returns a server that gives each request to the handler. While a
// request runs, an interim answer is sent after each interval of progress, so
// that its caller knows that the connection works; 0 means none.
func NewServer(h Handler, progress time.Duration) *Server {
	return &Server{
		handler: h, progress: progress, open: map[*session]bool{},
		maxConnections: DefaultMaxConnections,
	}
}

// SetMaxConnections bounds the open connections, before Run; one beyond n is closed at once,
// with nothing read.
func (s *Server) SetMaxConnections(n int) { s.maxConnections = n }

// OnAcceptError sets what is told of each failed Accept, before Run.
func (s *Server) OnAcceptError(f func(error)) { s.acceptFailed = f }

// Run accepts connections until ctx ends, then lets running requests finish.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	var tasks errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.closeIdle()
	})
	defer stop()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = acceptRetryBase, acceptRetryMax
	for {
		c, err := ln.Accept()
		if err == nil {
			delay.Reset()
			s.start(ctx, &tasks, c)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			_ = tasks.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		// Accept fails for a while when descriptors run out.
		if s.acceptFailed != nil {
			s.acceptFailed(err)
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
}

// start begins the task of a connection, or closes one beyond the limit.
func (s *Server) start(ctx context.Context, tasks *errgroup.Group, c net.Conn) {
	n := newSession(s, c)
	if !s.add(n) {
		_ = c.Close()
		return
	}
	tasks.Go(func() error {
		n.run(context.WithoutCancel(ctx))
		return nil
	})
}

func (s *Server) add(n *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || len(s.open) >= s.maxConnections {
		return false
	}
	s.open[n] = true
	return true
}

func (s *Server) forget(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, n)
	_ = n.Close()
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// closeIdle closes the connections on which no request is under way.
func (s *Server) closeIdle() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for n := range s.open {
		n.closeIfIdle()
	}
}

// Abort closes every connection at once, running requests included.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for n := range s.open {
		_ = n.Close()
	}
}
