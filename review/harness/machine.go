package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site trinacria-switch.
const (
	drainTime      = 2 * time.Second
	stableWindow   = 3 * time.Second
	configTime     = 2 * time.Second
	graceTime      = 6 * time.Second
	budgetSlack    = 64
	memoryMB       = 284
	maxDescriptors = 4100
	linkMbps       = 1000
)

// Ports of daemons are below the system's ephemeral ports, since a restarted
// daemon needs the same ports.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort-1000)

// freeAddress returns an unused loopback address.
func freeAddress() (string, error) {
	for nextPort < lastPort {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port below %d", lastPort)
}

// Machine is one host: a daemon as a separate process, and the address of the
// upstream beside it.
type Machine struct {
	Name, Zone, Service                             string
	Outbound, Inbound, Ready, Control, Peers, Admin string
	AppAddress                                      string
	root, settings                                  string
	log                                             *os.File
	record                                          *Record

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// disturbedAt is when the process was last started or sent a signal.
	disturbedAt time.Time
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// NewMachine prepares the settings of a machine from the template in the deploy
// folder. root is the repository, dir a temporary folder.
func NewMachine(root, dir, name, zone, service, store string, record *Record) (*Machine, error) {
	m := &Machine{Name: name, Zone: zone, Service: service, root: root, record: record}
	for _, a := range []*string{&m.Outbound, &m.Inbound, &m.Ready, &m.Control, &m.Peers, &m.Admin, &m.AppAddress} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "daemon.toml"))
	if err != nil {
		return nil, err
	}
	_, peersPort, _ := strings.Cut(m.Peers, ":")
	_, adminPort, _ := strings.Cut(m.Admin, ":")
	values := map[string]string{
		"node": name, "zone": zone, "service": service, "ip": "127.0.0.1",
		"listen.outbound": m.Outbound, "listen.inbound": m.Inbound, "listen.control": m.Control, "listen.ready_address": m.Ready,
		"internal_ports.0": peersPort, "internal_ports.1": adminPort, "platform.address": store, "app_addr": m.AppAddress,
		"bounds.grace_s": fmt.Sprint(int(graceTime.Seconds())), "bounds.budget_slack": fmt.Sprint(budgetSlack),
		"limits.memory_mb": fmt.Sprint(memoryMB), "limits.max_fds": fmt.Sprint(maxDescriptors), "limits.link_mbps": fmt.Sprint(linkMbps),
	}
	var unknown []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			unknown = append(unknown, p)
		}
		return v
	})
	if len(unknown) > 0 {
		return nil, fmt.Errorf("deploy/daemon.toml has unknown placeholders: %v", unknown)
	}
	m.settings = filepath.Join(dir, name+".toml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.log, err = os.Create(filepath.Join(dir, name+".log"))
	return m, err
}

// Start starts the daemon with the command of deploy/system.toml.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(filepath.Join(m.root, "target", "fescuehoistd"), "-c", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.root, m.log, m.log
	cmd.Env = append(os.Environ(), "FESCUEHOIST_BOOT="+m.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.disturbedAt = cmd, exited, time.Now()
	m.record.Logf("daemon %s starts", m.Name)
	go func() {
		err := cmd.Wait()
		m.record.Logf("daemon %s has ended: %v", m.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.disturbedAt = time.Now()
	m.record.Logf("daemon %s is sent %s", m.Name, s)
	_ = m.process.Process.Signal(s)
}

// PID returns the process id of the daemon.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// Exited returns a channel that is closed once the daemon has ended.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// Terminate stops the daemon as the platform does: SIGTERM, and SIGKILL after the
// grace time.
func (m *Machine) Terminate() {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Exited():
	case <-time.After(graceTime):
		m.Signal(syscall.SIGKILL)
		<-m.Exited()
	}
}

// Kill kills the daemon.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.Exited()
}

// InTouchAt reports whether the machine's process ran undisturbed for the stable
// window before a time.
func (m *Machine) InTouchAt(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.Sub(m.disturbedAt) >= stableWindow
}

// IsReady asks the readiness address once.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the daemon if it runs.
func (m *Machine) Close() {
	m.mu.Lock()
	running := m.process != nil
	m.mu.Unlock()
	if running {
		m.Signal(syscall.SIGKILL)
		<-m.Exited()
	}
	_ = m.log.Close()
}
