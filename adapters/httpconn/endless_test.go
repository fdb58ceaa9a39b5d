package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
)

// startEndlessServer starts a server that answers each request with a start and
// then the same bytes again and again until the caller closes. It returns the
// address and the number of bytes written.
func startEndlessServer(t *testing.T, start, repeated string) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	written := &atomic.Int64{}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					var n int
					n, err = io.WriteString(c, repeated)
					written.Add(int64(n))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		connections.Wait()
	})
	return ln.Addr().String(), written
}

func TestPoolEndlessAnswersStayWithinBudget(t *testing.T) {
	const (
		calls  = 8
		budget = 4 << 20
		// inFlight allows for the buffers of a connection's two ends.
		inFlight = 8 << 20
	)
	block := strings.Repeat("x", 64<<10)
	for name, answer := range map[string][2]string{
		"no answer":                {"", block},
		"header field":             {"HTTP/1.1 200 OK\r\nX: ", block},
		"header fields":            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"empty lines":              {"", "\r\n"},
		"interim answers":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without length":      {"HTTP/1.1 200 OK\r\n\r\n", block},
		"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
		"chunk extension":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
		"trailer":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"body of declared length":  {"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n", block},
		"body of excessive length": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", block},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := startEndlessServer(t, answer[0], answer[1])
			pool := httpconn.NewPool(address, nil)
			defer pool.Close()
			pool.SetAnswerBudget(httpconn.NewBudget(budget))
			var tasks sync.WaitGroup
			for range calls {
				tasks.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					defer cancel()
					req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
					defer fasthttp.ReleaseRequest(req)
					defer fasthttp.ReleaseResponse(resp)
					req.SetRequestURI("/")
					req.Header.SetHost("lookup")
					if err := pool.DoWith(ctx, req, resp, httpconn.Options{AllowCloseDelimited: true}); err == nil {
						t.Error("an answer without end was taken for a whole one")
					}
					if ctx.Err() != nil {
						t.Error("an answer without end lasted until the deadline")
					}
				})
			}
			tasks.Wait()
			if got, most := written.Load(), int64(budget+calls*inFlight); got > most {
				t.Errorf("%d bytes read of %d answers without end, want at most %d", got, calls, most)
			}
		})
	}
}

func TestPoolAnswersWithinBudgetAreRead(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	pool := httpconn.NewPool(ln.Addr().String(), nil)
	defer pool.Close()
	pool.SetAnswerBudget(httpconn.NewBudget(2 << 20))
	for range 10 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("/")
		req.Header.SetHost("lookup")
		if err := pool.Do(t.Context(), req, resp); err != nil || string(resp.Body()) != body {
			t.Fatalf("body of %d bytes, error %v; want %d bytes: the budget of an ended answer is free again", len(resp.Body()), err, len(body))
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}
