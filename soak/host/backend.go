package host

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
)

// reportInterval is the time between the status reports of a backend server.
const reportInterval = 400 * time.Millisecond

// WorkTime is how long a backend server takes for a request.
const WorkTime = 15 * time.Millisecond

// startBackend starts the next boot of the backend server at its old address.
func (h *Host) startBackend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	b := platformtest.NewBackend(h.Service, fmt.Sprintf("i-%s-%d", h.Name, h.boots))
	b.AdvertisedAddress = h.Server.Address()
	b.OnExecution = h.observe
	b.SetServiceTime(WorkTime)
	h.Server.SetTarget(b.Address())
	h.backend, h.state = b, stateReady
}

// Backend returns the backend server that runs now.
func (h *Host) Backend() *platformtest.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.backend
}

// ReplaceBackend ends the backend server without notice and starts the next one
// after a pause.
func (h *Host) ReplaceBackend(ctx context.Context, pause time.Duration) {
	h.Backend().Close()
	_ = wait.For(ctx, pause)
	h.startBackend()
}

// DrainBackend lets the backend server leave as planned and starts the next one.
func (h *Host) DrainBackend(ctx context.Context, serve time.Duration) {
	h.mu.Lock()
	h.state = stateDraining
	old := h.backend
	h.mu.Unlock()
	_ = wait.For(ctx, serve)
	_, _ = old.Withdraw(h.control)
	old.Close()
	h.startBackend()
}

// States of a backend server in its reports.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// report sends status reports until ctx ends, and tells confirmed of each
// departure that the daemon has taken.
func (h *Host) report(ctx context.Context, confirmed func(instance string, at time.Time)) {
	for ctx.Err() == nil {
		h.mu.Lock()
		b, state := h.backend, h.state
		h.mu.Unlock()
		status, err := b.SendReport(h.control, state)
		if err == nil && status == platformtest.StatusServed && state == stateDraining {
			confirmed(b.Instance, time.Now())
		}
		_ = wait.For(ctx, reportInterval)
	}
}

// Owns reports whether an instance is one of this host's backend server.
func (h *Host) Owns(instance string) bool {
	return strings.HasPrefix(instance, fmt.Sprintf("i-%s-", h.Name))
}
