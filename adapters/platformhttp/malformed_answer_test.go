package platformhttp_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/standin/rawserver"
)

func TestClientMalformedAnswerIsNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n" + `{"key":"a/b","version":2,"value":1}`
	for name, answer := range map[string]string{
		"status 000":      strings.Replace(answer, "200", "000", 1),
		"blank in name":   strings.Replace(answer, "Content-Length", "X Y: z\r\nContent-Length", 1),
		"tab before name": strings.Replace(answer, "Content-Length", "X: y\r\n\tZ: z\r\nContent-Length", 1),
	} {
		t.Run(name, func(t *testing.T) {
			server := rawserver.Start(t, func(*http.Request) string { return answer })
			client := platformhttp.NewClient(server.Address())
			defer client.Close()
			var reported []string
			client.OnMalformed(func(address string, err *httpconn.MalformedError) {
				reported = append(reported, address+": "+err.Error())
			})
			if o, err := client.Get(t.Context(), "a/b"); err == nil {
				t.Errorf("get: got %v, want an error", o)
			}
			if version, err := client.Put(t.Context(), "a/b", 1, 0); !errors.Is(err, manifest.ErrOutcomeUnknown) {
				t.Errorf("put: got version %d, error %v; want %v", version, err, manifest.ErrOutcomeUnknown)
			}
			if len(reported) != 2 || !strings.HasPrefix(reported[1], server.Address()) || !strings.Contains(reported[1], "expected") {
				t.Errorf("reported %q, want two malformed answers of %s", reported, server.Address())
			}
			if n := server.Connections(); n != 2 {
				t.Errorf("two malformed answers took %d connections, want 2", n)
			}
		})
	}
}
