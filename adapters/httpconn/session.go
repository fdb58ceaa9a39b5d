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

// session is one connection of a caller. Its task reads requests and starts a
// task for each; answers go out in the order of the requests.
type session struct {
	net.Conn
	server *Server
	r      *bufio.Reader
	w      *bufio.Writer
	// slots bounds the requests that run at once.
	slots chan struct{}

	mu sync.Mutex
	// queue holds the exchanges that are not answered yet, in order.
	queue []*exchange
	// reading says that a part of a request has been read, closing that no
	// further request is taken.
	reading, closing bool
}

// exchange is one request and its answer.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	// ready says that the answer is complete, last that it ends the connection.
	ready, last bool
}

func newExchange() *exchange {
	x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse()}
	x.resp.Header.SetNoDefaultContentType(true)
	return x
}

func (x *exchange) release() {
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
}

func newSession(s *Server, c net.Conn) *session {
	return &session{
		Conn: c, server: s, slots: make(chan struct{}, maxPipelined),
		r: bufio.NewReaderSize(c, smallBuffer), w: bufio.NewWriterSize(c, smallBuffer),
	}
}

// run is the task of the connection. When the caller leaves, the requests that
// still run are cancelled.
func (n *session) run(ctx context.Context) {
	defer n.server.forget(n)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var requests errgroup.Group
	ended := n.readAll(ctx, &requests)
	if ended == callerLeft {
		cancel()
	}
	_ = requests.Wait()
	n.linger()
}

// ending says why a connection takes no further request.
type ending int

const (
	callerLeft ending = iota
	lastRequest
)

// readAll reads requests until the caller leaves or one is the last.
func (n *session) readAll(ctx context.Context, requests *errgroup.Group) ending {
	for {
		n.slots <- struct{}{}
		if !n.await() {
			return callerLeft
		}
		x := newExchange()
		_ = n.SetReadDeadline(time.Now().Add(ReadTimeout))
		if err := n.read(x.req); err != nil {
			n.refuse(x, err)
			return lastRequest
		}
		x.last = x.req.Header.ConnectionClose()
		last := x.last
		if !n.begin(x) {
			x.release()
			return lastRequest
		}
		requests.Go(func() error {
			n.handle(ctx, x)
			<-n.slots
			return nil
		})
		if last {
			return n.watchLast(ctx)
		}
	}
}

// read reads one whole request. The buffer grows for a header that needs it.
func (n *session) read(req *fasthttp.Request) error {
	err := readRequest(n.r, n.w, req)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || n.r.Size() >= MaxHeaderSize {
		return err
	}
	n.r = bufio.NewReaderSize(n.r, MaxHeaderSize)
	req.Reset()
	return readRequest(n.r, n.w, req)
}

// watchLast waits, while the last request runs, for the caller to leave.
func (n *session) watchLast(ctx context.Context) ending {
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
	return callerLeft
}

// await waits for the first byte of the next request.
func (n *session) await() bool {
	if !n.rest() {
		return false
	}
	_, err := n.r.Peek(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = err == nil
	return err == nil && !n.closing
}

// rest arms the idle timeout unless requests run.
func (n *session) rest() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = false
	if n.closing {
		return false
	}
	n.armIdle()
	return true
}

func (n *session) armIdle() {
	if len(n.queue) > 0 {
		_ = n.SetReadDeadline(time.Time{})
		return
	}
	_ = n.SetReadDeadline(time.Now().Add(IdleTimeout))
}

// begin queues an exchange, unless an answer has ended the connection: its
// caller then takes the request for one that was not read.
func (n *session) begin(x *exchange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.closing = x.last
	n.queue = append(n.queue, x)
	return true
}

// refuse answers a request that cannot be read, after the ones before it.
func (n *session) refuse(x *exchange, err error) {
	x.last = true
	if !n.begin(x) {
		x.release()
		return
	}
	x.resp.SetStatusCode(statusOf(err))
	x.resp.SetBodyString("the request cannot be read\n")
	n.server.handler.RejectMalformed(x.resp)
	n.deliver(x)
}

func (n *session) handle(ctx context.Context, x *exchange) {
	ended := n.report(x)
	n.server.handler.Handle(ctx, x.req, x.resp)
	ended()
	x.resp.SkipBody = x.req.Header.IsHead()
	n.deliver(x)
}

// deliver writes every answer that is complete and whose turn it is.
func (n *session) deliver(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x.ready = true
	for len(n.queue) > 0 && n.queue[0].ready {
		head := n.queue[0]
		n.queue = n.queue[1:]
		n.write(head)
		head.release()
	}
	if len(n.queue) == 0 && !n.closing && !n.reading {
		n.armIdle()
	}
}

// write writes one answer; a connection that ends with it is closed.
func (n *session) write(x *exchange) {
	if n.server.draining.Load() && len(n.queue) == 0 {
		n.closing = true
	}
	last := x.last || x.resp.ConnectionClose() || (n.closing && len(n.queue) == 0)
	if last {
		x.resp.SetConnectionClose()
	}
	_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if x.resp.Write(n.w) != nil || n.w.Flush() != nil || last {
		n.closing = true
		n.end()
	}
}

// end makes the task of the connection stop reading.
func (n *session) end() { _ = n.SetReadDeadline(time.Unix(1, 0)) }

// lingerLimit bounds the wait for a caller whose last requests were not taken.
const lingerLimit = 200 * time.Millisecond

// linger closes the sending side first if requests were not taken: closing with
// bytes unread would reset the connection, and the last answer with it.
func (n *session) linger() {
	c, ok := n.Conn.(interface{ CloseWrite() error })
	if !ok || n.r.Buffered() == 0 || c.CloseWrite() != nil {
		return
	}
	_ = n.SetReadDeadline(time.Now().Add(lingerLimit))
	_, _ = io.Copy(io.Discard, n.Conn)
}

// closeIfIdle closes the connection unless a request is under way.
func (n *session) closeIfIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 && !n.reading {
		n.closing = true
		_ = n.Close()
	}
}

// interim is an answer that says only that the final one is on its way.
const interim = "HTTP/1.1 102 Processing\r\n\r\n"

// report sends interim answers until the returned function is called.
func (n *session) report(x *exchange) func() {
	if n.server.progress == 0 {
		return func() {}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(n.server.progress, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.queue) == 0 || n.queue[0] != x || x.ready {
			return
		}
		_ = n.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if _, err := n.Write([]byte(interim)); err == nil {
			timer.Reset(n.server.progress)
		}
	})
	return func() { timer.Stop() }
}
