// Package rawserver is a server for tests that answers HTTP requests with any bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Exchange is a request and the connection on which it came, counted from 1.
type Exchange struct {
	Request    *http.Request
	Connection int
}

// Server answers requests and keeps connections open until the caller closes them.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) string
	tasks    sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
	exchanges   []Exchange
}

// Start starts a server on a port of 127.0.0.1 until the end of the test. It answers each
// request with the bytes that answer returns.
func Start(t testing.TB, answer func(r *http.Request) string) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return StartOn(t, ln, answer)
}

// StartOn is Start on an open listener.
func StartOn(t testing.TB, ln net.Listener, answer func(r *http.Request) string) *Server {
	s := &Server{listener: ln, answer: answer}
	s.tasks.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections opened so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// Exchanges returns the exchanges so far in the order of their requests.
func (s *Server) Exchanges() []Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Exchange(nil), s.exchanges...)
}

// stop closes the listener and the connections.
func (s *Server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, c)
		number := len(s.connections)
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(c, number) })
	}
}

func (s *Server) serve(c net.Conn, number int) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.exchanges = append(s.exchanges, Exchange{Request: req, Connection: number})
		s.mu.Unlock()
		if _, err := io.WriteString(c, s.answer(req)); err != nil {
			return
		}
	}
}
