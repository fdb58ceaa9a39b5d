// Package rawserver is an HTTP server whose answers are bytes chosen by a test, which
// need not be HTTP.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
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

// Start serves a listener, and answers each request with the bytes that answer returns.
// Close stops the server.
func Start(ln net.Listener, answer func(r *http.Request) string) *Server {
	s := &Server{listener: ln, answer: answer}
	s.tasks.Go(s.accept)
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

// Close closes the listener and the connections.
func (s *Server) Close() {
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
