package callhttp_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/idempotency"
	"fescuehoist.example/standin/rawserver"
)

// Guards against a part of an answer that is taken for a whole one: a daemon breaks off
// its answer while the body of a call or of a control message is still being written.
func TestForwarderAnswerOfDaemonBrokenOffDuringUploadIsNoAnswer(t *testing.T) {
	const rounds, bodySize = 5, 8 << 20
	for name, text := range map[string]string{
		"without length": strings.Replace(answerOfDaemon, "Content-Length: 2\r\n", "", 1),
		"in the length":  strings.TrimSuffix(answerOfDaemon, "}"),
		"in the chunks":  strings.Replace(answerOfDaemon, "Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", 1),
	} {
		for ending, e := range rawserver.Breaks {
			t.Run(name+", "+ending, func(t *testing.T) {
				daemon := rawserver.StartAnswers(t, func(r *http.Request) rawserver.Answer {
					answer := rawserver.Answer{Text: strings.Replace(text, "NUMBER", r.Header.Get("F-Call"), 1), Early: true, Ending: e}
					if r.Header.Get("Expect") != "" {
						answer.Text = "HTTP/1.1 100 Continue\r\n\r\n" + answer.Text
					}
					return answer
				})
				f := callhttp.NewForwarder(nil)
				defer f.Close()
				// The exchange ends with its connection however busy the machine is.
				f.InactivityTimeout = 0
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				forward := func(askFirst bool) error {
					r := request("1", false)
					r.Body, r.AskFirst = make([]byte, bodySize), askFirst
					_, err := f.Forward(ctx, daemon.Address(), r)
					return err
				}
				transfers := []idempotency.Transfer{{ID: idempotency.ID{Key: strings.Repeat("k", bodySize)}}}
				for exchange, run := range map[string]func() error{
					"call":            func() error { return forward(false) },
					"call that asks":  func() error { return forward(true) },
					"control message": func() error { return f.Import(ctx, daemon.Address(), transfers) },
				} {
					for range rounds {
						err := run()
						if err == nil {
							t.Fatalf("%s: a part of an answer was taken for a whole one", exchange)
						}
						// The connection may end before the body that was asked for is sent.
						if failure := failureOf(t, err); failure.Reason != call.Cut || (failure.Verdict != mayHaveRun && exchange != "call that asks") {
							t.Errorf("%s: got %v, want %s, %s", exchange, failure, mayHaveRun, call.Cut)
						}
					}
				}
			})
		}
	}
}
