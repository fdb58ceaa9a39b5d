package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
)

// cutServer answers each request with the bytes that next returns and closes the
// connection, with a reset if it returns true.
func cutServer(t *testing.T, next func() (string, bool)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				text, reset := next()
				_, _ = io.WriteString(c, text)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// An answer that ends early must not become a complete one with an empty or short
// body, wherever it ends: in its head, its body or the end of its chunks.
func TestPoolAnswerThatEndsEarlyIsNoAnswer(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nX-Seal: ab.1\r\nContent-Type: text/plain\r\n"
	for _, c := range []struct {
		name, answer string
		reset        bool
	}{
		{name: "length declared", answer: fields + "Content-Length: 12\r\n\r\nhello, world"},
		{name: "chunked", answer: fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{name: "chunked with trailer", answer: fields + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nSum: 7\r\n\r\n"},
		{name: "ends with its connection, cut in the head", answer: fields + "\r\n"},
		{name: "ends with its connection, reset", answer: fields + "\r\nhello", reset: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			address := cutServer(t, func() (string, bool) { return c.answer[:sent.Load()], c.reset })
			pool := httpconn.NewPool(address, nil)
			defer pool.Close()
			for length := range len(c.answer) {
				sent.Store(int64(length))
				req, resp := &fasthttp.Request{}, &fasthttp.Response{}
				req.SetRequestURI("http://a/")
				err := pool.DoWith(context.Background(), req, resp, httpconn.Options{AllowCloseDelimited: strings.HasPrefix(c.name, "ends")})
				if err == nil {
					t.Errorf("answer cut after %d of %d bytes (%.60q): got status %d with body %q, want an error",
						length, len(c.answer), c.answer[max(length-60, 0):length], resp.StatusCode(), resp.Body())
				}
			}
		})
	}
}
