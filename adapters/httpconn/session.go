package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// session is one connection of a caller. Its goroutine reads requests and starts
// a goroutine for each; answers are written in the order of the requests.
type session struct {
	net.Conn
	server *Server
	r      *bufio.Reader
	w      *bufio.Writer
	// slots is a semaphore that limits the concurrently running requests.
	slots chan struct{}
	// refusing is true if no request of the connection is handled.
	refusing bool

	// body is the account of the request that is being read, if the length of its body
	// is unknown, or nil.
	body *bodyAccount
	// arriving is the body that is being read, or nil.
	arriving ArrivingBody
	// unread is true if the rest of a request was left unread.
	unread bool

	mu sync.Mutex
	// idleSince is when the last request ended, or when the connection was opened.
	idleSince time.Time
	// queue holds the unanswered exchanges in the order of their requests.
	queue []*exchange
	// reading is true while a request is partly read, closing once no further
	// request is accepted.
	reading, closing bool
}

// exchange is a request and its answer.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	body bodyAccount
	// headAt is when the head was read, if the body was announced to the handler.
	headAt time.Time
	// complete is true once the answer is complete, last if it ends the
	// connection.
	complete, last bool
}

func newExchange(budget *bodyBudget) *exchange {
	x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), body: bodyAccount{budget: budget}}
	x.resp.Header.SetNoDefaultContentType(true)
	return x
}

func (x *exchange) release() {
	x.body.release()
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}

func newSession(s *Server, c net.Conn) *session {
	n := &session{
		Conn: c, server: s, idleSince: time.Now(), slots: make(chan struct{}, maxPipelined),
		w: bufio.NewWriterSize(c, requestBufferSize),
	}
	n.r = bufio.NewReaderSize(n, requestBufferSize)
	return n
}

// Read reads from the connection, and counts the bytes of a body of unknown length.
func (n *session) Read(b []byte) (int, error) {
	count, err := n.Conn.Read(b)
	if n.arriving != nil {
		n.arriving.Arrived(count)
	}
	if n.body != nil {
		if roomErr := n.body.receive(int64(count)); roomErr != nil {
			return 0, roomErr
		}
	}
	return count, err
}

// run serves the connection until it ends. When the caller disconnects, the
// running requests are canceled.
func (n *session) run(ctx context.Context) {
	defer n.server.remove(n)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var requests errgroup.Group
	reason := n.readAll(ctx, &requests)
	if reason == callerDisconnected {
		cancel()
	}
	_ = requests.Wait()
	n.linger()
}

// endReason is why a connection accepts no further request.
type endReason int

const (
	callerDisconnected endReason = iota
	lastRequest
)

// readAll reads and starts requests until the caller disconnects or the last
// request has been read.
func (n *session) readAll(ctx context.Context, requests *errgroup.Group) endReason {
	for {
		n.slots <- struct{}{}
		if !n.awaitRequest() {
			return callerDisconnected
		}
		x := newExchange(n.server.bodies)
		_ = n.SetReadDeadline(time.Now().Add(ReadTimeout))
		if err := n.read(ctx, x); err != nil {
			n.reject(x, err)
			return lastRequest
		}
		x.last = x.req.Header.ConnectionClose() || n.refusing
		last := x.last
		if !n.enqueue(x) {
			x.release()
			return lastRequest
		}
		requests.Go(func() error {
			n.handle(ctx, x)
			<-n.slots
			return nil
		})
		if last {
			return n.awaitDisconnect(ctx)
		}
	}
}

// read reads one complete request. If the header exceeds the buffer, the buffer
// grows to MaxHeaderSize.
func (n *session) read(ctx context.Context, x *exchange) error {
	defer func() { n.body = nil }()
	defer n.endBody()
	var head *fasthttp.RequestHeader
	awaitRoom := func(length int) error {
		if length < 0 && x.body.budget != nil {
			head = &fasthttp.RequestHeader{}
			x.req.Header.CopyTo(head)
			n.body = &x.body
		}
		if err := x.body.await(int64(length)); err != nil {
			return err
		}
		return n.announceBody(ctx, x, length)
	}
	err := readRequest(n.r, n.w, x.req, awaitRoom)
	var bufferErr *fasthttp.ErrSmallBuffer
	if errors.Is(err, ErrNoBodyRoom) && head != nil {
		// The library has reset the request, whose head decides how it is refused.
		head.CopyTo(&x.req.Header)
	}
	if !errors.As(err, &bufferErr) || n.r.Size() >= MaxHeaderSize {
		return err
	}
	n.r = bufio.NewReaderSize(n.r, MaxHeaderSize)
	x.req.Reset()
	return readRequest(n.r, n.w, x.req, awaitRoom)
}

