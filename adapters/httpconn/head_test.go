package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Heads that are accepted are read alike by another implementation.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 404 \r\nX:\ty \r\nX: \xe9\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\tZ: z\r\n\r\n",
		"HTTP/1.1 200 OK\nX: y\n\n",
		"\r\nHTTP/1.1  200 OK\r\n: y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > answerBufferSize {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), answerBufferSize)
		resp := &fasthttp.Response{}
		resp.Header.SetNoDefaultContentType(true)
		if readHead(r, resp) != nil {
			return
		}
		head := data[:len(data)-r.Buffered()]
		lines := bytes.Count(head, []byte("\r\n"))
		if !bytes.HasSuffix(head, []byte("\r\n\r\n")) || bytes.Count(head, []byte("\n")) != lines || bytes.Count(head, []byte("\r")) != lines {
			t.Errorf("accepted the head %q, want lines that end with CR LF", head)
		}
		for name, value := range resp.Header.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
				t.Errorf("accepted the field %q: %q", name, value)
			}
		}
		other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			t.Fatalf("accepted a head that net/http does not: %v", err)
		}
		if other.StatusCode != resp.StatusCode() || other.StatusCode < 100 || other.StatusCode > 599 {
			t.Errorf("status %d, net/http reads %d", resp.StatusCode(), other.StatusCode)
		}
	})
}
