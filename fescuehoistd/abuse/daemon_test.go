//go:build linux

// Package abuse tests a daemon process against clients that misbehave. Its tests run one
// at a time and apart from other load, since they check the memory of the process.
package abuse

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Limits of the daemon in all tests. The descriptors are those of a small host, or fewer
// than a crowd has connections.
const (
	memoryMB        = 96
	manyDescriptors = 4100
	fewDescriptors  = 256
)

// longAnswer is the length of the answers to largePath, in bytes.
const (
	longAnswer = 1 << 20
	largePath  = "/submit/large"
)

const daemonSettings = `[server]
name = "lookup-1"
domain = "cairo-a"
service = "lookup"
[listen]
callers = "%[1]s"
calls = "%[2]s"
peers = "127.0.0.1:0"
admin = "%[3]s"
announcements = "%[4]s"
ready = "%[5]s"
[platform]
address = "%[6]s"
api = "objects"
[backend]
address = "%[7]s"
fixed_slots = true
[limits]
memory_mb = %[8]d
descriptors = %[9]d
[tls]
daemons = "plain"
callers = "plain"
platform = "plain"
`

// program is the path of the daemon's program.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "fescuehoistd")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// daemon is a daemon process and the addresses that it serves.
type daemon struct {
	callers, calls, admin, announcements, ready string

	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// descriptors is the limit of open files, maxOpen the highest number seen.
	descriptors int
	maxOpen     atomic.Int64
}

// startDaemon starts a daemon with a store and a backend server, and waits until it
// serves. All of them end with the test.
func startDaemon(t *testing.T, descriptors int) *daemon {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(platformtest.Configuration(4, "site.example", []platformtest.Route{
		{Name: "submit", Prefix: "/submit/", Service: "lookup", Attempts: 1},
	}))
	server := startBackend(t)
	reporter := platformtest.NewBackend("lookup", "i-1")
	t.Cleanup(reporter.Close)
	reporter.AdvertisedAddress, reporter.Slots = server, 4096
	free, err := platformtest.FreeAddresses(5)
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		callers: free[0], calls: free[1], admin: free[2], announcements: free[3], ready: free[4],
		exited: make(chan struct{}), descriptors: descriptors,
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(daemonSettings, d.callers, d.calls, d.admin, d.announcements, d.ready, store.Address(), server, memoryMB, descriptors)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.process = exec.Command(program, "-c", file)
	d.process.Stderr = os.Stderr
	if err := d.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.process.Wait()
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.process.Process.Kill()
		<-d.exited
	})
	d.awaitServed(t, reporter)
	d.repeat(t, reportInterval, func() { _, _ = reporter.SendReport(d.announcements, "ready") })
	d.repeat(t, 10*time.Millisecond, d.countDescriptors)
	return d
}

// startBackend starts a backend server that answers each request, with a long body at
// largePath, and returns its address.
func startBackend(t *testing.T) string {
	t.Helper()
	ln, err := platformtest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", longAnswer)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(platformtest.HeaderRequestID, r.Header.Get(platformtest.HeaderRequestID))
		w.Header().Set(platformtest.HeaderSeal, platformtest.Seal)
		if r.URL.Path == largePath {
			_, _ = io.WriteString(w, long)
		}
	}))
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return ln.Addr().String()
}

// awaitServed sends status reports until a request is served.
func (d *daemon) awaitServed(t *testing.T, reporter *platformtest.Backend) {
	t.Helper()
	for end := time.Now().Add(answerGuard); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-d.exited:
			t.Fatalf("the daemon has ended before it served: %v", d.process.ProcessState)
		default:
		}
		if status, err := reporter.SendReport(d.announcements, "ready"); err != nil || status != 200 {
			continue
		}
		if status, err := get(d.callers, "/submit/x"); err == nil && status == 200 {
			return
		}
	}
	t.Fatal("timed out waiting for the daemon to serve")
}

// reportInterval is the time between two status reports of the backend server.
const reportInterval = 500 * time.Millisecond

// repeat calls a function after each interval until the test ends.
func (d *daemon) repeat(t *testing.T, interval time.Duration, f func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				f()
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-stopped
	})
}

// countDescriptors updates maxOpen.
func (d *daemon) countDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Process.Pid))
	if err != nil {
		return
	}
	for n := int64(len(entries)); ; {
		before := d.maxOpen.Load()
		if n <= before || d.maxOpen.CompareAndSwap(before, n) {
			return
		}
	}
}

// check checks that the process lives within its limits.
func (d *daemon) check(t *testing.T) {
	t.Helper()
	select {
	case <-d.exited:
		t.Errorf("the daemon has ended: %v", d.process.ProcessState)
		return
	default:
	}
	d.countDescriptors()
	peak, err := platformtest.PeakMemoryMB(d.process.Process.Pid)
	t.Logf("peak of resident memory: %d MB, most open descriptors: %d", peak, d.maxOpen.Load())
	if err != nil || peak > memoryMB {
		t.Errorf("peak of resident memory is %d MB (error %v), want at most %d", peak, err, memoryMB)
	}
	if n := d.maxOpen.Load(); n > int64(d.descriptors) {
		t.Errorf("the daemon had %d open descriptors, want at most %d", n, d.descriptors)
	}
}

// answerGuard ends a test whose daemon answers no ordinary request any more.
const answerGuard = 40 * time.Second

// checkServed checks that an ordinary request is answered at an address.
func checkServed(t *testing.T, address, path string) {
	t.Helper()
	var status int
	var err error
	for end := time.Now().Add(answerGuard); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err = get(address, path); err == nil && status == 200 {
			return
		}
	}
	t.Errorf("ordinary request for %s: status %d, error %v; want status 200", path, status, err)
}

var requestNumber atomic.Int64

// get makes one request on a connection of its own and returns its status.
func get(address, path string) (int, error) {
	return platformtest.Get(address, path, fmt.Sprint("ordinary-", requestNumber.Add(1)))
}
