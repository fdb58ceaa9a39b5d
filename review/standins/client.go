package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var (
	headerID       = wire["request_id"]
	headerDeadline = wire["deadline"]
)

var lastID atomic.Uint64

// newID returns the id of one client attempt.
func newID() string { return fmt.Sprintf("r%015x", lastID.Add(1)) }

// attempt is one request of a client.
type attempt struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
}

// result is what the client has seen. A status of 0 means that there was no answer.
type result struct {
	status     int
	body, seal string
	sent       time.Time
	err        error
}

// do sends a request on a connection of its own.
func do(address string, a attempt) result {
	if a.deadline == 0 {
		a.deadline = 2 * time.Second
	}
	r := result{sent: time.Now()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(a.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, a.host, headerID, a.id, headerDeadline, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", wire["key"], a.key)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(a.body))
	}
	text.WriteString("\r\n" + a.body)
	r.sent = time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		r.err = err
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		r.err = err
		return r
	}
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.seal, r.err = resp.StatusCode, string(body), resp.Header.Get(wire["seal"]), err
	return r
}
