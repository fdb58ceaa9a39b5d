package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// hostname is the virtual host of all routes.
const hostname = "ficu95.example"

// Result is what a client got.
type Result struct {
	ID     string
	Status int
	// Err is set if there was no complete answer.
	Err  error
	Body string
	Seal string
	Took time.Duration
}

// Send sends one request over a new connection to the daemon of a machine, as a
// client beside it does, and waits for the answer until the deadline.
func Send(m *Machine, method, path string, body []byte, deadline time.Duration) (r Result) {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	start := time.Now()
	r.ID = id
	m.record.Logf("client at %s sends %s: %s %s, %d bytes", m.Name, id, method, path, len(body))
	defer func() { m.record.Logf("client at %s gets %s", m.Name, r.Text()) }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound+path, bytes.NewReader(body))
	if err != nil {
		r.Err = err
		return r
	}
	req.Host = hostname
	req.Header.Set(names.ID, id)
	req.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	r.Took = time.Since(start)
	if err != nil {
		r.Err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	r.Status, r.Err, r.Body, r.Seal, r.Took = resp.StatusCode, err, string(text), resp.Header.Get(names.Seal), time.Since(start)
	return r
}

// Text describes a result for the record.
func (r *Result) Text() string {
	if r.Err != nil {
		return fmt.Sprintf("%s: no complete answer after %d ms: %v", r.ID, r.Took.Milliseconds(), r.Err)
	}
	return fmt.Sprintf("%s: %d after %d ms", r.ID, r.Status, r.Took.Milliseconds())
}

// Routes of the configuration, as the bench names them.
const (
	searchPath = "/lohu930/"
	submitPath = "/pufi791/"
)

// Deadlines of the clients.
const (
	searchDeadline = 2 * time.Second
	submitDeadline = 2500 * time.Millisecond
)

// Route is one route of the configuration.
type Route struct {
	Name, Path string
	Idempotent bool
}

// mainRoutes are the routes of the clients.
var mainRoutes = []Route{{"r-submit", submitPath, false}, {"r-search", searchPath, true}}

// Configuration returns the operator's configuration with routes to a service.
func Configuration(version int, service string, routes []Route) []byte {
	return message("configuration.tmpl", struct {
		Version           int
		Service, Hostname string
		Routes            []Route
	}{version, service, hostname, routes})
}
