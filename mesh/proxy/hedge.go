package proxy

import (
	"context"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/route"
)

// ended is an attempt that has ended; it is zero if none was made.
type ended struct {
	server member.ServerID
	answer *call.Answer
	err    error
}

func (o ended) made() bool { return o.server != "" }

// isFinal reports whether the attempt's answer is that of the call.
func (o ended) isFinal(r *call.Request) bool {
	return o.err == nil && !isRetryableError(r, o.answer)
}

// attemptHedged makes an attempt, and a copy of it at another server if it is the first
// one of the call and slow. If one of the two is answered, only that one is returned, else
// both in the order in which they ended.
func (p *Outbound) attemptHedged(ctx context.Context, server *member.Record, r *call.Request, q route.Query) (first, second ended) {
	plan := p.planCopy(ctx, r)
	if plan.Delay > 0 {
		return p.attemptWithCopy(ctx, server, r, q, plan.Delay)
	}
	start := time.Now()
	answer, err := p.attempt(ctx, server, r)
	if plan.Measure && err == nil && !answer.Failed() {
		p.Hedges.Observe(r, time.Since(start))
	}
	return ended{server: server.Server, answer: answer, err: err}, ended{}
}

// planCopy plans the copy of a call whose first attempt begins.
func (p *Outbound) planCopy(ctx context.Context, r *call.Request) hedge.Plan {
	if p.Hedges == nil || r.Attempt > 1 {
		return hedge.Plan{}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return hedge.Plan{}
	}
	return p.Hedges.Plan(r, time.Until(deadline))
}

// attemptWithCopy makes the first attempt of a call, and a copy of it in a goroutine that
// starts once the delay has passed. The goroutine has ended when attemptWithCopy returns,
// since the memory of the request's body is used again after the call.
func (p *Outbound) attemptWithCopy(ctx context.Context, server *member.Record, r *call.Request, q route.Query, delay time.Duration) (first, second ended) {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	copyCtx, cancelCopy := context.WithCancel(ctx)
	defer cancelCopy()
	c, copyEnded := &sentCopy{request: *r}, make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(copyEnded)
		if p.sendCopy(copyCtx, c, server.Server, q); c.made() && c.isFinal(&c.request) {
			cancelFirst()
		}
	})
	start := time.Now()
	first.server = server.Server
	first.answer, first.err = p.attempt(firstCtx, server, r)
	end := time.Now()
	if first.isFinal(r) {
		cancelCopy()
	}
	if !timer.Stop() {
		// Cancellation ends the copy's exchange at once, so this does not wait for a server.
		<-copyEnded
	}
	won := c.made() && c.isFinal(r) && (!first.isFinal(r) || c.end.Before(end))
	if won || (first.err == nil && !first.answer.Failed()) {
		p.Hedges.Observe(r, end.Sub(start))
	}
	if !c.made() {
		return first, ended{}
	}
	p.Hedges.End(r, c.request.Reached > 0, won)
	return c.join(r, first, end, won)
}

// sentCopy is the copy of a call.
type sentCopy struct {
	// ended is zero if no copy was sent.
	ended
	// request is a request of its own, since each attempt sets fields of it.
	request call.Request
	end     time.Time
}

// sendCopy sends the copy of a call whose first attempt went to first, unless it is not
// allowed or that attempt was answered meanwhile.
func (p *Outbound) sendCopy(ctx context.Context, c *sentCopy, first member.ServerID, q route.Query) {
	s := p.Routes.Table().Service(c.request.Service)
	if s == nil || ctx.Err() != nil {
		return
	}
	q.Elapsed = time.Since(c.request.Arrived)
	server := p.Hedges.Choose(&c.request, s, q, first)
	if server == nil {
		return
	}
	c.request.Attempt++
	c.server = server.Server
	c.answer, c.err = p.attempt(ctx, server, &c.request)
	c.end = time.Now()
}

// join adds the counts of a copy to the request of its call, whose first attempt ended at
// a time, and returns the two as attemptHedged does. The request then names the server of
// the attempt that gave the answer, or that ended last.
func (c *sentCopy) join(r *call.Request, first ended, end time.Time, won bool) (ended, ended) {
	r.Attempt++
	r.Reached += c.request.Reached
	r.Refused += c.request.Refused
	r.FromCopy = won
	if !won && first.isFinal(r) {
		return first, ended{}
	}
	if !won && !c.end.After(end) {
		return c.ended, first
	}
	r.Server, r.Instance, r.Elapsed = c.request.Server, c.request.Instance, c.request.Elapsed
	if won {
		return c.ended, ended{}
	}
	return first, c.ended
}
