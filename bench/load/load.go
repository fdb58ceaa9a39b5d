// Package load generates calls open-loop: each call is sent at its scheduled time,
// whether or not earlier ones have been answered. It validates each response and
// counts the results.
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

// Stream is one kind of call that is sent at a constant rate.
type Stream struct {
	// Service, Method and Path of the call; Class is the class that they belong to.
	Service, Class, Method, Path string
	// Clients are the client names, used round-robin.
	Clients []string
	// Rate is the number of calls per second.
	Rate float64
	// Latency is the target latency of the class.
	Latency time.Duration
	// Idempotent says whether a call may run more than once.
	Idempotent bool
	// BodySize is the size of the request body in bytes.
	BodySize int
	// RepeatEvery makes every RepeatEvery-th call be sent a second time with the
	// same key, unless the first one did not run; 0 means none.
	RepeatEvery int
}

// Report counts the results of the calls of a stream.
type Report struct {
	Stream Stream
	// Offered counts all calls, Answered those with the verdict ran, Good those
	// that got a valid response within the target latency.
	Offered, Answered, Good int
	// NotRun and MayHaveRun count the calls with these verdicts. InvalidResponses
	// counts responses with the verdict ran that were not the complete response to
	// their request.
	NotRun, MayHaveRun, InvalidResponses int
	// Attempts counts the attempts that the daemons made; Wasted counts calls
	// that ran but were not good.
	Attempts, Wasted int
	// Repeated counts the calls that were sent a second time.
	Repeated int
	// Latency is the time from the scheduled start of each call to its response, in
	// microseconds, for the calls that were answered.
	Latency *hdrhistogram.Histogram
	// SendDelay is how long after its scheduled start the generator sent each call,
	// in microseconds.
	SendDelay *hdrhistogram.Histogram
	// Reasons counts the failed calls by reason.
	Reasons map[string]int
}

// Result is the result of one call as its caller saw it.
type Result struct {
	Stream  int
	Verdict call.Verdict
	// Reason is the reason of a failed call.
	Reason string
	// Good is set if a valid response came within the target latency, Counted if
	// the call is included in the stream's report.
	Good, Counted bool
}

// Generator sends the calls of its streams to daemons.
type Generator struct {
	// IDPrefix is the prefix of the IDs and keys of all requests. Generators that
	// call the same fleet need different prefixes.
	IDPrefix string
	// Warmup is the time from the start during which calls are excluded from the
	// reports. They are still validated.
	Warmup time.Duration
	// MaxOpen bounds the number of open calls; calls that are due while it is
	// reached are skipped. 0 means no bound.
	MaxOpen int

	open    atomic.Int64
	started time.Time
	streams []Stream
	rng     *rand.Rand

	mu          sync.Mutex
	targets     []string
	lostDaemons map[string]bool
	pools       map[string]*httpconn.Pool
	reports     []*Report
	results     map[string]Result
	calls       sync.WaitGroup
}

// maxLatency is the largest value of the histograms, in microseconds.
const maxLatency = 60_000_000

// New returns a generator that sends each call to a random one of the daemons at
// targets. The seed determines the random choices.
func New(seed uint64, targets []string, streams []Stream) *Generator {
	g := &Generator{
		streams: streams, targets: targets, rng: rand.New(rand.NewPCG(seed, seed)),
		pools: map[string]*httpconn.Pool{}, lostDaemons: map[string]bool{}, results: map[string]Result{},
	}
	for _, s := range streams {
		g.reports = append(g.reports, &Report{
			Stream: s, Reasons: map[string]int{},
			Latency: hdrhistogram.New(1, maxLatency, 3), SendDelay: hdrhistogram.New(1, maxLatency, 3),
		})
	}
	return g
}

// SetTargets replaces the addresses of the daemons that new calls are sent to.
func (g *Generator) SetTargets(targets []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets = targets
}

// DaemonLost is the reason of calls that failed because their daemon was killed
// while they were open or before they were sent. No daemon remains that could
// respond to them.
const DaemonLost = "daemon lost"

// MarkLost records that the daemons at addresses are about to be killed. Calls to
// them that fail get the reason DaemonLost.
func (g *Generator) MarkLost(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.lostDaemons[a] = true
	}
}

// Run sends the calls of all streams until ctx ends, then waits for the open calls
// to complete.
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

// offsets returns a random fraction of the interval of each stream, so that the
// streams are not synchronized.
func (g *Generator) offsets() []time.Duration {
	offsets := make([]time.Duration, len(g.streams))
	for i := range g.streams {
		offsets[i] = time.Duration(g.rng.Float64() / g.streams[i].Rate * float64(time.Second))
	}
	return offsets
}

// offer starts the calls of stream i on schedule until ctx ends.
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
			g.send(context.WithoutCancel(ctx), i, n, due)
		})
	}
}

