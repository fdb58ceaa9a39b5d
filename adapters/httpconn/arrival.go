package httpconn

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/link"
)

// BodyHandler is a Handler that is told of large bodies before they are read.
type BodyHandler interface {
	// AwaitBody returns once a body of the given length in bytes may be read. If asked
	// is true, the caller waits with the body until then; ctx is canceled when it
	// disconnects. If the body must not be sent, AwaitBody writes the answer and returns
	// false; a body that is being sent is always read. The ArrivingBody may be nil.
	AwaitBody(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, length int, asked bool) (ArrivingBody, bool)
}

// ArrivingBody is told how a body arrives. It must not block.
type ArrivingBody interface {
	// Arrived counts bytes that arrived, End ends a body that was read or will not be.
	Arrived(bytes int)
	End()
}

// MinAnnouncedBody is the size in bytes above which a BodyHandler is told of a body.
const MinAnnouncedBody = link.MinBytes

var errBodyRefused = errors.New("the handler refused the body")

// announceBody tells the handler of a large body of known length, and waits until it may
// be read.
func (n *session) announceBody(ctx context.Context, x *exchange, length int) error {
	handler, ok := n.server.handler.(BodyHandler)
	if !ok || length <= MinAnnouncedBody {
		return nil
	}
	if n.refusing {
		if !x.req.MayContinue() {
			return nil
		}
		n.server.handler.Refuse(x.req, x.resp, errCrowded)
		return errBodyRefused
	}
	x.headAt = time.Now()
	if !x.req.MayContinue() || n.r.Buffered() > 0 {
		body, _ := handler.AwaitBody(ctx, x.req, x.resp, length, false)
		n.arriving = body
		if body != nil {
			body.Arrived(n.r.Buffered())
		}
		return nil
	}
	ctx, stopWatch := n.watchDisconnect(ctx)
	stopProgress := n.sendProgress()
	body, allowed := handler.AwaitBody(ctx, x.req, x.resp, length, true)
	stopProgress()
	stopWatch()
	if !allowed {
		return errBodyRefused
	}
	n.arriving = body
	return nil
}

// endBody ends the body that was read.
func (n *session) endBody() {
	if n.arriving != nil {
		n.arriving.End()
		n.arriving = nil
	}
}

// watchDisconnect returns a context that is canceled when the caller disconnects while it
// waits to be asked for a body. No other read may take place until stop has returned.
func (n *session) watchDisconnect(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	_ = n.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := n.r.Peek(1); err != nil {
			select {
			case <-stopping:
			default:
				cancel()
			}
		}
	}()
	return ctx, func() {
		close(stopping)
		n.stopReading()
		<-ended
		n.setReadDeadline(time.Now().Add(StallTimeout))
		cancel()
	}
}

// sendProgress sends interim answers until the returned function is called, as long as no
// earlier request of the connection is unanswered.
func (n *session) sendProgress() (stop func()) {
	interval := n.server.progressInterval
	if interval == 0 {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			n.mu.Lock()
			if len(n.queue) == 0 && !n.writing {
				_ = n.writeInterim()
			}
			n.mu.Unlock()
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

type headTimeKey struct{}

func withHeadTime(ctx context.Context, at time.Time) context.Context {
	if at.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, headTimeKey{}, at)
}

// HeadTime returns when the head of a request with a large body was read; the body may
// have arrived much later. It is zero for other requests.
func HeadTime(ctx context.Context) time.Time {
	at, _ := ctx.Value(headTimeKey{}).(time.Time)
	return at
}
