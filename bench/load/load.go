// Package load drives calls at a scheduled rate, whether or not earlier ones
// have been answered, checks each answer, and counts what became of each call.
package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/standin/backend"
)

// Stream is one kind of call at one rate.
type Stream struct {
	// Service, Method and Path make up the call; Class is its expected class.
	Service, Class, Method, Path string
	// Clients are the names that calls are made in turn for.
	Clients []string
	// Rate is the number of calls a second.
	Rate float64
	// Latency is the class's target.
	Latency time.Duration
	// Idempotent says whether a call may run more than once.
	Idempotent bool
	// BodySize is the number of bytes sent with a call.
	BodySize int
	// RepeatEvery makes the caller send every so many calls a second time,
	// with the same key, once the first may have run; 0 means none.
	RepeatEvery int
}

// Report counts what became of the calls of a stream.
type Report struct {
	Stream                       Stream
	Offered, Answered, Good      int
	NotRun, MayHaveRun, InvalidResponses int
	// Attempts counts the attempts that the daemons made; Wasted counts calls
	// that ran without being answered in time.
	Attempts, Wasted int
	// Repeated counts the calls that were sent a second time.
	Repeated int
	// Latency is measured from the intended time of each call, in
	// microseconds, of the calls that were answered.
	Latency *hdrhistogram.Histogram
	// SendDelay is by how much the generator itself sent late, in microseconds.
	SendDelay *hdrhistogram.Histogram
	// Reasons counts the reasons of failed calls.
	Reasons map[string]int
}

// Result is what a caller was told of one request.
type Result struct {
	Stream  int
	Verdict call.Verdict
	// Reason says why the call failed.
	Reason string
	// Good says that the whole answer came in time; Counted that the call is
	// in the stream's report.
	Good, Counted bool
}

// Generator drives streams of calls into daemons.
type Generator struct {
	// IDPrefix starts the ids and keys of all requests; generators that call the
	// same fleet need different ones.
	IDPrefix string
	// Warmup is the time from the start whose calls are left out of reports;
	// they are still checked.
	Warmup time.Duration
	// MaxOpen bounds the calls that are open at once; those due beyond it are
	// not made. 0 means no bound.
	MaxOpen int

	open    atomic.Int64
	started time.Time
	streams []Stream
	rng     *rand.Rand

	mu      sync.Mutex
	targets []string
	lost    map[string]bool
	pools   map[string]*httpconn.Pool
	reports []*Report
	fates   map[string]Result
	calls   sync.WaitGroup
}

// maxLatency is the largest latency that a histogram holds, in microseconds.
const maxLatency = 60_000_000

// New returns a generator that calls the daemons at targets in random turns.
func New(seed uint64, targets []string, streams []Stream) *Generator {
	g := &Generator{
		streams: streams, targets: targets, rng: rand.New(rand.NewPCG(seed, seed)),
		pools: map[string]*httpconn.Pool{}, lost: map[string]bool{}, fates: map[string]Result{},
	}
	for _, s := range streams {
		g.reports = append(g.reports, &Report{
			Stream: s, Reasons: map[string]int{},
			Latency: hdrhistogram.New(1, maxLatency, 3), SendDelay: hdrhistogram.New(1, maxLatency, 3),
		})
	}
	return g
}

// SetTargets replaces the daemons that new calls go to.
func (g *Generator) SetTargets(targets []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets = targets
}

// DaemonLost is the reason of calls that were open at a daemon that was lost,
// or sent to one: nobody is left to answer them.
const DaemonLost = "daemon lost"

// MarkLost notes that the daemons at addresses are about to be lost.
func (g *Generator) MarkLost(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.lost[a] = true
	}
}

// Run offers the calls of all streams until ctx ends, then waits for the last
// answers.
func (g *Generator) Run(ctx context.Context) {
	var streams sync.WaitGroup
	g.started = time.Now()
	offsets := g.offsets()
	for i := range g.streams {
		streams.Go(func() { g.offer(ctx, i, g.started.Add(offsets[i])) })
	}
	streams.Wait()
	g.calls.Wait()
	for _, p := range g.pools {
		p.Close()
	}
}

// offsets returns a random part of the interval of each stream, so that the
// streams do not start in step.
func (g *Generator) offsets() []time.Duration {
	offsets := make([]time.Duration, len(g.streams))
	for i := range g.streams {
		offsets[i] = time.Duration(g.rng.Float64() / g.streams[i].Rate * float64(time.Second))
	}
	return offsets
}

// offer starts the calls of one stream on schedule.
func (g *Generator) offer(ctx context.Context, i int, start time.Time) {
	s := &g.streams[i]
	interval := time.Duration(float64(time.Second) / s.Rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * interval)
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if g.MaxOpen > 0 && g.open.Load() >= int64(g.MaxOpen) {
			continue
		}
		g.open.Add(1)
		g.calls.Go(func() {
			defer g.open.Add(-1)
			g.call(context.WithoutCancel(ctx), i, n, due)
		})
	}
}

