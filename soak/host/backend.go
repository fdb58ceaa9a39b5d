package host

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
)

// reportInterval is the time between two status reports of a backend server.
const reportInterval = 400 * time.Millisecond

// ServiceTime is how long a backend server takes for a request, unless a fault
// slows it down.
const ServiceTime = 15 * time.Millisecond

// startBackend starts a new instance of the backend server behind ServerProxy,
// so that its address stays the same.
func (h *Host) startBackend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backendStarts++
	b := platformtest.NewBackend(h.Service, fmt.Sprintf("i-%s-%d", h.Name, h.backendStarts))
	b.AdvertisedAddress = h.ServerProxy.Address()
	b.OnExecution = h.onExecution
	b.SetServiceTime(ServiceTime)
	b.SetVersion(h.Release)
	b.SetFail(h.broken)
	h.ServerProxy.SetTarget(b.Address())
	h.backend, h.backendState = b, stateReady
}

// Backend returns the current instance of the backend server.
func (h *Host) Backend() *platformtest.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.backend
}

// ReplaceBackend stops the backend server without notice, as a crash would, and
// starts a new instance after downtime.
func (h *Host) ReplaceBackend(ctx context.Context, downtime time.Duration) {
	h.Backend().Close()
	_ = wait.For(ctx, downtime)
	h.startBackend()
}

// BreakBackend makes the backend server and its later instances fail all requests.
func (h *Host) BreakBackend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = true
	h.backend.SetFail(true)
}

// DrainBackend announces that the backend server is draining, lets it serve for
// drainTime, withdraws and stops it, and starts a new instance.
func (h *Host) DrainBackend(ctx context.Context, drainTime time.Duration) {
	h.mu.Lock()
	h.backendState = stateDraining
	old := h.backend
	h.mu.Unlock()
	_ = wait.For(ctx, drainTime)
	_, _ = old.Withdraw(h.announceAddress)
	old.Close()
	h.startBackend()
}

// States that a backend server reports.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// sendReports sends status reports until ctx ends. It calls onDeparture for each
// draining report that the daemon accepted.
func (h *Host) sendReports(ctx context.Context, onDeparture func(instance string, at time.Time)) {
	for ctx.Err() == nil {
		h.mu.Lock()
		b, state := h.backend, h.backendState
		h.mu.Unlock()
		status, err := b.SendReport(h.announceAddress, state)
		if err == nil && status == platformtest.StatusServed && state == stateDraining {
			onDeparture(b.Instance, time.Now())
		}
		_ = wait.For(ctx, reportInterval)
	}
}

// OwnsInstance reports whether an instance ID belongs to this host's backend
// server.
func (h *Host) OwnsInstance(instance string) bool {
	return strings.HasPrefix(instance, fmt.Sprintf("i-%s-", h.Name))
}
