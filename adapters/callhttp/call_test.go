package callhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/backendhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// testTimeout is the maximum wait for an event.
const testTimeout = 20 * time.Second

// scriptedServer is a backend server that serves each connection with a function
// and counts the requests that it executed.
type scriptedServer struct {
	executions atomic.Int64
	canceled   chan struct{}
	address    string
}

func startScriptedServer(t *testing.T, serve func(s *scriptedServer, c net.Conn, r *bufio.Reader)) *scriptedServer {
	s := &scriptedServer{canceled: make(chan struct{}, 16)}
	s.address = listen(t, func(c net.Conn) { serve(s, c, bufio.NewReader(c)) })
	return s
}

func listen(t *testing.T, serve func(c net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			tasks.Go(func() {
				defer c.Close()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		tasks.Wait()
	})
	return ln.Addr().String()
}

// readRequest reads one request, counts it as executed and returns its ID, empty
// if the read failed.
func (s *scriptedServer) readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	s.executions.Add(1)
	return req.Header.Get("X-Request-Id")
}

func respondWith(text string) func(*scriptedServer, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = io.WriteString(c, text)
	}
}

// echoIDs answers every request with its ID.
func echoIDs(s *scriptedServer, c net.Conn, r *bufio.Reader) {
	for {
		id := s.readRequest(r)
		if id == "" {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
}

// startDaemon starts a daemon that forwards calls to a backend server, and
// returns its address.
func startDaemon(t *testing.T, backend string) string {
	client := &backendhttp.Client{}
	client.SetAddress(backend)
	ctx, stop := context.WithCancel(context.Background())
	server := httpconn.NewServer(&callhttp.DaemonHandler{Handler: client}, callhttp.ProgressInterval)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		server.Abort()
		if err := <-done; err != nil {
			t.Error(err)
		}
		client.Close()
	})
	return ln.Addr().String()
}

type callFunc func(ctx context.Context, r *call.Request) (*call.Answer, error)

func (f callFunc) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	return f(ctx, r)
}

func forwardTo(t *testing.T, daemon string) callFunc {
	f := callhttp.NewForwarder(nil)
	t.Cleanup(f.Close)
	return func(ctx context.Context, r *call.Request) (*call.Answer, error) { return f.Forward(ctx, daemon, r) }
}

func request(id string, idempotent bool) *call.Request {
	return &call.Request{
		Service: "lookup", Method: "POST", URI: "/places", Body: []byte(strings.Repeat("b", 2000)),
		Header: []call.Field{{Name: "X-Request-Id", Value: id}}, Class: &target.Class{Idempotent: idempotent},
	}
}

func failureOf(t *testing.T, err error) *call.Failure {
	var f *call.Failure
	if !errors.As(err, &f) {
		t.Fatalf("got error %v, want a *call.Failure", err)
	}
	return f
}

const (
	ok         = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	notRun     = call.NotRun
	mayHaveRun = call.MayHaveRun
)

// TestCallConnectionCutReturnsTrueVerdict cuts connections at each point of an
// exchange. The verdict not-run must never be returned for an executed request,
// directly at the backend server or through a daemon.
func TestCallConnectionCutReturnsTrueVerdict(t *testing.T) {
	closingAddress := listen(t, func(net.Conn) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusingAddress := ln.Addr().String()
	_ = ln.Close()
	for _, c := range []struct {
		name    string
		address string
		serve   func(*scriptedServer, net.Conn, *bufio.Reader)
		verdict call.Verdict
		reason  call.Reason
	}{
		{name: "before connect", address: refusingAddress, verdict: notRun, reason: call.Unreachable},
		{name: "after connect", address: closingAddress, verdict: mayHaveRun, reason: call.Cut},
		{name: "mid request", serve: func(_ *scriptedServer, _ net.Conn, r *bufio.Reader) { _, _ = r.Discard(100) }, verdict: mayHaveRun, reason: call.Cut},
		{name: "after request", serve: respondWith(""), verdict: mayHaveRun, reason: call.Cut},
		{name: "mid header", serve: respondWith(ok[:20]), verdict: mayHaveRun, reason: call.Cut},
		{name: "mid body", serve: respondWith(ok[:len(ok)-1]), verdict: mayHaveRun, reason: call.Cut},
		{name: "mid chunk", serve: respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), verdict: mayHaveRun, reason: call.Cut},
		{name: "no last chunk", serve: respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), verdict: mayHaveRun, reason: call.Cut},
		{name: "no length", serve: respondWith("HTTP/1.1 200 OK\r\n\r\nok"), verdict: mayHaveRun, reason: call.Cut},
		{name: "two lengths", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok"), verdict: mayHaveRun, reason: call.Cut},
		{name: "length and chunks", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), verdict: call.Ran},
		{name: "upgrade", serve: respondWith("HTTP/1.1 101 Switching Protocols\r\n\r\n"), verdict: mayHaveRun, reason: call.Cut},
		{name: "shed", serve: func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
			s.readRequest(r)
			s.executions.Add(-1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nFescuehoist-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
		}, verdict: notRun, reason: call.Shed},
		{name: "overloaded but run", serve: respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), verdict: call.Ran},
		{name: "interim answers", serve: respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ok), verdict: call.Ran},
		{name: "chunks", serve: respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), verdict: call.Ran},
	} {
		for hops, newCall := range map[string]func(string) callFunc{
			"one hop": func(a string) callFunc {
				client := &backendhttp.Client{}
				client.SetAddress(a)
				t.Cleanup(client.Close)
				return client.Call
			},
			"two hops": func(a string) callFunc { return forwardTo(t, startDaemon(t, a)) },
		} {
			t.Run(c.name+", "+hops, func(t *testing.T) {
				s := &scriptedServer{address: c.address}
				if c.serve != nil {
					s = startScriptedServer(t, c.serve)
				}
				_, err := newCall(s.address)(context.Background(), request("1", false))
				if c.verdict == call.Ran {
					if err != nil {
						t.Fatal(err)
					}
					return
				}
				f := failureOf(t, err)
				if f.Verdict == notRun && s.executions.Load() > 0 {
					t.Errorf("got %v, but the server executed the request", f)
				}
				if f.Verdict != c.verdict || f.Reason != c.reason {
					t.Errorf("got %s, %s; want %s, %s", f.Verdict, f.Reason, c.verdict, c.reason)
				}
			})
		}
	}
}

