package callhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/backendhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/mesh/call"
)

// TestCallerHandlerDepthIsIncremented checks the depth that a backend server
// receives, and that an invalid depth is refused.
func TestCallerHandlerDepthIsIncremented(t *testing.T) {
	for _, c := range []struct {
		sent, want string
		status     int
	}{
		{"", "1", fasthttp.StatusOK},
		{"0", "1", fasthttp.StatusOK},
		{"18", "19", fasthttp.StatusOK},
		{"65", "", fasthttp.StatusBadRequest},
		{"-1", "", fasthttp.StatusBadRequest},
		{"many", "", fasthttp.StatusBadRequest},
	} {
		t.Run(c.sent, func(t *testing.T) {
			got := make(chan string, 1)
			s := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				got <- req.Header.Get(callhttp.HeaderDepth)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			})
			b := &backendhttp.Client{}
			defer b.Close()
			b.SetAddress(s.address)
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("/search")
			req.SetHost("lookup")
			if c.sent != "" {
				req.Header.Set(callhttp.HeaderDepth, c.sent)
			}
			(&callhttp.CallerHandler{Handler: b}).Handle(context.Background(), &req, &resp)
			if resp.StatusCode() != c.status {
				t.Fatalf("status %d, want %d", resp.StatusCode(), c.status)
			}
			if c.want == "" {
				if v := string(resp.Header.Peek(callhttp.HeaderVerdict)); v != call.NotRun.String() {
					t.Errorf("verdict %q, want not-run", v)
				}
				return
			}
			if d := <-got; d != c.want {
				t.Errorf("backend server received depth %q, want %q", d, c.want)
			}
		})
	}
}
