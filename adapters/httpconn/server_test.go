package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

type echoHandler struct{ canceled chan struct{} }

func (h echoHandler) Handle(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	if string(req.Header.Peek("X-Wait")) != "" {
		<-ctx.Done()
		close(h.canceled)
		return
	}
	resp.SetBody(req.Body())
}

func (echoHandler) Refuse(_ *fasthttp.Request, resp *fasthttp.Response, _ error) {
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.SetBodyString("crowded")
}

func (echoHandler) RejectMalformed(resp *fasthttp.Response) { resp.Header.Set("X-Refused", "yes") }

func startServer(t *testing.T, h Handler) (*Server, string) {
	t.Helper()
	return startLimitedServer(t, h, DefaultMaxConnections, 0)
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func TestServerMalformedRequestIsRefused(t *testing.T) {
	_, address := startServer(t, echoHandler{})
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, text := range map[string]string{
		"both lengths":      start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding and length": start + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
		"two lengths":       start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"negative length":   start + "Content-Length: -4\r\n\r\n",
		"length with sign":  start + "Content-Length: +4\r\n\r\nabcd",
		"length in words":   start + "Content-Length: four\r\n\r\n",
		"identity":          start + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nabcd",
		"identity alone":    start + "Transfer-Encoding: identity\r\n\r\n",
		"two codings":       start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"hidden coding":     start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"bad chunk":         start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"no request":        "hello\r\n\r\n",
		"long header":       start + "X-Long: " + strings.Repeat("a", MaxHeaderSize) + "\r\n\r\n",
		"long body":         start + "Content-Length: 99999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			_, _ = io.WriteString(c, text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode < 400 || resp.Header.Get("X-Refused") == "" || !resp.Close {
				t.Errorf("got status %d, close %v; want an error marked X-Refused that closes the connection", resp.StatusCode, resp.Close)
			}
		})
	}
}

func TestServerBodyIsUnchanged(t *testing.T) {
	_, address := startServer(t, echoHandler{})
	body := "--x\r\nContent-Disposition: form-data;   name=\"a\"\r\n\r\n1\r\n--x--\r\nepilogue"
	resp, err := http.Post("http://"+address+"/", "multipart/form-data; boundary=x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, _ := io.ReadAll(resp.Body); string(got) != body {
		t.Errorf("got %q, want %q", got, body)
	}
}

func TestServerDisconnectCancelsPipelinedRequest(t *testing.T) {
	h := echoHandler{canceled: make(chan struct{})}
	_, address := startServer(t, h)
	c := dial(t, address)
	const one = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n"
	_, _ = io.WriteString(c, one+"1"+one+"2"+"GET / HTTP/1.1\r\nHost: a\r\nX-Wait: 1\r\n\r\n"+one+"3")
	r := bufio.NewReader(c)
	for _, want := range []string{"1", "2"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(resp.Body); string(got) != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	_ = c.Close()
	select {
	case <-h.canceled:
	case <-time.After(20 * time.Second):
		t.Error("handler context was not canceled when the caller disconnected")
	}
}

func TestServerDrainMarksLastAnswer(t *testing.T) {
	s, address := startServer(t, echoHandler{})
	c := dial(t, address)
	r := bufio.NewReader(c)
	for _, last := range []bool{false, true} {
		if last {
			s.Drain()
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Close != last {
			t.Errorf("answer announces close: %v, want %v", resp.Close, last)
		}
	}
}

func FuzzReadRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nb", "\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		r := bufio.NewReaderSize(strings.NewReader(string(in)), MaxHeaderSize)
		if readRequest(r, bufio.NewWriter(io.Discard), req, &bodyAccount{max: MaxRequestSize}, func(int) error { return nil }) == nil && len(req.Body()) > len(in) {
			t.Errorf("got a body of %d bytes from an input of %d bytes", len(req.Body()), len(in))
		}
	})
}

// signalingConn tells when a read begins.
type signalingConn struct {
	net.Conn
	reads chan struct{}
}

func (c *signalingConn) Read(b []byte) (int, error) {
	c.reads <- struct{}{}
	return c.Conn.Read(b)
}

// Guards against a stop that waits for a connection until its idle timeout. The server
// stops when the answer is being written and its request still counts as being read; then
// the wait for the next request begins, before the answer is written.
func TestServerStopEndsConnectionWhoseAnswerIsBeingWritten(t *testing.T) {
	client, conn := net.Pipe()
	defer client.Close()
	reads := make(chan struct{}, 1)
	server := NewServer(echoHandler{}, 0)
	n := newSession(server, &signalingConn{conn, reads})
	n.cancel = func() {}
	if !server.add(n) {
		t.Fatal("the server does not take the connection")
	}
	n.reading = true
	x := newExchange(server)
	if !n.enqueue(x) {
		t.Fatal("the connection does not take the request")
	}
	written, ended := make(chan struct{}), make(chan bool, 1)
	go func() {
		defer close(written)
		n.deliver(x)
	}()
	// The answer is written until the client has read all of it.
	r := bufio.NewReaderSize(client, 16)
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	server.closeIdle()
	go func() { ended <- n.awaitRequest() }()
	<-reads
	if _, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	}
	<-written
	select {
	case hasRequest := <-ended:
		if hasRequest {
			t.Error("got a request, want the end of the connection")
		}
	case <-time.After(20 * time.Second):
		t.Error("the connection waits for another request")
		_ = n.Close()
	}
}

// Guards against a stop that waits for the idle timeout: a connection whose answer was
// written, but which does not wait for the next request yet, was neither idle nor in use.
func TestServerStopDoesNotWaitForConnectionThatWasJustAnswered(t *testing.T) {
	for range 300 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		server := NewServer(echoHandler{}, 0)
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx, ln) }()
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		stop()
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(IdleTimeout / 2):
			t.Fatal("the server still runs half the idle timeout after its end")
		}
		_ = c.Close()
	}
}