func TestForwarderDeadlineOrCancelEndsCallAtBackendServer(t *testing.T) {
	blockUntilClosed := func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = r.Peek(1)
		s.canceled <- struct{}{}
	}
	for _, reason := range []call.Reason{call.Deadline, call.Canceled} {
		t.Run(string(reason), func(t *testing.T) {
			s := startScriptedServer(t, blockUntilClosed)
			forward := forwardTo(t, startDaemon(t, s.address))
			ctx, cancel := context.WithCancel(context.Background())
			if reason == call.Deadline {
				ctx, cancel = context.WithTimeout(ctx, 200*time.Millisecond)
			}
			defer cancel()
			if reason == call.Canceled {
				time.AfterFunc(200*time.Millisecond, cancel)
			}
			_, err := forward(ctx, request("1", false))
			if f := failureOf(t, err); f.Verdict != mayHaveRun || f.Reason != reason {
				t.Errorf("got %v", f)
			}
			select {
			case <-s.canceled:
			case <-time.After(testTimeout):
				t.Error("backend server did not see the connection close")
			}
		})
	}
}

// TestForwarderLateAnswersReachNoOtherCall checks that no call receives the answer
// of another one. Answers to IDs ending in 3 arrive after the deadline of the
// call; answers to IDs ending in 7 are followed by a surplus answer.
func TestForwarderLateAnswersReachNoOtherCall(t *testing.T) {
	slow := func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		for {
			id := s.readRequest(r)
			if id == "" {
				return
			}
			if strings.HasSuffix(id, "3") {
				time.Sleep(30 * time.Millisecond)
			}
			tail := ""
			if strings.HasSuffix(id, "7") {
				tail = ok
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, tail)
		}
	}
	s := startScriptedServer(t, slow)
	forward := forwardTo(t, startDaemon(t, s.address))
	var tasks sync.WaitGroup
	for task := range 8 {
		tasks.Go(func() {
			for n := range 50 {
				id := fmt.Sprintf("%d-%d", task, n)
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				if n%10 == 3 {
					ctx, cancel = context.WithTimeout(context.Background(), 10*time.Millisecond)
				}
				answer, err := forward(ctx, request(id, false))
				cancel()
				if err == nil && string(answer.Body) != id {
					t.Errorf("request %s got answer %q", id, answer.Body)
				}
			}
		})
	}
	tasks.Wait()
}

// relay forwards connections to a server. Once stalled changes, it drops all
// further bytes of the connections that are open.
type relay struct {
	stalled atomic.Bool
	address string
}

func startRelay(t *testing.T, to string) *relay {
	s := &relay{}
	s.address = listen(t, func(c net.Conn) {
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer out.Close()
		stalledAtOpen := s.stalled.Load()
		go s.copy(c, out, stalledAtOpen)
		s.copy(out, c, stalledAtOpen)
	})
	return s
}

// copy forwards bytes while stalled has the value that it had when the connection
// was opened; after that it discards them.
func (s *relay) copy(to, from net.Conn, born bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if s.stalled.Load() == born {
			_, _ = to.Write(b[:n])
		}
	}
}

// TestForwarderSilentConnectionsAreReplaced opens ten connections that then stop
// delivering bytes. One call fails with the reason silent; the next one must use a
// new connection.
func TestForwarderSilentConnectionsAreReplaced(t *testing.T) {
	s := startScriptedServer(t, echoIDs)
	r := startRelay(t, startDaemon(t, s.address))
	forward := forwardTo(t, r.address)
	var tasks sync.WaitGroup
	for n := range 10 {
		tasks.Go(func() {
			if _, err := forward(context.Background(), request(fmt.Sprint(n), true)); err != nil {
				t.Error(err)
			}
		})
	}
	tasks.Wait()
	r.stalled.Store(true)
	first := request("a", true)
	_, err := forward(context.Background(), first)
	if f := failureOf(t, err); f.Reason != call.Silent || f.Verdict != mayHaveRun {
		t.Fatalf("got %v", f)
	}
	answer, err := forward(context.Background(), request("b", true))
	if err != nil || string(answer.Body) != "b" {
		t.Fatalf("call after the one that failed as silent: got %v, %v; want body \"b\"", answer, err)
	}
}

func TestForwarderLongCallOverWorkingConnectionSucceeds(t *testing.T) {
	s := startScriptedServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		time.Sleep(3 * callhttp.DefaultInactivityTimeout)
		_, _ = io.WriteString(c, ok)
	})
	if _, err := forwardTo(t, startDaemon(t, s.address))(context.Background(), request("1", true)); err != nil {
		t.Fatal(err)
	}
}

func TestForwarderURIIsUnchanged(t *testing.T) {
	uri := make(chan string, 1)
	s := startScriptedServer(t, func(_ *scriptedServer, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		uri <- req.RequestURI
		_, _ = io.WriteString(c, ok)
	})
	r := request("1", false)
	r.URI = "/places//a/../b%2Fc?q=%D9%82&x"
	if _, err := forwardTo(t, startDaemon(t, s.address))(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	if got := <-uri; got != r.URI {
		t.Errorf("got %s, want %s", got, r.URI)
	}
}
