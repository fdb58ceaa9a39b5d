package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// gatedHandler answers a request with its path once the channel of that path is
// closed.
type gatedHandler struct {
	started chan string
	gates   map[string]chan struct{}
}

func newGatedHandler(paths ...string) *gatedHandler {
	g := &gatedHandler{started: make(chan string, 16), gates: map[string]chan struct{}{}}
	for _, p := range paths {
		g.gates[p] = make(chan struct{})
	}
	return g
}

func (g *gatedHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	path := string(req.Header.RequestURI())
	g.started <- path
	select {
	case <-g.gates[path]:
	case <-ctx.Done():
	}
	resp.SetBodyString(path)
}

func (g *gatedHandler) Refuse(_ *fasthttp.Request, resp *fasthttp.Response, _ error) {
	resp.SetBodyString("crowded")
}

func (g *gatedHandler) RejectMalformed(*fasthttp.Response) {}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readResponse returns the body of the next answer and whether the answer ends the
// connection.
func readResponse(t *testing.T, r *bufio.Reader) (string, bool) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body), resp.Close
}

func TestServerPipelinedRequestsRunConcurrentlyInOrder(t *testing.T) {
	g := newGatedHandler("/1", "/2", "/3")
	_, address := startServer(t, g)
	c := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for range 3 {
		<-g.started
	}
	close(g.gates["/3"])
	close(g.gates["/2"])
	close(g.gates["/1"])
	r := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2", "/3"} {
		if got, _ := readResponse(t, r); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestServerDrainKeepsConnectionUntilLastRequest(t *testing.T) {
	g := newGatedHandler("/1", "/2")
	s, address := startServer(t, g)
	c := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/1")+getRequest("/2"))
	<-g.started
	<-g.started
	s.Drain()
	close(g.gates["/1"])
	r := bufio.NewReader(c)
	if got, last := readResponse(t, r); got != "/1" || last {
		t.Errorf("got %s, last %v; want /1, not last while /2 runs", got, last)
	}
	close(g.gates["/2"])
	if got, last := readResponse(t, r); got != "/2" || !last {
		t.Errorf("got %s, last %v; want /2, last", got, last)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("connection is still open after the last answer")
	}
}

// flakyListener fails the first calls of Accept, as when descriptors run out.
type flakyListener struct {
	net.Listener
	failures atomic.Int32
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, errors.New("accept4: too many open files")
	}
	return f.Listener.Accept()
}

func TestServerAcceptErrorIsRetried(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &flakyListener{Listener: inner}
	ln.failures.Store(3)
	s := NewServer(echoHandler{}, 0)
	var seen atomic.Int32
	s.OnAcceptError(func(error) { seen.Add(1) })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, ln) }()
	c := dial(t, inner.Addr().String())
	_, _ = io.WriteString(c, getRequest("/"))
	readResponse(t, bufio.NewReader(c))
	if seen.Load() != 3 {
		t.Errorf("error handler was called %d times, want 3", seen.Load())
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestServerRequestAfterLastIsNotHandled(t *testing.T) {
	g := newGatedHandler("/1", "/2")
	_, address := startServer(t, g)
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+getRequest("/2"))
	<-g.started
	close(g.gates["/1"])
	if _, last := readResponse(t, bufio.NewReader(c)); !last {
		t.Error("answer does not end the connection")
	}
	select {
	case path := <-g.started:
		t.Errorf("%s was handled, want it not read", path)
	case <-time.After(50 * time.Millisecond):
	}
}

// startAnsweringServer serves one connection: it reads n bytes of a request, then
// answers with text, and reads on once resume is closed. It returns a pool of
// connections to itself.
func startAnsweringServer(t *testing.T, n int, text string, resume <-chan struct{}) *Pool {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c, int64(n))
		_, _ = io.WriteString(c, text)
		<-resume
		// Discard the rest of the request until the caller closes the connection.
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	p := NewPool(ln.Addr().String(), nil)
	t.Cleanup(p.Close)
	return p
}

func TestPoolAnswerBeforeLongBodyIsReadClosesConnection(t *testing.T) {
	resume := make(chan struct{})
	defer close(resume)
	p := startAnsweringServer(t, 100, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", resume)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("/")
	req.Header.SetHost("a")
	req.Header.SetMethod("POST")
	// The body exceeds what the buffers of both sockets hold.
	req.SetBodyString(strings.Repeat("b", 64<<20))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := p.Do(ctx, req, resp); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode() != 413 || len(p.idle) > 0 {
		t.Errorf("status %d, %d idle connections; want 413, 0", resp.StatusCode(), len(p.idle))
	}
}

// TestServerLongHeaderIsReadCompletely sends headers around the sizes of the
// buffers, each followed by the next request.
func TestServerLongHeaderIsReadCompletely(t *testing.T) {
	_, address := startServer(t, echoHandler{})
	c := dial(t, address)
	r := bufio.NewReader(c)
	for _, size := range []int{100, requestBufferSize - 60, requestBufferSize, requestBufferSize + 1, 3 * requestBufferSize, 100, MaxHeaderSize - 200} {
		request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nX-Long: " + strings.Repeat("x", size) + "\r\n\r\nabc"
		if _, err := io.WriteString(c, request+request); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("header of %d bytes: %v", size, err)
			}
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != 200 || string(body) != "abc" {
				t.Fatalf("header of %d bytes: status %d, body %q", size, resp.StatusCode, body)
			}
		}
	}
}
