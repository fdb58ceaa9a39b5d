// Package backend is a stand-in for a backend server: it runs as many requests
// at once as it has slots, takes a given time for each, announces itself to
// the daemon beside it, and remembers what it ran.
package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// HeaderRequest carries the caller's id of a request; the answer's body starts
// with it.
const HeaderRequest = "X-Request-Id"

// HeaderChecksum is the SHA-256 of an answer's body, in hexadecimal.
const HeaderChecksum = "X-Checksum"

// HeaderCrash makes the server crash when it runs the request.
const HeaderCrash = "X-Crash"

// RunsPath returns how often each request id was run, as JSON.
const RunsPath = "/standin/runs"

// announceInterval is how often the server announces itself.
const announceInterval = 500 * time.Millisecond

// Config describes one backend server.
type Config struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Announced is the number of slots that it announces; 0 means Slots.
	Announced int
	// Connections is the number of requests that it holds at once, those that
	// wait for a slot included; 0 means Slots. It refuses the rest as not run.
	Connections int
	// Work returns how long a request takes.
	Work func(method, path string) time.Duration
	// AnswerSize is the number of bytes of filler in an answer.
	AnswerSize int
	// Admin is the admin address of the daemon beside it.
	Admin string
}

// Backend is one stand-in.
type Backend struct {
	cfg     Config
	address string
	crash   context.CancelFunc

	slots    chan struct{}
	mu       sync.Mutex
	held     int
	running  int
	runs     map[string]int
	shedding bool
}

// New returns a backend server; Run starts it.
func New(cfg Config) *Backend {
	if cfg.Announced == 0 {
		cfg.Announced = cfg.Slots
	}
	cfg.Connections = max(cfg.Connections, cfg.Slots)
	return &Backend{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: map[string]int{}}
}

// SetShedding makes the server refuse every request as not run.
func (b *Backend) SetShedding(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedding = on
}

// Runs returns how often each request id was run.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		out[id] = n
	}
	return out
}

// Run serves requests on the listener and announces the server until ctx ends,
// which closes all connections at once.
func (b *Backend) Run(ctx context.Context, ln net.Listener) error {
	ctx, b.crash = context.WithCancel(ctx)
	defer b.crash()
	b.address = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(b.serve)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	g.Go(func() error { return b.announce(ctx) })
	if err := g.Wait(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Crash ends the server at once, as a fault would.
func (b *Backend) Crash() { b.crash() }

func (b *Backend) announce(ctx context.Context) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		b.announceOnce(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// announceOnce ignores failures: the next announcement makes up for them.
func (b *Backend) announceOnce(ctx context.Context, client *http.Client) {
	body, err := json.Marshal(map[string]any{"service": b.cfg.Service, "address": b.address, "slots": b.cfg.Announced})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, "PUT", "http://"+b.cfg.Admin+"/v1/backend", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RunsPath {
		_ = json.NewEncoder(w).Encode(b.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequest)
	if !b.hold() {
		w.Header().Set("Fescuehoist-Verdict", "not-run")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer b.release()
	if !b.enter(r.Context(), id) {
		return
	}
	defer b.leave()
	if r.Header.Get(HeaderCrash) != "" {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	if !b.work(r) {
		return
	}
	answer := fmt.Appendf(nil, "%s %d ", id, len(body))
	answer = append(answer, bytes.Repeat([]byte("."), b.cfg.AnswerSize)...)
	sum := sha256.Sum256(answer)
	w.Header().Set(HeaderChecksum, hex.EncodeToString(sum[:]))
	_, _ = w.Write(answer)
}

// hold reports whether the server takes one more request.
func (b *Backend) hold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shedding || b.held >= b.cfg.Connections {
		return false
	}
	b.held++
	return true
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
}

// enter waits for a slot and reports whether the caller stayed until then.
func (b *Backend) enter(ctx context.Context, id string) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.runs[id]++
	return true
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	<-b.slots
}

// work takes the request's time and reports whether its caller stayed.
func (b *Backend) work(r *http.Request) bool {
	t := time.NewTimer(b.cfg.Work(r.Method, r.URL.Path))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
