package platformhttp_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/standin/rawserver"
)

// Guards against a part of an answer that is taken for a whole one: the platform breaks
// off its answer to a read, or to a write that is still being sent.
func TestClientAnswerBrokenOffIsNoAnswer(t *testing.T) {
	const rounds, bodySize = 5, 8 << 20
	const object = `{"key":"a/b","version":2,"value":1}`
	for name, text := range map[string]string{
		// The part is valid JSON, as that of a whole answer.
		"without length": "HTTP/1.1 200 OK\r\n\r\n" + object,
		"in the length":  "HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n" + object,
		"in the chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n" + object + "\r\n",
	} {
		for ending, e := range rawserver.Breaks {
			t.Run(name+", "+ending, func(t *testing.T) {
				server := rawserver.StartAnswers(t, func(*http.Request) rawserver.Answer {
					return rawserver.Answer{Text: text, Early: true, Ending: e}
				})
				client := platformhttp.NewClient(server.Address())
				defer client.Close()
				value := strings.Repeat("v", bodySize)
				for range rounds {
					if o, err := client.Get(t.Context(), "a/b"); err == nil {
						t.Fatalf("get: got version %d, want an error", o.Version)
					}
					if version, err := client.Put(t.Context(), "a/b", value, 0); !errors.Is(err, manifest.ErrOutcomeUnknown) {
						t.Fatalf("put: got version %d, error %v; want %v", version, err, manifest.ErrOutcomeUnknown)
					}
				}
			})
		}
	}
}
