// Package backend is a stand-in for a backend server. It executes as many
// requests at once as it has slots, takes a given time for each, announces itself
// to its daemon and counts the executions of each request.
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

// HeaderRequestID carries the client's ID of a request. The body of the response
// starts with it.
const HeaderRequestID = "X-Request-Id"

// HeaderChecksum carries the SHA-256 of the response's body in hexadecimal.
const HeaderChecksum = "X-Checksum"

// HeaderCrash makes the server crash while it executes the request.
const HeaderCrash = "X-Crash"

// ExecutionsPath is the path at which the server returns the number of executions of
// each request ID as a JSON object.
const ExecutionsPath = "/standin/runs"

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Config configures a backend server.
type Config struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that it executes at once.
	Slots int
	// Announced is the number of slots that it announces to the daemon; 0 means
	// Slots.
	Announced int
	// Connections is the largest number of requests that it admits at once,
	// including those that wait for a slot; at least Slots. It refuses other
	// requests with the verdict not-run.
	Connections int
	// Work returns how long the execution of a request takes.
	Work func(method, path string) time.Duration
	// ResponsePadding is the size of the padding in a response in bytes.
	ResponsePadding int
	// Admin is the admin address of its daemon.
	Admin string
}

// Backend is one stand-in for a backend server.
type Backend struct {
	cfg     Config
	address string
	crash   context.CancelFunc
	// closed is closed once the listener and all connections are closed.
	closed chan struct{}

	slots      chan struct{}
	mu         sync.Mutex
	admitted   int
	running    int
	executions map[string]int
	shedding   bool
}

// New returns a backend server. Run starts it.
func New(cfg Config) *Backend {
	if cfg.Announced == 0 {
		cfg.Announced = cfg.Slots
	}
	cfg.Connections = max(cfg.Connections, cfg.Slots)
	return &Backend{cfg: cfg, slots: make(chan struct{}, cfg.Slots), closed: make(chan struct{}), executions: map[string]int{}}
}

// SetShedding makes the server refuse every request with the verdict not-run.
func (b *Backend) SetShedding(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedding = on
}

// Executions returns the number of executions of each request ID.
func (b *Backend) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int, len(b.executions))
	for id, n := range b.executions {
		counts[id] = n
	}
	return counts
}

// Run serves requests on ln and announces the server until ctx ends or the
// server crashes. Then it closes all connections at once.
func (b *Backend) Run(ctx context.Context, ln net.Listener) error {
	ctx, b.crash = context.WithCancel(ctx)
	defer b.crash()
	b.address = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(b.serve)}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(ln) })
	g.Go(func() error {
		<-ctx.Done()
		defer close(b.closed)
		return server.Close()
	})
	g.Go(func() error { return b.announce(ctx) })
	if err := g.Wait(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Crash stops the server at once without a notice to the daemon.
func (b *Backend) Crash() { b.crash() }

// announce announces the server to its daemon every announceInterval until ctx
// ends.
func (b *Backend) announce(ctx context.Context) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		b.sendAnnouncement(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// sendAnnouncement sends one announcement. It ignores failures, since the next
// announcement follows shortly.
func (b *Backend) sendAnnouncement(ctx context.Context, client *http.Client) {
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
	if r.URL.Path == ExecutionsPath {
		_ = json.NewEncoder(w).Encode(b.Executions())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if !b.admit() {
		w.Header().Set("Fescuehoist-Verdict", "not-run")
		http.Error(w, "server is shedding load or has reached its limit of admitted requests", http.StatusServiceUnavailable)
		return
	}
	defer b.release()
	if !b.acquireSlot(r.Context(), id) {
		return
	}
	defer b.releaseSlot()
	if r.Header.Get(HeaderCrash) != "" {
		b.crash()
		// The kernel closes the listener of a process that ends before the
		// connections that it accepted.
		<-b.closed
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(r) {
		return
	}
	respBody := fmt.Appendf(nil, "%s %d ", id, len(body))
	respBody = append(respBody, bytes.Repeat([]byte("."), b.cfg.ResponsePadding)...)
	sum := sha256.Sum256(respBody)
	w.Header().Set(HeaderChecksum, hex.EncodeToString(sum[:]))
	_, _ = w.Write(respBody)
}

// admit reports whether the server accepts one more request and counts it if so.
func (b *Backend) admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shedding || b.admitted >= b.cfg.Connections {
		return false
	}
	b.admitted++
	return true
}

// release ends the admission of a request.
func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted--
}

// acquireSlot waits for a slot and counts the execution. It reports false if the
// client canceled the request first.
func (b *Backend) acquireSlot(ctx context.Context, id string) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.executions[id]++
	return true
}

// releaseSlot frees the slot of a request.
func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	<-b.slots
}

// simulateWork waits for the request's service time. It reports false if the
// client canceled the request first.
func (b *Backend) simulateWork(r *http.Request) bool {
	t := time.NewTimer(b.cfg.Work(r.Method, r.URL.Path))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
