// Package platform is a stand-in for the platform's object API: objects with
// versions, conditional updates and watches, with faults to switch on.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	maxValueSize   = 1 << 20
	maxWatchTime   = time.Minute
	shutdownPeriod = time.Second
)

// Faults are what goes wrong while they are set.
type Faults struct {
	// Outage refuses every call and ends waiting watches.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers cuts the connection of a write after it took effect.
	LoseAnswers bool
	// LateWrites cuts the connection of a write at once and lets the write
	// arrive this much later.
	LateWrites time.Duration
	// Writes names the writes that LoseAnswers and LateWrites hit by the start
	// of their keys; empty means all of them.
	Writes string
}

// Counts are the calls seen so far.
type Counts struct {
	Gets, Puts, Lists, Watches int
	// Refused counts the calls of all kinds that an outage refused.
	Refused int
	// Written and Read are the bytes of the values that were stored and of
	// those that were returned.
	Written, Read int
	// Peak is the largest number of calls within one second of the clock.
	Peak int
}

// Total returns the number of calls, a waiting watch counted as one.
func (c Counts) Total() int { return c.Gets + c.Puts + c.Lists + c.Watches + c.Refused }

type object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type list struct {
	Objects []object `json:"objects"`
}

// Platform is one stand-in.
type Platform struct {
	mu      sync.Mutex
	objects map[string]object
	faults  Faults
	counts  Counts
	// second is the second of the clock whose calls are being counted.
	second  int64
	within  int
	changed chan struct{}
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Counts returns the calls seen so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Store writes an object without any condition, past the API.
func (p *Platform) Store(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = object{Key: key, Version: p.objects[key].Version + 1, Value: value}
	p.wake()
}

// Load returns an object's value past the API.
func (p *Platform) Load(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	return o.Value, ok
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Run serves the API on the listener until ctx ends.
func (p *Platform) Run(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: p.handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error {
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownPeriod)
		defer cancel()
		if server.Shutdown(grace) != nil {
			return server.Close()
		}
		return nil
	})
	err := g.Wait()
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.faulty(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.faulty(p.put))
	mux.HandleFunc("GET /v1/objects", p.faulty(p.list))
	mux.HandleFunc("GET /v1/watch", p.faulty(p.watch))
	return mux
}

// faulty counts a call and applies outages and delays before it.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.begin()
		if f.Delay > 0 {
			pause(r.Context(), f.Delay)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// begin counts a call and returns the faults that it meets.
func (p *Platform) begin() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.within = now, 0
	}
	p.within++
	p.counts.Peak = max(p.counts.Peak, p.within)
	if p.faults.Outage {
		p.counts.Refused++
	}
	return p.faults
}

// ResetCounts starts counting again.
func (p *Platform) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts, p.within = Counts{}, 0
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Gets++
	o, ok := p.objects[r.PathValue("key")]
	p.counts.Read += len(o.Value)
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil || !json.Valid(value) {
		http.Error(w, "If-Match must be a version and the value JSON", http.StatusBadRequest)
		return
	}
	lose, late := p.writeFaults(key)
	if late > 0 {
		time.AfterFunc(late, func() { p.commit(key, value, expect) })
		panic(http.ErrAbortHandler)
	}
	o, accepted := p.commit(key, value, expect)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !accepted:
		http.Error(w, "the version differs", http.StatusPreconditionFailed)
	default:
		answer(w, http.StatusOK, o)
	}
}

// writeFaults returns the faults that hit a write to a key.
func (p *Platform) writeFaults(key string) (lose bool, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !strings.HasPrefix(key, p.faults.Writes) {
		return false, 0
	}
	return p.faults.LoseAnswers, p.faults.LateWrites
}

func (p *Platform) commit(key string, value []byte, expect uint64) (object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Puts++
	have := p.objects[key]
	if have.Version != expect {
		return object{}, false
	}
	o := object{Key: key, Version: expect + 1, Value: value}
	p.objects[key] = o
	p.counts.Written += len(value)
	p.wake()
	return o, true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := list{Objects: []object{}}
	p.mu.Lock()
	p.counts.Lists++
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	p.mu.Unlock()
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Key < out.Objects[j].Key })
	answer(w, http.StatusOK, out)
}

// watch answers once the object's version is above after, or 304 in the end.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, err2 := strconv.ParseUint(r.URL.Query().Get("timeout_ms"), 10, 31)
	if err != nil || err2 != nil {
		http.Error(w, "after and timeout_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(timeout)*time.Millisecond, maxWatchTime))
	defer cancel()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		o, changed, outage := p.objects[key], p.changed, p.faults.Outage
		if o.Version > after && !outage {
			p.counts.Read += len(o.Value)
		}
		p.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if o.Version > after {
			answer(w, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