// send sends the n-th call of stream i, which was due at the given time, records
// its result, and repeats it if the stream asks for that.
func (g *Generator) send(ctx context.Context, i, n int, due time.Time) {
	s := &g.streams[i]
	id := fmt.Sprintf("%s%s-%d-%d", g.IDPrefix, s.Class, i, n)
	sendDelay := time.Since(due)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(s.Method)
	req.SetRequestURI(s.Path)
	req.SetHost(s.Service)
	req.Header.Set(callhttp.HeaderClient, s.Clients[n%len(s.Clients)])
	req.Header.Set(backend.HeaderRequestID, id)
	if !s.Idempotent {
		req.Header.Set(callhttp.HeaderKey, id)
	}
	if s.BodySize > 0 {
		req.SetBodyRaw(bytes.Repeat([]byte("b"), s.BodySize))
	}
	address, pool := g.pickDaemon()
	err := pool.Do(ctx, req, resp)
	g.record(&observation{stream: i, id: id, address: address, due: due, sendDelay: sendDelay, elapsed: time.Since(due)}, resp, err)
	if verdict, _ := verdictOf(resp, err); s.RepeatEvery > 0 && n%s.RepeatEvery == 0 && verdict != call.NotRun {
		g.repeat(ctx, i, id, req, resp)
	}
}

// repeat sends a request a second time with the same ID and key. Violations
// reports it if it runs twice without being idempotent.
func (g *Generator) repeat(ctx context.Context, i int, id string, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.Reset()
	_, pool := g.pickDaemon()
	err := pool.Do(ctx, req, resp)
	verdict, _ := verdictOf(resp, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[i].Repeated++
	if verdict == call.Ran && !isValidResponse(id, resp) {
		g.reports[i].InvalidResponses++
	}
}

// pickDaemon returns the address of a random daemon and its connection pool.
func (g *Generator) pickDaemon() (string, *httpconn.Pool) {
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

// observation is what the generator measured for one call: when it was due, how
// late it was sent, and the time from due to its response.
type observation struct {
	stream             int
	id                 string
	address            string
	due                time.Time
	sendDelay, elapsed time.Duration
}

// record adds the result of one call to the report of its stream.
func (g *Generator) record(o *observation, resp *fasthttp.Response, err error) {
	verdict, reason := verdictOf(resp, err)
	good := verdict == call.Ran && isValidResponse(o.id, resp) && o.elapsed <= g.streams[o.stream].Latency
	counted := o.due.Sub(g.started) >= g.Warmup
	attempts, _ := strconv.Atoi(string(resp.Header.Peek(callhttp.HeaderAttempts)))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && g.lostDaemons[o.address] {
		reason = DaemonLost
	}
	g.results[o.id] = Result{Stream: o.stream, Verdict: verdict, Reason: reason, Good: good, Counted: counted}
	r := g.reports[o.stream]
	if verdict == call.Ran && !isValidResponse(o.id, resp) {
		r.InvalidResponses++
	}
	if !counted {
		return
	}
	r.Offered++
	r.Attempts += attempts
	_ = r.SendDelay.RecordValue(max(o.sendDelay.Microseconds(), 1))
	switch verdict {
	case call.NotRun:
		r.NotRun++
		r.Reasons[reason]++
	case call.MayHaveRun:
		r.MayHaveRun++
		r.Reasons[reason]++
	case call.Ran:
		r.Answered++
		_ = r.Latency.RecordValue(max(o.elapsed.Microseconds(), 1))
	}
	if good {
		r.Good++
	}
}

// CountWasted counts the wasted calls, given the number of executions of each
// request ID.
func (g *Generator) CountWasted(executions map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, result := range g.results {
		if result.Counted && !result.Good && executions[id] > 0 {
			g.reports[result.Stream].Wasted++
		}
	}
}

// verdictOf returns the verdict and the reason that a caller gets for its request.
// Reasons of failures on the caller's side begin with "caller: ".
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

// isValidResponse reports whether resp is the complete response to the request id:
// status 200, a body that begins with the id, and a matching checksum.
func isValidResponse(id string, resp *fasthttp.Response) bool {
	body := resp.Body()
	sum := sha256.Sum256(body)
	return resp.StatusCode() == fasthttp.StatusOK &&
		bytes.HasPrefix(body, []byte(id+" ")) &&
		string(resp.Header.Peek(backend.HeaderChecksum)) == hex.EncodeToString(sum[:])
}

// Reports returns the counts of each stream.
func (g *Generator) Reports() []*Report { return g.reports }

// MayHaveRunReasons returns, by reason, the number of calls so far whose verdict is
// may-have-run: the caller does not know whether its request ran.
func (g *Generator) MayHaveRunReasons() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	reasons := map[string]int{}
	for _, result := range g.results {
		if result.Verdict == call.MayHaveRun {
			reasons[result.Reason]++
		}
	}
	return reasons
}

// Violations compares the verdicts that callers got with the number of executions
// of each request ID, summed over all backend servers, and describes each
// contradiction.
func (g *Generator) Violations(executions map[string]int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var violations []string
	for id, result := range g.results {
		n := executions[id]
		s := &g.streams[result.Stream]
		switch {
		case result.Verdict == call.NotRun && n > 0:
			violations = append(violations, fmt.Sprintf("%s was reported as not run but ran %d times", id, n))
		case result.Verdict == call.Ran && n == 0:
			violations = append(violations, fmt.Sprintf("%s was reported as run but ran 0 times", id))
		case !s.Idempotent && n > 1:
			violations = append(violations, fmt.Sprintf("%s is not idempotent but ran %d times", id, n))
		}
	}
	return violations
}
