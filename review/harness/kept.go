package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// KeptClient sends one request at a time over a connection that it keeps.
type KeptClient struct {
	machine *Machine
	conn    net.Conn
	reader  *bufio.Reader
	// answered counts the answers on the current connection.
	answered int
}

// Close closes the connection.
func (c *KeptClient) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request and waits for its answer until the deadline. kept is true if
// the connection had carried an answer before.
func (c *KeptClient) Send(method, path string, body []byte, deadline time.Duration) (r Result, kept bool) {
	r.ID = fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
	start := time.Now()
	c.machine.record.Logf("client at %s sends %s: %s %s, %d bytes", c.machine.Name, r.ID, method, path, len(body))
	kept = c.conn != nil && c.answered > 0
	r.Err = c.exchange(&r, method, path, body, deadline)
	r.Took = time.Since(start)
	c.machine.record.Logf("client at %s gets %s", c.machine.Name, r.Text())
	if r.Err != nil {
		c.Close()
	}
	return r, kept
}

func (c *KeptClient) exchange(r *Result, method, path string, body []byte, deadline time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.Outbound, time.Second)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotConnected, err)
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	if err := c.conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, hostname, names.ID, r.ID, names.Deadline, deadline.Milliseconds(), len(body))
	if _, err := c.conn.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	r.Status, r.Body, r.Seal = resp.StatusCode, string(text), resp.Header.Get(names.Seal)
	c.answered++
	if resp.Close {
		c.Close()
	}
	return nil
}

var errNotConnected = fmt.Errorf("no connection")

var lastRequest atomic.Int64
