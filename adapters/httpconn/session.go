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
	// r is the reader of requests: small, or a larger one above it while a long head is
	// read.
	r, small *bufio.Reader
	w        *bufio.Writer
	// slots is a semaphore that limits the concurrently running requests.
	slots chan struct{}
	// refusing is true if no request of the connection is handled.
	refusing bool
	// cancel ends the running requests.
	cancel context.CancelFunc

	// arriving is the body that is being read, or nil.
	arriving ArrivingBody
	// unread is true if the rest of a request was left unread.
	unread bool
	// progress is what the client has sent and read so far.
	progress progress

	mu sync.Mutex
	// drained is signaled when the last answer has been written.
	drained sync.Cond
	// idleSince is when the last request ended, or when the connection was opened.
	idleSince time.Time
	// queue holds the unanswered exchanges in the order of their requests.
	queue []*exchange
	// reading is true while a request is partly read, writing while an answer is
	// written, closing once no further request is accepted.
	reading, writing, closing bool
}

// exchange is a request and its answer.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	body bodyAccount
	// headAt is when the head was read, if the body was announced to the handler.
	headAt time.Time
	// answers is the room of the answers that were read for the request.
	answers answerHold
	// complete is true once the answer is complete, last if it ends the
	// connection, lost if it cannot be written.
	complete, last, lost bool
}

func newExchange(s *Server) *exchange {
	x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), body: bodyAccount{max: s.maxBody, budget: s.bodies, memory: memoryAccount{memory: s.memory}}}
	x.resp.Header.SetNoDefaultContentType(true)
	return x
}

func (x *exchange) release() {
	// A request with many fields is left to the garbage collector: in the pool it would
	// go on holding its memory.
	if x.body.memory.fields <= freeFields {
		fasthttp.ReleaseRequest(x.req)
	}
	fasthttp.ReleaseResponse(x.resp)
	x.body.release()
	x.answers.release()
}

func newSession(s *Server, c net.Conn) *session {
	n := &session{
		Conn: c, server: s, idleSince: time.Now(), slots: make(chan struct{}, maxPipelined),
	}
	n.drained.L = &n.mu
	n.small = bufio.NewReaderSize(n, requestBufferSize)
	n.r = n.small
	n.w = bufio.NewWriterSize(n, requestBufferSize)
	return n
}

