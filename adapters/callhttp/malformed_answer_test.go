package callhttp_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/idempotency"
	"fescuehoist.example/standin/rawserver"
)

// answerOfDaemon is an answer of another daemon; NUMBER stands for that of the request.
const answerOfDaemon = "HTTP/1.1 200 OK\r\nF-Call: NUMBER\r\nFescuehoist-Verdict: ran\r\nContent-Length: 2\r\n\r\n{}"

func TestForwarderMalformedAnswerOfDaemonIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":      strings.Replace(answerOfDaemon, "200", "000", 1),
		"blank in name":   strings.Replace(answerOfDaemon, "Content-Length", "X Y: z\r\nContent-Length", 1),
		"tab before name": strings.Replace(answerOfDaemon, "Content-Length", "\tX: y\r\nContent-Length", 1),
	} {
		t.Run(name, func(t *testing.T) {
			daemon := rawserver.Start(t, func(r *http.Request) string {
				return strings.Replace(answer, "NUMBER", r.Header.Get("F-Call"), 1)
			})
			f := callhttp.NewForwarder(nil)
			defer f.Close()
			var reported []string
			f.OnMalformed = func(address string, err *httpconn.MalformedError) {
				reported = append(reported, address+": "+err.Error())
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			for exchange, run := range map[string]func() error{
				"call":            func() error { _, err := f.Forward(ctx, daemon.Address(), request("1", false)); return err },
				"control message": func() error { _, err := f.Await(ctx, daemon.Address(), idempotency.ID{}); return err },
			} {
				reported = nil
				if failure := failureOf(t, run()); failure.Verdict != mayHaveRun || failure.Reason != call.Cut {
					t.Errorf("%s: got %v, want %s, %s", exchange, failure, mayHaveRun, call.Cut)
				}
				if len(reported) != 1 || !strings.HasPrefix(reported[0], daemon.Address()) || !strings.Contains(reported[0], "expected") {
					t.Errorf("%s: reported %q, want one malformed answer of %s", exchange, reported, daemon.Address())
				}
			}
			if n := daemon.Connections(); n != 2 {
				t.Errorf("two malformed answers took %d connections, want 2", n)
			}
		})
	}
}