func (g *Generator) call(ctx context.Context, i, n int, due time.Time) {
	s := &g.streams[i]
	id := fmt.Sprintf("%s%s-%d-%d", g.IDPrefix, s.Class, i, n)
	late := time.Since(due)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(s.Method)
	req.SetRequestURI(s.Path)
	req.SetHost(s.Service)
	req.Header.Set(callhttp.HeaderClient, s.Clients[n%len(s.Clients)])
	req.Header.Set(backend.HeaderRequest, id)
	if !s.Idempotent {
		req.Header.Set(callhttp.HeaderKey, id)
	}
	if s.BodySize > 0 {
		req.SetBodyRaw(bytes.Repeat([]byte("b"), s.BodySize))
	}
	address, pool := g.pool()
	err := pool.Do(ctx, req, resp)
	g.note(&outcome{stream: i, id: id, address: address, due: due, late: late, took: time.Since(due)}, resp, err)
	if verdict, _ := verdictOf(resp, err); s.RepeatEvery > 0 && n%s.RepeatEvery == 0 && verdict != call.NotRun {
		g.repeat(ctx, i, id, req, resp)
	}
}

// repeat sends a request again. Violations finds it if it runs again.
func (g *Generator) repeat(ctx context.Context, i int, id string, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.Reset()
	_, pool := g.pool()
	err := pool.Do(ctx, req, resp)
	verdict, _ := verdictOf(resp, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[i].Repeated++
	if verdict == call.Ran && !whole(id, resp) {
		g.reports[i].InvalidResponses++
	}
}

// pool returns a random daemon's address and the connections to it.
func (g *Generator) pool() (string, *httpconn.Pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	address := g.targets[g.rng.IntN(len(g.targets))]
	p := g.pools[address]
	if p == nil {
		p = httpconn.NewPool(address, nil)
		g.pools[address] = p
	}
	return address, p
}

// outcome is what the generator saw of one call.
type outcome struct {
	stream     int
	id         string
	address    string
	due        time.Time
	late, took time.Duration
}

func (g *Generator) note(o *outcome, resp *fasthttp.Response, err error) {
	verdict, reason := verdictOf(resp, err)
	good := verdict == call.Ran && whole(o.id, resp) && o.took <= g.streams[o.stream].Latency
	counted := o.due.Sub(g.started) >= g.Warmup
	attempts, _ := strconv.Atoi(string(resp.Header.Peek(callhttp.HeaderAttempts)))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && g.lost[o.address] {
		reason = DaemonLost
	}
	g.fates[o.id] = Result{Stream: o.stream, Verdict: verdict, Reason: reason, Good: good, Counted: counted}
	r := g.reports[o.stream]
	if verdict == call.Ran && !whole(o.id, resp) {
		r.InvalidResponses++
	}
	if !counted {
		return
	}
	r.Offered++
	r.Attempts += attempts
	_ = r.SendDelay.RecordValue(max(o.late.Microseconds(), 1))
	switch verdict {
	case call.NotRun:
		r.NotRun++
		r.Reasons[reason]++
	case call.MayHaveRun:
		r.MayHaveRun++
		r.Reasons[reason]++
	case call.Ran:
		r.Answered++
		_ = r.Latency.RecordValue(max(o.took.Microseconds(), 1))
	}
	if good {
		r.Good++
	}
}

// CountWasted counts the wasted calls, given how often each request ran.
func (g *Generator) CountWasted(runs map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, fate := range g.fates {
		if fate.Counted && !fate.Good && runs[id] > 0 {
			g.reports[fate.Stream].Wasted++
		}
	}
}

// verdictOf returns what a caller learns of its request.
func verdictOf(resp *fasthttp.Response, err error) (call.Verdict, string) {
	var f *call.Failure
	if errors.As(err, &f) {
		return f.Verdict, "caller: " + string(f.Reason)
	}
	verdict, ok := call.ParseVerdict(string(resp.Header.Peek(callhttp.HeaderVerdict)))
	if !ok {
		return call.MayHaveRun, "no verdict"
	}
	return verdict, string(resp.Header.Peek(callhttp.HeaderReason))
}

// whole reports whether the answer is the whole one to the request id.
func whole(id string, resp *fasthttp.Response) bool {
	body := resp.Body()
	sum := sha256.Sum256(body)
	return resp.StatusCode() == fasthttp.StatusOK &&
		bytes.HasPrefix(body, []byte(id+" ")) &&
		string(resp.Header.Peek(backend.HeaderChecksum)) == hex.EncodeToString(sum[:])
}

// Reports returns the counts of each stream.
func (g *Generator) Reports() []*Report { return g.reports }

// MayHaveRunReasons returns, by reason, the number of calls so far after which the caller does
// not know whether its request ran.
func (g *Generator) MayHaveRunReasons() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	reasons := map[string]int{}
	for _, fate := range g.fates {
		if fate.Verdict == call.MayHaveRun {
			reasons[fate.Reason]++
		}
	}
	return reasons
}

// Violations compares what callers were told with the number of times that
// each request ran, summed over all backend servers.
func (g *Generator) Violations(runs map[string]int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []string
	for id, fate := range g.fates {
		n := runs[id]
		s := &g.streams[fate.Stream]
		switch {
		case fate.Verdict == call.NotRun && n > 0:
			found = append(found, fmt.Sprintf("%s was reported as not run but ran %d times", id, n))
		case fate.Verdict == call.Ran && n == 0:
			found = append(found, fmt.Sprintf("%s was answered but did not run", id))
		case !s.Idempotent && n > 1:
			found = append(found, fmt.Sprintf("%s is not idempotent but ran %d times", id, n))
		}
	}
	return found
}