// run serves the connection until it ends. When the caller disconnects, the
// running requests are canceled.
func (n *session) run(ctx context.Context) {
	defer n.server.remove(n)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.cancel = cancel
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
		x := newExchange(n.server)
		n.awaitPipelineRoom(x)
		n.startReading()
		err := n.read(ctx, x)
		n.endReading()
		if err != nil {
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

// awaitPipelineRoom takes the room for a request that is read while earlier ones are not
// answered yet. If there is none, it waits until they are: a client that does not read its
// answers is read no further.
func (n *session) awaitPipelineRoom(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 && !n.writing {
		return
	}
	x.body.memory.pipelined = true
	if x.body.memory.take(pipelinedBytes) == nil {
		return
	}
	for (len(n.queue) > 0 || n.writing) && !n.closing {
		n.drained.Wait()
	}
	x.body.memory.pipelined = false
}

// read reads one complete request. If the header exceeds the buffer, the buffer
// grows to the server's maximum for this request.
func (n *session) read(ctx context.Context, x *exchange) error {
	defer n.endBody()
	awaitRoom := func(length int) error {
		if err := x.body.await(int64(length)); err != nil {
			return err
		}
		if err := n.announceBody(ctx, x, length); err != nil {
			return err
		}
		n.startBody()
		return nil
	}
	err := readRequest(n.r, n.w, x.req, &x.body, awaitRoom)
	var bufferErr *fasthttp.ErrSmallBuffer
	if !errors.As(err, &bufferErr) || n.r.Size() >= n.server.maxHead {
		return err
	}
	if err := x.body.memory.take(int64(n.server.maxHead)); err != nil {
		return err
	}
	n.r = bufio.NewReaderSize(n.small, n.server.maxHead)
	x.req.Reset()
	return readRequest(n.r, n.w, x.req, &x.body, awaitRoom)
}

// awaitDisconnect waits, while the last request runs, until the caller disconnects
// or the last answer has been written.
func (n *session) awaitDisconnect(ctx context.Context) endReason {
	if !n.armUntilDisconnect() {
		return lastRequest
	}
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

// armUntilDisconnect removes the read deadline. It returns false if the last answer has
// been written, whose deadline ends the reading.
func (n *session) armUntilDisconnect() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 && !n.writing {
		return false
	}
	_ = n.SetReadDeadline(time.Time{})
	return true
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
	// A connection that was answered, but not yet idle, when the idle ones were closed must
	// not wait for another request.
	if n.server.stopping.Load() && len(n.queue) == 0 && !n.writing {
		n.closing = true
	}
	if n.closing {
		return false
	}
	n.setIdleDeadline()
	return true
}

func (n *session) setIdleDeadline() {
	if len(n.queue) > 0 || n.writing {
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
		n.server.countMemory(func(c *Crowding) { c.RefusedMemory++ })
		n.server.reportShort()
		n.server.handler.Refuse(x.req, x.resp, ErrNoBodyRoom)
		// The answer may wait for a client that does not read; the fields must not.
		if x.body.memory.fields > freeFields {
			x.req, x.body.memory.fields = fasthttp.AcquireRequest(), 0
		}
	default:
		x.resp.SetStatusCode(malformedStatus(err))
		x.resp.SetBodyString("malformed request\n")
		n.server.handler.RejectMalformed(x.resp)
	}
	x.body.release()
	n.deliver(x)
}

func (n *session) handle(ctx context.Context, x *exchange) {
	if n.refusing {
		n.server.handler.Refuse(x.req, x.resp, errCrowded)
	} else {
		stopProgress := n.startProgress(x)
		n.server.handler.Handle(withAnswerHold(withHeadTime(ctx, x.headAt), &x.answers), x.req, x.resp)
		stopProgress()
	}
	x.resp.SkipBody = x.req.Header.IsHead()
	if err := x.body.memory.takeAnswer(len(x.resp.Body())); err != nil {
		// The request has run, so there is no status that could tell it.
		x.lost = true
		x.resp.ResetBody()
		n.server.countMemory(func(c *Crowding) { c.LostAnswers++ })
		n.server.reportShort()
	}
	n.deliver(x)
}

// deliver marks an answer as complete. Unless another task writes, it writes the complete
// answers at the head of the queue.
func (n *session) deliver(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x.complete = true
	if !n.writing {
		n.writeComplete()
	}
}

// writeComplete writes the complete answers at the head of the queue. It unlocks n.mu
// while it writes, so that a client that does not read holds up nobody else.
func (n *session) writeComplete() {
	n.writing = true
	for len(n.queue) > 0 && n.queue[0].complete {
		head := n.queue[0]
		n.queue = n.queue[1:]
		if len(n.queue) == 0 && (n.server.draining.Load() || n.server.room.crowded.Load()) {
			n.closing = true
		}
		last := head.last || head.lost || head.resp.ConnectionClose() || (n.closing && len(n.queue) == 0)
		n.mu.Unlock()
		err := n.write(head, last)
		head.release()
		n.mu.Lock()
		if err != nil {
			n.cancel()
		}
		if err != nil || last {
			n.closing = true
			n.stopReading()
			n.drained.Broadcast()
		}
	}
	n.writing = false
	if len(n.queue) > 0 {
		return
	}
	n.drained.Broadcast()
	if n.closing || n.reading {
		return
	}
	if n.server.stopping.Load() {
		// The request counted as being read when the idle connections were closed.
		n.closing = true
		n.stopReading()
		return
	}
	n.idleSince = time.Now()
	n.setIdleDeadline()
}

// write writes one answer.
func (n *session) write(x *exchange, last bool) error {
	if x.lost {
		_ = n.Close()
		return errNoAnswerRoom
	}
	if last {
		x.resp.SetConnectionClose()
	}
	if err := x.resp.Write(n.w); err != nil {
		return err
	}
	return n.w.Flush()
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
	return n.idleSince, len(n.queue) == 0 && !n.reading && !n.writing && !n.closing
}

// end closes the connection at once, or after the answer that is being written, unless
// another request is in progress.
func (n *session) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) > 0 || n.reading {
		return
	}
	n.closing = true
	if n.writing {
		n.stopReading()
		return
	}
	_ = n.Close()
}

// closeIfIdle closes the connection unless a request is in progress, and reports
// whether it did.
func (n *session) closeIfIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) > 0 || n.reading || n.writing {
		return false
	}
	n.closing = true
	_ = n.Close()
	return true
}
