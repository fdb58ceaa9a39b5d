package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Long bodies that callers send at the same time, in numbers and bytes.
const (
	uploads     = 48
	uploadBytes = 7_500_000
)

// Guards against a daemon that reads more long bodies at the same time than it has memory
// for, and ends with the requests of other callers.
func TestLongBodiesLeaveDaemonWithinItsMemory(t *testing.T) {
	program := buildDaemon(t)
	for _, memoryMB := range []int{184, 284} {
		for _, coding := range []string{"", "chunked"} {
			t.Run(fmt.Sprintf("%d MB, coding %q", memoryMB, coding), func(t *testing.T) { playUploads(t, program, memoryMB, coding) })
		}
	}
}

// A body that the operator's limits allow must not be refused for good.
func TestBodyOfAnySizeIsServedIfThereIsRoom(t *testing.T) {
	const memoryMB = 284
	p := startUploadDaemon(t, buildDaemon(t), memoryMB)
	for _, c := range []struct {
		coding            string
		megabytes, status int
	}{
		{"", 9, 200}, {"", 30, 200}, {"", 60, 503}, {"", 70, 413},
		// The room ends before the length is known.
		{"chunked", 9, 200}, {"chunked", 30, 200}, {"chunked", 60, 503}, {"chunked", 70, 503},
	} {
		id := fmt.Sprint("body-", c.megabytes, c.coding)
		status, err := upload(p.callers, id, c.coding, c.megabytes<<20)
		if runs := p.backend.Executions(id); err != nil || status != c.status || (status == 200) != (runs == 1) {
			t.Errorf("body of %d MiB, coding %q: status %d, error %v, %d runs; want status %d", c.megabytes, c.coding, status, err, runs, c.status)
		}
	}
	if peak, err := platformtest.PeakMemoryMB(p.process.Process.Pid); err != nil || peak > memoryMB {
		t.Errorf("peak of resident memory is %d MB (error %v), want at most %d", peak, err, memoryMB)
	}
}

// uploadDaemon is a daemon process with its backend server.
type uploadDaemon struct {
	callers string
	backend *platformtest.Backend
	process *exec.Cmd
}

// startUploadDaemon starts a daemon with a limit of memory that serves calls with long
// bodies.
func startUploadDaemon(t *testing.T, program string, memoryMB int) *uploadDaemon {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(platformtest.Configuration(4, "site.example", []platformtest.Route{
		{Name: "search", Prefix: "/search/", Service: "lookup", Idempotent: true, Attempts: 1},
		{Name: "submit", Prefix: "/submit/", Service: "lookup", Attempts: 1},
	}))
	free, err := platformtest.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	callers, announcements := free[0], free[1]
	p := &uploadDaemon{callers: callers, backend: platformtest.NewBackend("lookup", "i-1")}
	t.Cleanup(p.backend.Close)
	p.backend.Slots = 2 * uploads
	p.backend.SetServiceTime(160 * time.Millisecond)
	limits := fmt.Sprintf("[limits]\nmemory_mb = %d\n", memoryMB)
	p.process = startDaemonProcess(t, program, fmt.Sprintf(endlessSettings, p.callers, announcements, store.Address(), p.backend.Address(), limits))
	awaitServed(t, p.backend, announcements, p.callers)
	return p
}

// playUploads sends long bodies at once beside other calls, which must be served, and
// checks the memory of the daemon and that no refused body ran.
func playUploads(t *testing.T, program string, memoryMB int, coding string) {
	p := startUploadDaemon(t, program, memoryMB)
	stopOthers := callAlong(t, p.callers)
	var mu sync.Mutex
	counts := map[int]int{}
	var clients sync.WaitGroup
	for n := range uploads {
		clients.Go(func() {
			id := fmt.Sprint("upload-", n)
			status, err := upload(p.callers, id, coding, uploadBytes)
			if runs := p.backend.Executions(id); err != nil || (status != 200 && status != 503) || (status == 200) != (runs == 1) {
				t.Errorf("long body: status %d, error %v, %d runs; want 200 and one run, or 503 and none", status, err, runs)
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	clients.Wait()
	stopOthers()
	peak, err := platformtest.PeakMemoryMB(p.process.Process.Pid)
	t.Logf("peak of resident memory: %d MB, long bodies by status: %v", peak, counts)
	if err != nil || peak > memoryMB {
		t.Errorf("peak of resident memory is %d MB (error %v), want at most %d", peak, err, memoryMB)
	}
	if counts[200] == 0 {
		t.Error("no long body was served, want as many as there is room for")
	}
}

// upload sends a long body and returns the status of the answer, which may come before
// the body has been read.
func upload(callers, id, coding string, length int) (int, error) {
	conn, err := net.DialTimeout("tcp", callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, err
	}
	framing := fmt.Sprintf("Content-Length: %d", length)
	if coding != "" {
		framing = "Transfer-Encoding: " + coding
	}
	head := fmt.Sprintf("POST /submit/x HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: 18000\r\n%s\r\n\r\n",
		platformtest.HeaderRequestID, id, platformtest.HeaderDeadline, framing)
	go writeBody(conn, head, coding, length)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// writeBody writes a request until its end or until the connection is closed.
func writeBody(w io.Writer, head, coding string, length int) {
	if _, err := io.WriteString(w, head); err != nil {
		return
	}
	body := make([]byte, length)
	if coding == "" {
		_, _ = w.Write(body)
		return
	}
	const chunk = 100_000
	for part := range slices.Chunk(body, chunk) {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part); err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "0\r\n\r\n")
}
