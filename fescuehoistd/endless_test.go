package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/platform/platformtest"
)

// endlessCalls is the number of answers without end at the same time, each of which could
// be 32 MiB long.
const endlessCalls = 48

const endlessSettings = `[server]
name = "lookup-1"
domain = "cairo-a"
service = "lookup"
[listen]
callers = "%[1]s"
calls = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
announcements = "%[2]s"
[platform]
address = "%[3]s"
api = "objects"
[backend]
address = "%[4]s"
fixed_slots = true
[tls]
daemons = "plain"
callers = "plain"
platform = "plain"
%[5]s`

// Guards against a daemon that keeps bytes without end of a faulty backend server until
// it is out of memory and ends with the requests of other callers.
func TestEndlessAnswersLeaveDaemonWithinItsMemory(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": {id}\r\n" + platformtest.HeaderSeal + ": " + platformtest.Seal + "\r\n"
	program := buildDaemon(t)
	for name, answer := range map[string]platformtest.EndlessAnswer{
		"no answer":      {Repeated: block},
		"head":           {Start: head + "X: ", Repeated: block},
		"fields of head": {Start: head, Repeated: "X: y\r\n"},
		"body to close":  {Start: head + "\r\n", Repeated: block},
		"body in chunks": {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "10000\r\n" + block + "\r\n"},
	} {
		for limits, memoryMB := range map[string]int{"[limits]\nmemory_mb = 184\n": 184, "[limits]\nmemory_mb = 284\n": 284, "": int(settings.DefaultMemoryBytes >> 20)} {
			t.Run(fmt.Sprintf("%s, %d MB", name, memoryMB), func(t *testing.T) { playEndlessAnswers(t, program, answer, limits, memoryMB) })
		}
	}
}

// buildDaemon builds the daemon and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "fescuehoistd")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// callAlong makes calls of other callers, which must be answered, until the returned
// function is called.
func callAlong(t *testing.T, callers string) (stop func()) {
	t.Helper()
	var tasks sync.WaitGroup
	done := make(chan struct{})
	for task := range 4 {
		tasks.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if _, err := platformtest.Get(callers, "/search/x", fmt.Sprintf("sound-%d-%d", task, n)); err != nil {
					t.Errorf("request of another caller: error %v, want an answer", err)
					return
				}
			}
		})
	}
	return func() {
		close(done)
		tasks.Wait()
	}
}

// playEndlessAnswers makes calls with answers without end beside others, which must be
// served, and checks the memory of the daemon.
func playEndlessAnswers(t *testing.T, program string, answer platformtest.EndlessAnswer, limits string, memoryMB int) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutConfiguration(platformtest.Configuration(4, "site.example", []platformtest.Route{
		{Name: "search", Prefix: "/search/", Service: "lookup", Idempotent: true, Attempts: 1},
	}))
	backend := platformtest.NewBackend("lookup", "i-1")
	defer backend.Close()
	backend.Slots = 2 * endlessCalls
	backend.SetEndless(map[string]platformtest.EndlessAnswer{"/search/endless": answer})
	free, err := platformtest.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	callers, announcements := free[0], free[1]
	daemon := startDaemonProcess(t, program, fmt.Sprintf(endlessSettings, callers, announcements, store.Address(), backend.Address(), limits))
	awaitServed(t, backend, announcements, callers)

	var runs atomic.Int64
	var faulty sync.WaitGroup
	stopOthers := callAlong(t, callers)
	for task := range endlessCalls {
		faulty.Go(func() {
			for n := range 4 {
				id := fmt.Sprintf("endless-%d-%d", task, n)
				status, err := platformtest.Get(callers, "/search/endless", id)
				if err != nil || status == 200 {
					t.Errorf("answer without end: status %d, error %v; want a status of failure", status, err)
				}
				runs.Add(int64(backend.Executions(id)))
			}
		})
	}
	faulty.Wait()
	stopOthers()
	peak, err := platformtest.PeakMemoryMB(daemon.Process.Pid)
	t.Logf("peak of resident memory: %d MB, %d answers without end", peak, runs.Load())
	if err != nil || peak > memoryMB {
		t.Errorf("peak of resident memory is %d MB (error %v), want at most %d", peak, err, memoryMB)
	}
	if runs.Load() < endlessCalls {
		t.Errorf("%d answers without end, want at least %d", runs.Load(), endlessCalls)
	}
}

// startDaemonProcess starts a daemon, which is killed at the end of the test.
func startDaemonProcess(t *testing.T, program, settings string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(program, "-c", file)
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = daemon.Process.Kill()
		_ = daemon.Wait()
	})
	return daemon
}

// awaitServed sends status reports until a request is served.
func awaitServed(t *testing.T, backend *platformtest.Backend, announcements, callers string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, err := backend.SendReport(announcements, "ready"); err != nil || status != 200 {
			continue
		}
		if status, err := platformtest.Get(callers, "/search/x", fmt.Sprint("wait-", time.Now().UnixNano())); err == nil && status == 200 {
			return
		}
	}
	t.Fatal("timed out waiting for the daemon to serve")
}