// awaitDisconnect waits, while the last request runs, until the caller disconnects
// or the last answer has been written.
func (n *session) awaitDisconnect(ctx context.Context) endReason {
	_ = n.SetReadDeadline(time.Time{})
	for {
		if _, err := n.r.Peek(n.r.Buffered() + 1); err != nil {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 || n.r.Buffered() >= n.r.Size() {
		return lastRequest
	}
	return callerDisconnected
}

// awaitRequest waits for the first byte of the next request. It returns false if
// there is none or the connection is closing.
func (n *session) awaitRequest() bool {
	if !n.armIdleTimeout() {
		return false
	}
	_, err := n.r.Peek(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = err == nil
	return err == nil && !n.closing
}

// armIdleTimeout sets the read deadline to IdleTimeout from now, or to none while
// requests run. It returns false if the connection is closing.
func (n *session) armIdleTimeout() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = false
	if n.closing {
		return false
	}
	n.setIdleDeadline()
	return true
}

func (n *session) setIdleDeadline() {
	if len(n.queue) > 0 {
		_ = n.SetReadDeadline(time.Time{})
		return
	}
	timeout := IdleTimeout
	if n.refusing {
		timeout = refusalTimeout
	}
	_ = n.SetReadDeadline(time.Now().Add(timeout))
}

// enqueue adds an exchange to the queue. It returns false if an earlier answer has
// ended the connection: that tells the caller that this request was not read.
func (n *session) enqueue(x *exchange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.closing = x.last
	n.queue = append(n.queue, x)
	return true
}

// reject answers a request that could not be read, or for which there was no memory,
// after the answers to earlier requests, and ends the connection.
func (n *session) reject(x *exchange, err error) {
	x.last = true
	x.body.release()
	if !n.enqueue(x) {
		x.release()
		return
	}
	switch {
	case errors.Is(err, errBodyRefused):
		// The handler has written the answer.
		n.unread = true
	case errors.Is(err, ErrNoBodyRoom):
		n.unread = true
		n.server.handler.Refuse(x.req, x.resp, ErrNoBodyRoom)
	default:
		x.resp.SetStatusCode(malformedStatus(err))
		x.resp.SetBodyString("malformed request\n")
		n.server.handler.RejectMalformed(x.resp)
	}
	n.deliver(x)
}

func (n *session) handle(ctx context.Context, x *exchange) {
	if n.refusing {
		n.server.handler.Refuse(x.req, x.resp, errCrowded)
	} else {
		stopProgress := n.startProgress(x)
		n.server.handler.Handle(withHeadTime(ctx, x.headAt), x.req, x.resp)
		stopProgress()
	}
	x.resp.SkipBody = x.req.Header.IsHead()
	n.deliver(x)
}

// deliver marks an answer as complete and writes the complete answers at the head
// of the queue.
func (n *session) deliver(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x.complete = true
	for len(n.queue) > 0 && n.queue[0].complete {
		head := n.queue[0]
		n.queue = n.queue[1:]
		n.write(head)
		head.release()
	}
	if len(n.queue) == 0 && !n.closing && !n.reading {
		n.idleSince = time.Now()
		n.setIdleDeadline()
	}
}

// write writes one answer. If it is the last one or the write fails, no further
// request is read.
func (n *session) write(x *exchange) {
	if len(n.queue) == 0 && (n.server.draining.Load() || n.server.room.crowded.Load()) {
		n.closing = true
	}
	last := x.last || x.resp.ConnectionClose() || (n.closing && len(n.queue) == 0)
	if last {
		x.resp.SetConnectionClose()
	}
	_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if x.resp.Write(n.w) != nil || n.w.Flush() != nil || last {
		n.closing = true
		n.stopReading()
	}
}

// stopReading makes pending reads of the connection fail, by a deadline in the
// past.
func (n *session) stopReading() { _ = n.SetReadDeadline(time.Unix(1, 0)) }

// lingerTimeout limits the wait for a caller whose last requests were not read.
const lingerTimeout = 200 * time.Millisecond

// linger closes the sending side first and discards input if requests were not
// read: closing a connection with unread bytes would reset it, and the caller
// could lose the last answer.
func (n *session) linger() {
	c, ok := n.Conn.(interface{ CloseWrite() error })
	if !ok || (n.r.Buffered() == 0 && !n.unread) || c.CloseWrite() != nil {
		return
	}
	_ = n.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, n.Conn)
}

// idle returns since when the connection has had no request in progress, and whether
// it has none.
func (n *session) idle() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.idleSince, len(n.queue) == 0 && !n.reading && !n.closing
}

// closeIfIdle closes the connection unless a request is in progress, and reports
// whether it did.
func (n *session) closeIfIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) > 0 || n.reading {
		return false
	}
	n.closing = true
	_ = n.Close()
	return true
}

// interimAnswer tells the caller that the request is still being processed.
const interimAnswer = "HTTP/1.1 102 Processing\r\n\r\n"

// startProgress sends interim answers until the returned function is called. An
// interim answer is only sent while x is at the head of the queue.
func (n *session) startProgress(x *exchange) func() {
	if n.server.progressInterval == 0 {
		return func() {}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(n.server.progressInterval, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.queue) == 0 || n.queue[0] != x || x.complete {
			return
		}
		_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if _, err := n.Write([]byte(interimAnswer)); err == nil {
			timer.Reset(n.server.progressInterval)
		}
	})
	return func() { timer.Stop() }
}
