// Package host runs one daemon as a process of its own, with a stand-in of its
// backend server and with proxies on its connections.
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
	// Callers is the address that takes requests.
	Callers string
	// Calls, Peers, Store and Server are the proxies before the daemon's two
	// listeners for other daemons, the store and the backend server.
	Calls, Peers, Store, Server *faultproxy.Proxy

	calls, peers, admin, control, ready string
	daemon, settings                    string
	log                                 *os.File
	observe                             func(platformtest.Execution)
	ended                               func(name string)

	mu      sync.Mutex
	backend *platformtest.Backend
	state   string
	boots   int
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	starts int
	// startedAt is when the process began.
	startedAt time.Time
	// told says that the process was killed or told to end.
	told bool
	// calmFrom is when the last unplanned disturbance of this host ends.
	calmFrom time.Time
}

// Options describe a host.
type Options struct {
	Name, Domain, Service string
	// Daemon is the program to run and Dir takes its settings and logs.
	Daemon, Dir string
	// Store is the address of the store.
	Store string
	// Burst is the number of retries that all daemons share.
	Burst   int
	Observe func(platformtest.Execution)
	// Ended is told of a daemon that ended by itself.
	Ended func(name string)
}

// New prepares a host; Start starts its daemon.
func New(o Options) (*Host, error) {
	h := &Host{Name: o.Name, Domain: o.Domain, Service: o.Service, daemon: o.Daemon, observe: o.Observe, ended: o.Ended}
	if err := ports.claim(); err != nil {
		return nil, err
	}
	for _, a := range []*string{&h.Callers, &h.calls, &h.peers, &h.admin, &h.control, &h.ready} {
		address, err := ports.address()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	for _, p := range []struct {
		to     **faultproxy.Proxy
		target string
	}{{&h.Calls, h.calls}, {&h.Peers, h.peers}, {&h.Store, o.Store}, {&h.Server, ""}} {
		proxy, err := faultproxy.NewProxy(p.target)
		if err != nil {
			return nil, err
		}
		*p.to = proxy
	}
	h.startBackend()
	var err error
	if h.settings, err = h.writeSettings(o.Dir, o.Burst); err != nil {
		return nil, err
	}
	h.log, err = os.OpenFile(filepath.Join(o.Dir, h.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return h, err
}

// Run reports for the backend server until ctx ends.
func (h *Host) Run(ctx context.Context, confirmed func(instance string, at time.Time)) error {
	h.report(ctx, confirmed)
	return nil
}

// Start starts the daemon unless it runs.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	cmd := exec.Command(h.daemon, "-c", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited, h.told, h.startedAt = cmd, exited, false, time.Now()
	h.starts++
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process == cmd {
			h.process = nil
			if !h.told {
				h.ended(h.Name)
			}
		}
		close(exited)
	}()
	return nil
}

// Starts returns how often the daemon was started; a caller that sees the same
// number twice dealt with one process.
func (h *Host) Starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// signal sends a signal to the daemon and returns a channel that is closed once
// that process has ended.
func (h *Host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	h.told = h.told || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.process.Process.Signal(s)
	return h.exited
}

// Kill ends the daemon at once.
func (h *Host) Kill() { <-h.signal(syscall.SIGKILL) }

// Terminate asks the daemon to end and reports whether it did within grace;
// after that it is killed, and the host counts as disturbed for a time.
func (h *Host) Terminate(grace, settle time.Duration) bool {
	ended := h.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		h.Disturb(time.Now().Add(settle))
		h.Kill()
		return false
	}
}

// Pause stops the daemon's process for a time.
func (h *Host) Pause(ctx context.Context, d time.Duration) {
	h.signal(syscall.SIGSTOP)
	_ = wait.For(ctx, d)
	h.signal(syscall.SIGCONT)
}

// bootTime is how long a process may take until it can catch signals. Before its
// first instruction a hangup ends any process.
const bootTime = 500 * time.Millisecond

// Reload tells the daemon to read its settings again, unless it has just begun.
func (h *Host) Reload() {
	h.mu.Lock()
	young := time.Since(h.startedAt) < bootTime
	h.mu.Unlock()
	if !young {
		h.signal(syscall.SIGHUP)
	}
}

// Disturb notes that the host is not to be held to promises until a time.
func (h *Host) Disturb(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.calmFrom) {
		h.calmFrom = until
	}
}

// Calm reports whether no unplanned disturbance touched the host since a time.
func (h *Host) Calm(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calmFrom.Before(since)
}

// Ready reports whether the daemon says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Close ends everything that the host started.
func (h *Host) Close() {
	h.signal(syscall.SIGCONT)
	h.Kill()
	h.Backend().Close()
	for _, p := range []*faultproxy.Proxy{h.Calls, h.Peers, h.Store, h.Server} {
		p.Close()
	}
	_ = h.log.Close()
}
