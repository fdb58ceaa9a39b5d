package httpconn_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/standin/rawserver"
)

// startRawServer answers each request with the same bytes.
func startRawServer(t *testing.T, answer string) *rawserver.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := rawserver.Start(ln, func(*http.Request) string { return answer })
	t.Cleanup(s.Close)
	return s
}

// exchange makes one exchange with a method over a pool.
func exchange(t *testing.T, pool *httpconn.Pool, method string) (*fasthttp.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("/")
	req.Header.SetHost("lookup")
	return resp, pool.DoWith(ctx, req, resp, httpconn.Options{AllowCloseDelimited: true})
}

// soundEnd completes a head that declares no length.
const soundEnd = "Content-Length: 2\r\n\r\nok"

// malformedAnswers are answers that the grammar of HTTP/1.1 does not allow, each with
// a part that a lenient reader could take for a whole answer.
var malformedAnswers = map[string]string{
	"status 000":                "HTTP/1.1 000 OK\r\n" + soundEnd,
	"status 099":                "HTTP/1.1 099 OK\r\n" + soundEnd,
	"status 600":                "HTTP/1.1 600 OK\r\n" + soundEnd,
	"status 999":                "HTTP/1.1 999 OK\r\n" + soundEnd,
	"status of two digits":      "HTTP/1.1 20 OK\r\n" + soundEnd,
	"status of four digits":     "HTTP/1.1 2000 OK\r\n" + soundEnd,
	"status with a sign":        "HTTP/1.1 +20 OK\r\n" + soundEnd,
	"status with a letter":      "HTTP/1.1 2O0 OK\r\n" + soundEnd,
	"no status":                 "HTTP/1.1 OK\r\n" + soundEnd,
	"no blank after the status": "HTTP/1.1 200\r\n" + soundEnd,
	"two blanks before status":  "HTTP/1.1  200 OK\r\n" + soundEnd,
	"tab before status":         "HTTP/1.1\t200 OK\r\n" + soundEnd,
	"blank before version":      " HTTP/1.1 200 OK\r\n" + soundEnd,
	"empty line before head":    "\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"version 2.0":               "HTTP/2.0 200 OK\r\n" + soundEnd,
	"version 0.9":               "HTTP/0.9 200 OK\r\n" + soundEnd,
	"version without minor":     "HTTP/1 200 OK\r\n" + soundEnd,
	"version of two digits":     "HTTP/1.10 200 OK\r\n" + soundEnd,
	"protocol in small letters": "http/1.1 200 OK\r\n" + soundEnd,
	"another protocol":          "ICY 200 OK\r\n" + soundEnd,
	"control byte in reason":    "HTTP/1.1 200 O\x01K\r\n" + soundEnd,
	"NUL in reason":             "HTTP/1.1 200 O\x00K\r\n" + soundEnd,
	"CR in reason":              "HTTP/1.1 200 O\rK\r\n" + soundEnd,
	"LF ends the status line":   "HTTP/1.1 200 OK\n" + soundEnd,
	"LF ends a field":           "HTTP/1.1 200 OK\r\nX: y\n" + soundEnd,
	"LF ends the head":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok\r\n\r\n",
	"interim status 000":        "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"interim status 042":        "HTTP/1.1 042 \r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"no answer":                 "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"no answer, blank":          "oops oops oops",
	"no answer, lines":          "<html>\r\n<body>oops</body>\r\n</html>\r\n\r\n",
}

func TestPoolMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, answer)
			pool := httpconn.NewPool(s.Address(), nil)
			defer pool.Close()
			for n := range 2 {
				resp, err := exchange(t, pool, "GET")
				var f *call.Failure
				if err == nil {
					t.Fatalf("got the answer %d with body %q, want an error", resp.StatusCode(), resp.Body())
				}
				if !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Cut {
					t.Errorf("got %v, want the verdict may-have-run and the reason cut", err)
				}
				if got := s.Connections(); got != n+1 {
					t.Errorf("%d connections after %d malformed answers, want one for each", got, n+1)
				}
			}
		})
	}
}
