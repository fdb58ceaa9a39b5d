package httpconn_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/standin/rawserver"
)

// startRawServer answers each request with the same bytes.
func startRawServer(t *testing.T, answer string) *rawserver.Server {
	t.Helper()
	return rawserver.Start(t, func(*http.Request) string { return answer })
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
	"status 000":                 "HTTP/1.1 000 OK\r\n" + soundEnd,
	"status 099":                 "HTTP/1.1 099 OK\r\n" + soundEnd,
	"status 600":                 "HTTP/1.1 600 OK\r\n" + soundEnd,
	"status 999":                 "HTTP/1.1 999 OK\r\n" + soundEnd,
	"status of two digits":       "HTTP/1.1 20 OK\r\n" + soundEnd,
	"status of four digits":      "HTTP/1.1 2000 OK\r\n" + soundEnd,
	"status with a sign":         "HTTP/1.1 +20 OK\r\n" + soundEnd,
	"status with a letter":       "HTTP/1.1 2O0 OK\r\n" + soundEnd,
	"no status":                  "HTTP/1.1 OK\r\n" + soundEnd,
	"no blank after the status":  "HTTP/1.1 200\r\n" + soundEnd,
	"two blanks before status":   "HTTP/1.1  200 OK\r\n" + soundEnd,
	"tab before status":          "HTTP/1.1\t200 OK\r\n" + soundEnd,
	"blank before version":       " HTTP/1.1 200 OK\r\n" + soundEnd,
	"empty line before head":     "\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"version 2.0":                "HTTP/2.0 200 OK\r\n" + soundEnd,
	"version 0.9":                "HTTP/0.9 200 OK\r\n" + soundEnd,
	"version without minor":      "HTTP/1 200 OK\r\n" + soundEnd,
	"version of two digits":      "HTTP/1.10 200 OK\r\n" + soundEnd,
	"protocol in small letters":  "http/1.1 200 OK\r\n" + soundEnd,
	"another protocol":           "ICY 200 OK\r\n" + soundEnd,
	"control byte in reason":     "HTTP/1.1 200 O\x01K\r\n" + soundEnd,
	"NUL in reason":              "HTTP/1.1 200 O\x00K\r\n" + soundEnd,
	"CR in reason":               "HTTP/1.1 200 O\rK\r\n" + soundEnd,
	"LF ends the status line":    "HTTP/1.1 200 OK\n" + soundEnd,
	"LF ends a field":            "HTTP/1.1 200 OK\r\nX: y\n" + soundEnd,
	"LF ends the head":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok\r\n\r\n",
	"two CR end a field":         "HTTP/1.1 200 OK\r\nX: y\r\r\n" + soundEnd,
	"blank in name":              "HTTP/1.1 200 OK\r\nX Y: z\r\n" + soundEnd,
	"blank in name of length":    "HTTP/1.1 200 OK\r\nContent Length: 2\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	"blank after name":           "HTTP/1.1 200 OK\r\nX : y\r\n" + soundEnd,
	"blank after name of length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"blank after name of coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank before first name":    "HTTP/1.1 200 OK\r\n X: y\r\n" + soundEnd,
	"blank before later name":    "HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n" + soundEnd,
	"blank before length":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n Content-Length: 1\r\n\r\nok",
	"tab before name":            "HTTP/1.1 200 OK\r\nX: y\r\n\tZ: z\r\n" + soundEnd,
	"tab in name":                "HTTP/1.1 200 OK\r\nX\tY: z\r\n" + soundEnd,
	"tab after name":             "HTTP/1.1 200 OK\r\nX\t: z\r\n" + soundEnd,
	"control byte in name":       "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n" + soundEnd,
	"NUL in name":                "HTTP/1.1 200 OK\r\nX\x00: z\r\n" + soundEnd,
	"CR in name":                 "HTTP/1.1 200 OK\r\nX\rY: z\r\n" + soundEnd,
	"LF in name":                 "HTTP/1.1 200 OK\r\nX\nY: z\r\n" + soundEnd,
	"DEL in name":                "HTTP/1.1 200 OK\r\nX\x7fY: z\r\n" + soundEnd,
	"high byte in name":          "HTTP/1.1 200 OK\r\nX\xe9Y: z\r\n" + soundEnd,
	"delimiter in name":          "HTTP/1.1 200 OK\r\nX(Y): z\r\n" + soundEnd,
	"empty name":                 "HTTP/1.1 200 OK\r\n: z\r\n" + soundEnd,
	"blank as name":              "HTTP/1.1 200 OK\r\n : z\r\n" + soundEnd,
	"no colon":                   "HTTP/1.1 200 OK\r\nXY\r\n" + soundEnd,
	"line of blanks":             "HTTP/1.1 200 OK\r\nX: y\r\n  \r\n" + soundEnd,
	"folded value":               "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + soundEnd,
	"control byte in value":      "HTTP/1.1 200 OK\r\nX: y\x01z\r\n" + soundEnd,
	"NUL in value":               "HTTP/1.1 200 OK\r\nX: y\x00z\r\n" + soundEnd,
	"CR in value":                "HTTP/1.1 200 OK\r\nX: y\rz\r\n" + soundEnd,
	"DEL in value":               "HTTP/1.1 200 OK\r\nX: y\x7fz\r\n" + soundEnd,
	"no value of length":         "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
	"length with a sign":         "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"length with a blank":        "HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\nok",
	"length in hexadecimal":      "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
	"two lengths":                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
	"two lengths in one field":   "HTTP/1.1 200 OK\r\nContent-Length: 2, 1\r\n\r\nok",
	"length beyond 64 bits":      "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\nok",
	"two codings":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unknown coding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n" + soundEnd,
	"chunked before another":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, x\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding in version 1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding in version 1.0 kept": "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\ntransfer-encoding: chunked\r\n" + soundEnd,
	"coding in version 1.2":      "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"interim status 000":         "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"interim status 042":         "HTTP/1.1 042 \r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"blank in interim name":      "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"control byte interim name":  "HTTP/1.1 103 Hints\r\nX\x01: z\r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"folded interim value":       "HTTP/1.1 103 Hints\r\nX: y\r\n\tz\r\n\r\nHTTP/1.1 200 OK\r\n" + soundEnd,
	"body of interim answer":     "HTTP/1.1 100 Go\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n" + soundEnd,
	"blank in trailer name":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	"blank after trailer name":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : z\r\n\r\n",
	"blank before trailer name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n Z: z\r\n\r\n",
	"control byte trailer name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01: z\r\n\r\n",
	"control byte trailer value": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: \x01\r\n\r\n",
	"LF ends a trailer field":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\n\r\n",
	"no colon in trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nXY\r\n\r\n",
	"no answer":                  "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"no answer, blank":           "oops oops oops",
	"no answer, lines":           "<html>\r\n<body>oops</body>\r\n</html>\r\n\r\n",
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

type fields map[string]string

func fieldsOf(resp *fasthttp.Response) fields {
	got := fields{}
	for name, value := range resp.Header.All() {
		got[string(name)] = string(value)
	}
	return got
}

func TestPoolSoundAnswerIsUnchanged(t *testing.T) {
	const highBytes = "caf\xe9 \xc3\xa9 \x80\xff"
	for _, c := range []struct {
		name, method, answer, body string
		status                     int
		fields                     fields
		// closes is true for an answer that ends its connection.
		closes bool
	}{
		{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2"}},
		{name: "empty reason", answer: "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2"}},
		{name: "reason with tab and high bytes", answer: "HTTP/1.1 200 all\tis  " + highBytes + "\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2"}},
		{name: "lowest final status", answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status: 200, fields: fields{"Content-Length": "0"}},
		{name: "highest status", answer: "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", status: 599, body: "ok", fields: fields{"Content-Length": "2"}},
		{name: "unregistered status", answer: "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok", status: 299, body: "ok", fields: fields{"Content-Length": "2"}},
		{name: "value with tab and high bytes", answer: "HTTP/1.1 200 OK\r\nX: a\tb  " + highBytes + "\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok",
			fields: fields{"Content-Length": "2", "X": "a\tb  " + highBytes}},
		{name: "white space around values", answer: "HTTP/1.1 200 OK\r\nX:\t y \t\r\nContent-Length:2 \r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2", "X": "y"}},
		{name: "empty value", answer: "HTTP/1.1 200 OK\r\nX:\r\nY: \t\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2", "X": "", "Y": ""}},
		{name: "colons in value", answer: "HTTP/1.1 200 OK\r\nX: a: b:c\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2", "X": "a: b:c"}},
		{name: "all characters of a name", answer: "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09az: y\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok",
			fields: fields{"Content-Length": "2", "X!#$%&'*+-.^_`|~09az": "y"}},
		{name: "no content", answer: "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", status: 204, fields: fields{"X": "y"}},
		{name: "not modified", answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 40\r\n\r\n", status: 304, fields: fields{"Content-Length": "40"}},
		{name: "to HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n", status: 200, fields: fields{"Content-Length": "40"}},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;a=b\r\nk\r\n0\r\n\r\n", status: 200, body: "ok", fields: fields{"Transfer-Encoding": "chunked"}},
		{name: "chunks with trailers", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\tb " + highBytes + "\r\nSet-Cookie: a=b\r\nY:\r\n\r\n", status: 200, body: "ok",
			fields: fields{"Transfer-Encoding": "chunked"}},
		{name: "interim answers", answer: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.0 102 P\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok",
			fields: fields{"Content-Length": "2"}},
		{name: "to be closed", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", status: 200, body: "ok",
			fields: fields{"Content-Length": "2", "Connection": "close"}, closes: true},
		{name: "version 1.0", answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2", "Connection": "close"}, closes: true},
		{name: "version 1.0 kept", answer: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok",
			fields: fields{"Content-Length": "2", "Connection": "keep-alive"}},
		{name: "version 1.2", answer: "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", fields: fields{"Content-Length": "2", "Connection": "close"}, closes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.method == "" {
				c.method = "GET"
			}
			s := startRawServer(t, c.answer)
			pool := httpconn.NewPool(s.Address(), nil)
			defer pool.Close()
			for range 2 {
				resp, err := exchange(t, pool, c.method)
				if err != nil {
					t.Fatal(err)
				}
				got := fieldsOf(resp)
				if resp.StatusCode() != c.status || string(resp.Body()) != c.body || !cmp.Equal(got, c.fields) {
					t.Errorf("got status %d, body %q, fields %q; want %d, %q, %q", resp.StatusCode(), resp.Body(), got, c.status, c.body, c.fields)
				}
			}
			if want := map[bool]int{false: 1, true: 2}[c.closes]; s.Connections() != want {
				t.Errorf("two answers took %d connections, want %d", s.Connections(), want)
			}
		})
	}
}

// An answer without a length ends with its connection.
func TestPoolSoundAnswerWithoutLengthIsUnchanged(t *testing.T) {
	address := cutServer(t, func() (string, bool) { return "HTTP/1.1 200 \r\nX: y\r\n\r\nto the end\r\n\r\n", false })
	pool := httpconn.NewPool(address, nil)
	defer pool.Close()
	resp, err := exchange(t, pool, "GET")
	if err != nil || resp.StatusCode() != 200 || string(resp.Body()) != "to the end\r\n\r\n" || !strings.Contains(resp.Header.String(), "X: y\r\n") {
		t.Errorf("got %v, error %v; want the status, field and body of the answer", resp, err)
	}
}

// The chunks of an answer whose version has none are not its body.
func TestPoolChunksOfEarlierVersionAreNoBody(t *testing.T) {
	address := cutServer(t, func() (string, bool) {
		return "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false
	})
	pool := httpconn.NewPool(address, nil)
	defer pool.Close()
	if resp, err := exchange(t, pool, "GET"); err == nil {
		t.Errorf("got the answer %d with body %q, want an error", resp.StatusCode(), resp.Body())
	}
}
