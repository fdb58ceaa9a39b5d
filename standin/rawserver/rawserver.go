// Package rawserver is a server for tests that answers HTTP requests with any bytes, at any
// moment of the request, and ends the connection in any way.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Ending is how a server ends the connection of an answer.
type Ending int

const (
	// KeepOpen waits for the next request.
	KeepOpen Ending = iota
	// Close closes the connection. The kernel resets it if a part of the request is unread.
	Close
	// Reset resets the connection.
	Reset
	// HalfClose ends the sending direction and reads the rest of the request.
	HalfClose
	// HalfCloseOnly ends the sending direction and reads nothing until the end of the test.
	HalfCloseOnly
	// HalfCloseThenClose ends the sending direction, and closes the connection later with
	// the rest of the request unread.
	HalfCloseThenClose
)

// Breaks are the endings by which an answer may break off, by name.
var Breaks = map[string]Ending{"reset": Reset, "closed": Close, "closed-in-two-steps": HalfCloseThenClose}

// closeDelay is the time between the two steps of HalfCloseThenClose, in which a client
// reads the end of the answer.
const closeDelay = 5 * time.Millisecond

// Answer is what a server sends in return for a request.
type Answer struct {
	Text string
	// Early sends Text after the head of the request, and leaves the body unread.
	Early bool
	// Delay is the time before Text.
	Delay time.Duration
	// Pause is the time between Text and Ending.
	Pause  time.Duration
	Ending Ending
}

// Exchange is a request and the connection on which it came, counted from 1.
type Exchange struct {
	Request    *http.Request
	Connection int
}

// Server answers requests.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) Answer
	tasks    sync.WaitGroup
	// stopping is closed at the end of the test.
	stopping chan struct{}

	mu          sync.Mutex
	connections []net.Conn
	exchanges   []Exchange
}

// Start starts a server on a port of 127.0.0.1 until the end of the test. It answers each
// request with the bytes that answer returns and keeps the connection open.
func Start(t testing.TB, answer func(r *http.Request) string) *Server {
	t.Helper()
	return StartAnswers(t, func(r *http.Request) Answer { return Answer{Text: answer(r)} })
}

// StartAnswers is Start with answers that are sent before the request is read or end their
// connections. answer is called with the body unread.
func StartAnswers(t testing.TB, answer func(r *http.Request) Answer) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return StartOn(t, ln, answer)
}

// StartOn is StartAnswers on an open TCP listener.
func StartOn(t testing.TB, ln net.Listener, answer func(r *http.Request) Answer) *Server {
	s := &Server{listener: ln, answer: answer, stopping: make(chan struct{})}
	s.tasks.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

// LimitReceiveBuffer sets the size in bytes of the kernel's buffers for what clients send
// over connections that a TCP listener accepts from now on.
func LimitReceiveBuffer(ln net.Listener, size int) error {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return optErr
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
	close(s.stopping)
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
		answer := s.answer(req)
		if !answer.Early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		s.mu.Lock()
		s.exchanges = append(s.exchanges, Exchange{Request: req, Connection: number})
		s.mu.Unlock()
		time.Sleep(answer.Delay)
		if _, err := io.WriteString(c, answer.Text); err != nil {
			return
		}
		time.Sleep(answer.Pause)
		if answer.Ending != KeepOpen {
			s.end(c.(*net.TCPConn), r, answer.Ending)
			return
		}
	}
}

// end ends a connection, except for the closing, which follows.
func (s *Server) end(c *net.TCPConn, r io.Reader, e Ending) {
	switch e {
	case Reset:
		_ = c.SetLinger(0)
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	case HalfCloseOnly:
		_ = c.CloseWrite()
		<-s.stopping
	case HalfCloseThenClose:
		_ = c.CloseWrite()
		time.Sleep(closeDelay)
	}
}
