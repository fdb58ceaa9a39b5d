// Package platform is a stand-in for the platform's object API. It provides
// versioned objects with conditional updates and watches, and injects faults.
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

// Faults are the faults that the platform injects while they are set.
type Faults struct {
	// Outage makes every call fail with status 503, pending watches included.
	Outage bool
	// Delay is added to the duration of every call.
	Delay time.Duration
	// DropResponses aborts the connection of a write after the write took effect.
	DropResponses bool
	// WriteDelay, if above 0, aborts the connection of a write at once and
	// carries the write out after this time.
	WriteDelay time.Duration
	// Writes is the key prefix of the writes that DropResponses and WriteDelay
	// affect; empty means all writes.
	Writes string
}

// Counts are the numbers of calls since the last reset.
type Counts struct {
	Gets, Puts, Lists, Watches int
	// Refused counts the calls of all kinds that began during an outage.
	Refused int
	// Written and Read are the sizes of all stored and all returned values in
	// bytes.
	Written, Read int
	// Peak is the largest number of calls within one second of wall-clock time.
	Peak int
}

// Total returns the number of calls. A watch counts as one call, however long it
// waits.
func (c Counts) Total() int { return c.Gets + c.Puts + c.Lists + c.Watches + c.Refused }

type object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

type list struct {
	Objects []object `json:"objects"`
}

// Platform is one stand-in for the platform.
type Platform struct {
	mu      sync.Mutex
	objects map[string]object
	faults  Faults
	counts  Counts
	// second is the Unix time to which callsInSecond refers.
	second        int64
	callsInSecond int
	changed       chan struct{}
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Counts returns the numbers of calls since the last reset.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Store writes an object unconditionally, bypassing the API and its faults.
func (p *Platform) Store(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = object{Key: key, Version: p.objects[key].Version + 1, Value: value}
	p.notifyWatchers()
}

// Load returns the value of an object and whether it exists, bypassing the API
// and its faults.
func (p *Platform) Load(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	return o.Value, ok
}

// notifyWatchers wakes all pending watches. The caller holds p.mu.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Run serves the API on ln until ctx ends.
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
	mux.HandleFunc("GET /v1/objects/{key...}", p.withFaults(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.withFaults(p.put))
	mux.HandleFunc("GET /v1/objects", p.withFaults(p.list))
	mux.HandleFunc("GET /v1/watch", p.withFaults(p.watch))
	return mux
}

// withFaults wraps a handler: it counts the call and injects delays and outages.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.countCall()
		if f.Delay > 0 {
			sleep(r.Context(), f.Delay)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// countCall counts a call and returns the current faults.
func (p *Platform) countCall() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.callsInSecond = now, 0
	}
	p.callsInSecond++
	p.counts.Peak = max(p.counts.Peak, p.callsInSecond)
	if p.faults.Outage {
		p.counts.Refused++
	}
	return p.faults
}

// ResetCounts sets all counts to 0.
func (p *Platform) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts, p.callsInSecond = Counts{}, 0
}

func sleep(ctx context.Context, d time.Duration) {
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
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err != nil {
		http.Error(w, "value is larger than 1 MiB or could not be read", http.StatusRequestEntityTooLarge)
		return
	}
	expectedVersion, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil || !json.Valid(value) {
		http.Error(w, "If-Match must be an object version and the value must be JSON", http.StatusBadRequest)
		return
	}
	dropResponse, delay := p.writeFaults(key)
	if delay > 0 {
		time.AfterFunc(delay, func() { p.update(key, value, expectedVersion) })
		panic(http.ErrAbortHandler)
	}
	o, accepted := p.update(key, value, expectedVersion)
	switch {
	case dropResponse:
		panic(http.ErrAbortHandler)
	case !accepted:
		http.Error(w, "object version differs from If-Match", http.StatusPreconditionFailed)
	default:
		writeJSON(w, http.StatusOK, o)
	}
}

// writeFaults returns whether the response to a write to key is dropped and by how
// much the write is delayed.
func (p *Platform) writeFaults(key string) (dropResponse bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !strings.HasPrefix(key, p.faults.Writes) {
		return false, 0
	}
	return p.faults.DropResponses, p.faults.WriteDelay
}

// update writes an object if its current version is expectedVersion. It returns
// the new object and whether the write took effect.
func (p *Platform) update(key string, value []byte, expectedVersion uint64) (object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Puts++
	current := p.objects[key]
	if current.Version != expectedVersion {
		return object{}, false
	}
	o := object{Key: key, Version: expectedVersion + 1, Value: value}
	p.objects[key] = o
	p.counts.Written += len(value)
	p.notifyWatchers()
	return o, true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	result := list{Objects: []object{}}
	p.mu.Lock()
	p.counts.Lists++
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) {
			result.Objects = append(result.Objects, o)
		}
	}
	p.mu.Unlock()
	sort.Slice(result.Objects, func(i, j int) bool { return result.Objects[i].Key < result.Objects[j].Key })
	writeJSON(w, http.StatusOK, result)
}

// watch responds once the object's version is above the parameter after, or with
// status 304 when timeout_ms has passed.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, err2 := strconv.ParseUint(r.URL.Query().Get("timeout_ms"), 10, 31)
	if err != nil || err2 != nil {
		http.Error(w, "parameters after and timeout_ms must be unsigned integers", http.StatusBadRequest)
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
			writeJSON(w, http.StatusOK, o)
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
