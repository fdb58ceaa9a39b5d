// Package host runs one daemon as a separate process, with a stand-in for its
// backend server and with fault proxies on its connections.
package host

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/faultproxy"
)

// Host is one daemon with its backend server.
type Host struct {
	Name, Domain, Service string
	// Release is the version of the backend server's software.
	Release string
	// CallerAddress is the address at which the daemon accepts requests of
	// clients.
	CallerAddress string
	// CallProxy and PeerProxy are in front of the daemon's listeners for calls
	// and gossip of other daemons, StoreProxy in front of the store and
	// ServerProxy in front of the backend server.
	CallProxy, PeerProxy, StoreProxy, ServerProxy *faultproxy.Proxy

	callAddress, peerAddress, adminAddress, announceAddress, readyAddress string
	executable, settingsFile                                              string
	log                                                                   *os.File
	onExecution                                                           func(platformtest.Execution)
	onUnexpectedExit                                                      func(name string)

	mu            sync.Mutex
	backend       *platformtest.Backend
	backendState  string
	backendStarts int
	// broken says that the backend server's software fails all requests.
	broken  bool
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	starts int
	// startedAt is when the process was started.
	startedAt time.Time
	// exitRequested says that the process was sent SIGKILL or SIGTERM.
	exitRequested bool
	// undisturbedFrom is when the effects of the last unplanned fault on this
	// host end.
	undisturbedFrom time.Time
}

// Options configure a host.
type Options struct {
	Name, Domain, Service string
	// Daemon is the path of the daemon's executable, Dir the folder for its
	// settings and logs.
	Daemon, Dir string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// RetryBurst is the burst of the retry budget, which all daemons share.
	RetryBurst int
	// RevokeWithin is the time within which revoked keys must be refused.
	RevokeWithin time.Duration
	// Release is the version of the backend server's software. Rollouts enables
	// orders of other releases, RollbackWithin is the limit of their rollback.
	Release        string
	Rollouts       bool
	RollbackWithin time.Duration
	OnExecution    func(platformtest.Execution)
	// OnUnexpectedExit is called when the daemon exits without being asked to.
	OnUnexpectedExit func(name string)
}

// New returns a host with a running backend server and running proxies. Start
// starts its daemon.
func New(o Options) (*Host, error) {
	h := &Host{Name: o.Name, Domain: o.Domain, Service: o.Service, Release: o.Release, executable: o.Daemon, onExecution: o.OnExecution, onUnexpectedExit: o.OnUnexpectedExit}
	if err := ports.claim(); err != nil {
		return nil, err
	}
	for _, a := range []*string{&h.CallerAddress, &h.callAddress, &h.peerAddress, &h.adminAddress, &h.announceAddress, &h.readyAddress} {
		address, err := ports.freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	for _, p := range []struct {
		field  **faultproxy.Proxy
		target string
	}{{&h.CallProxy, h.callAddress}, {&h.PeerProxy, h.peerAddress}, {&h.StoreProxy, o.StoreAddress}, {&h.ServerProxy, ""}} {
		proxy, err := faultproxy.NewProxy(p.target)
		if err != nil {
			return nil, err
		}
		*p.field = proxy
	}
	h.startBackend()
	var err error
	if h.settingsFile, err = h.writeSettings(&o); err != nil {
		return nil, err
	}
	h.log, err = os.OpenFile(filepath.Join(o.Dir, h.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return h, err
}

// Run sends the backend server's status reports until ctx ends.
func (h *Host) Run(ctx context.Context, onDeparture func(instance string, at time.Time)) error {
	h.sendReports(ctx, onDeparture)
	return nil
}

// Start starts the daemon unless it is running.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	cmd := exec.Command(h.executable, "-c", h.settingsFile)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited, h.exitRequested, h.startedAt = cmd, exited, false, time.Now()
	h.starts++
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process == cmd {
			h.process = nil
			if !h.exitRequested {
				h.onUnexpectedExit(h.Name)
			}
		}
		close(exited)
	}()
	return nil
}

// Starts returns how often the daemon was started. If it is the same before and
// after an operation, the operation involved a single process.
func (h *Host) Starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// sendSignal sends a signal to the daemon's process and returns a channel that
// is closed once that process has exited.
func (h *Host) sendSignal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		alreadyClosed := make(chan struct{})
		close(alreadyClosed)
		return alreadyClosed
	}
	h.exitRequested = h.exitRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.process.Process.Signal(s)
	return h.exited
}

// Kill kills the daemon with SIGKILL and waits until it has exited.
func (h *Host) Kill() { <-h.sendSignal(syscall.SIGKILL) }

// Terminate sends SIGTERM to the daemon and reports whether it exited within
// timeout. Otherwise it kills the daemon, and the host counts as disturbed for
// settleTime.
func (h *Host) Terminate(timeout, settleTime time.Duration) bool {
	exited := h.sendSignal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		h.MarkDisturbed(time.Now().Add(settleTime))
		h.Kill()
		return false
	}
}

// Pause suspends the daemon's process for d.
func (h *Host) Pause(ctx context.Context, d time.Duration) {
	h.sendSignal(syscall.SIGSTOP)
	_ = wait.For(ctx, d)
	h.sendSignal(syscall.SIGCONT)
}

// startupTime is how long a process may take to install its signal handlers.
// SIGHUP ends any process that has not executed its first instruction yet, which
// would be no fault of the daemon.
const startupTime = 500 * time.Millisecond

// Reload sends SIGHUP, which makes the daemon reread its settings, unless the
// process was started less than startupTime ago.
func (h *Host) Reload() {
	h.mu.Lock()
	startingUp := time.Since(h.startedAt) < startupTime
	h.mu.Unlock()
	if !startingUp {
		h.sendSignal(syscall.SIGHUP)
	}
}

// MarkDisturbed marks the host as affected by an unplanned fault until a time.
// Invariants that such a fault may violate are not checked for the host.
func (h *Host) MarkDisturbed(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.undisturbedFrom) {
		h.undisturbedFrom = until
	}
}

// Undisturbed reports whether no unplanned fault has affected the host since a
// time.
func (h *Host) Undisturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undisturbedFrom.Before(since)
}

// Ready reports whether the daemon's readiness probe succeeds.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Close stops the daemon, the backend server and the proxies.
func (h *Host) Close() {
	h.sendSignal(syscall.SIGCONT)
	h.Kill()
	h.Backend().Close()
	for _, p := range []*faultproxy.Proxy{h.CallProxy, h.PeerProxy, h.StoreProxy, h.ServerProxy} {
		p.Close()
	}
	_ = h.log.Close()
}
