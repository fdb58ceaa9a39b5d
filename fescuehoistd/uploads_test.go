package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// playUploads sends long bodies at once beside other calls, which must be served, and
// checks the memory of the daemon and that no refused body ran.
func playUploads(t *testing.T, program string, memoryMB int, coding string) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutConfiguration(platformtest.Configuration(4, "site.example", []platformtest.Route{
		{Name: "search", Prefix: "/search/", Service: "lookup", Idempotent: true, Attempts: 1},
		{Name: "submit", Prefix: "/submit/", Service: "lookup", Attempts: 1},
	}))
	backend := platformtest.NewBackend("lookup", "i-1")
	defer backend.Close()
	backend.Slots = 2 * uploads
	backend.SetServiceTime(160 * time.Millisecond)
	callers, announcements := freeAddress(t), freeAddress(t)
	limits := fmt.Sprintf("[limits]\nmemory_mb = %d\n", memoryMB)
	daemon := startDaemonProcess(t, program, fmt.Sprintf(endlessSettings, callers, announcements, store.Address(), backend.Address(), limits))
	awaitServed(t, backend, announcements, callers)

	stopOthers := callAlong(t, callers)
	var mu sync.Mutex
	counts := map[int]int{}
	var clients sync.WaitGroup
	for n := range uploads {
		clients.Go(func() {
			id := fmt.Sprint("upload-", n)
			status, err := upload(callers, id, coding)
			if runs := backend.Executions(id); err != nil || (status != 200 && status != 503) || (status == 200) != (runs == 1) {
				t.Errorf("long body: status %d, error %v, %d runs; want 200 and one run, or 503 and none", status, err, runs)
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	clients.Wait()
	stopOthers()
	peak, err := peakMemoryMB(daemon.Process.Pid)
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
func upload(callers, id, coding string) (int, error) {
	conn, err := net.DialTimeout("tcp", callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, err
	}
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if coding != "" {
		framing = "Transfer-Encoding: " + coding
	}
	head := fmt.Sprintf("POST /submit/x HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: 18000\r\n%s\r\n\r\n",
		platformtest.HeaderRequestID, id, platformtest.HeaderDeadline, framing)
	go writeBody(conn, head, coding)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// writeBody writes a request until its end or until the connection is closed.
func writeBody(w io.Writer, head, coding string) {
	if _, err := io.WriteString(w, head); err != nil {
		return
	}
	body := make([]byte, uploadBytes)
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
