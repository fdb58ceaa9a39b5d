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
	// DefaultMaxConnections is the default limit of open connections per listener.
	DefaultMaxConnections = 4096
	// IdleTimeout is the maximum wait for the next request of a connection.
	IdleTimeout = 60 * time.Second
	// maxPipelined limits the concurrently running requests of one connection.
	maxPipelined = 32
	// acceptRetryBase and acceptRetryMax are the initial and the maximum interval
	// of the backoff after a failed Accept.
	acceptRetryBase = 5 * time.Millisecond
	acceptRetryMax  = time.Second
)

// Handler handles requests. The context is canceled when the caller
// disconnects.
type Handler interface {
	Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response)
	// Refuse writes the answer to a request that is not handled since there is no room
	// for it. The body may be missing.
	Refuse(req *fasthttp.Request, resp *fasthttp.Response, cause error)
	// RejectMalformed may add to the error response to a request that could not
	// be read and is not passed to Handle.
	RejectMalformed(resp *fasthttp.Response)
}

// Server serves one listener, with one goroutine for each connection and one for
// each running request.
type Server struct {
	handler Handler
	// progressInterval is the time between interim answers; 0 means that none are
	// sent.
	progressInterval time.Duration
	draining         atomic.Bool
	// stopping is set before the idle connections are closed.
	stopping atomic.Bool
	// onAcceptError is called for each failed Accept; it may be nil.
	onAcceptError func(error)
	// bodies is nil if the bodies of requests have no bound.
	bodies *bodyBudget
	// memory is nil if the memory of requests has no bound.
	memory *RequestMemory
	// maxBody is the largest body of a request, in bytes.
	maxBody int
	// maxHead is the largest head of a request, in bytes.
	maxHead int

	mu       sync.Mutex
	sessions map[*session]bool
	closed   bool
	room     room
}

// NewServer returns a server that passes each request to the handler. While a
// request runs, the server sends an interim answer after each progressInterval,
// so that the caller knows that the connection works; 0 means none.
func NewServer(h Handler, progressInterval time.Duration) *Server {
	return &Server{
		handler: h, progressInterval: progressInterval, sessions: map[*session]bool{},
		room: room{limit: DefaultMaxConnections}, maxBody: MaxRequestSize, maxHead: MaxHeaderSize,
	}
}

// SetMaxConnections limits the open connections to n. Close to the limit, answers end
// their connections; at the limit, connections that have been idle for minIdleAge or
// longer are closed, and the requests on a few connections beyond it are refused. It
// must be called before Run.
func (s *Server) SetMaxConnections(n int, minIdleAge time.Duration) {
	s.room.limit, s.room.minIdleAge = n, minIdleAge
}

// SetBodyBudget bounds the bytes of the request bodies that are held at the same time. A
// body that has no room waits for a moment; then its request is refused unread. Short
// bodies need no budget. It must be called before Run.
func (s *Server) SetBodyBudget(bytes int64) { s.bodies = newBodyBudget(bytes) }

// SetRequestMemory bounds the memory of requests and of answers that wait to be written,
// together with the other servers that share m. It must be called before Run.
func (s *Server) SetRequestMemory(m *RequestMemory) { s.memory = m }

// SetMaxBody limits the size of the body of a request to n bytes, at most MaxRequestSize.
// It must be called before Run.
func (s *Server) SetMaxBody(n int) { s.maxBody = n }

// SetMaxHead limits the size of the head of a request to n bytes. It must be called before
// Run.
func (s *Server) SetMaxHead(n int) { s.maxHead = n }

// OnCrowded sets a function that is called, once a second at most, when the limit of
// open connections is reached. It must be called before Run and must not block.
func (s *Server) OnCrowded(report func(limit int, total Crowding)) { s.room.report = report }

// OnShortMemory sets a function that is called, once a second at most, when there is no
// memory for a request or an answer. It must be called before Run and must not block.
func (s *Server) OnShortMemory(report func(total Crowding)) { s.room.reportMemory = report }

// Crowding returns the counts since the start of the server.
func (s *Server) Crowding() Crowding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.counts
}

// OnAcceptError sets a function that is called for each failed Accept. It must be
// called before Run.
func (s *Server) OnAcceptError(f func(error)) { s.onAcceptError = f }

// Run accepts connections until ctx ends, then closes the idle connections and
// waits for running requests to end.
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
		// Accept fails temporarily when the process runs out of descriptors.
		if s.onAcceptError != nil {
			s.onAcceptError(err)
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
}

// start starts the goroutine of a connection, or closes the connection if there is no
// room for it.
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
	return !s.closed && s.admit(n, time.Now())
}

func (s *Server) remove(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(n)
	_ = n.Close()
}

// Drain makes each connection end with the answer after which no request of it is
// running.
func (s *Server) Drain() { s.draining.Store(true) }

// closeIdle closes the connections without a request in progress.
func (s *Server) closeIdle() {
	s.draining.Store(true)
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for n := range s.sessions {
		n.end()
	}
}

// Abort closes all connections immediately, also those with running requests.
func (s *Server) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for n := range s.sessions {
		_ = n.Close()
	}
}
