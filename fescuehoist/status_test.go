package main

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"fescuehoist.example/standin/rawserver"
)

func TestStatusOfDaemonMalformedAnswerIsAnError(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct {
		answer string
		sound  bool
	}{
		"sound":           {answer: answer, sound: true},
		"status 000":      {answer: strings.Replace(answer, "200", "000", 1)},
		"status 503":      {answer: strings.Replace(answer, "200", "503", 1)},
		"blank in name":   {answer: strings.Replace(answer, "Content-Length", "X Y: z\r\nContent-Length", 1)},
		"folded by a tab": {answer: strings.Replace(answer, "Content-Length", "X: y\r\n\tContent-Length: 1\r\nContent-Length", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			daemon := rawserver.Start(t, func(*http.Request) string { return c.answer })
			var out bytes.Buffer
			err := (&statusCommand{Daemon: daemon.Address()}).Run(t.Context(), &output{&out})
			if (err == nil) != c.sound || (out.String() == "{}") != c.sound {
				t.Errorf("printed %q, error %v; want the state of the daemon: %v", out.String(), err, c.sound)
			}
		})
	}
}

// Guards against a part of an answer that is printed as the state of a daemon.
func TestStatusOfDaemonAnswerBrokenOffIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"without length": "HTTP/1.1 200 OK\r\n\r\n{}",
		"in the length":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
		"in the chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	} {
		for ending, e := range rawserver.Breaks {
			t.Run(name+", "+ending, func(t *testing.T) {
				daemon := rawserver.StartAnswers(t, func(*http.Request) rawserver.Answer { return rawserver.Answer{Text: text, Ending: e} })
				var out bytes.Buffer
				if err := (&statusCommand{Daemon: daemon.Address()}).Run(t.Context(), &output{&out}); err == nil || out.Len() > 0 {
					t.Errorf("printed %q, error %v; want nothing but an error", out.String(), err)
				}
			})
		}
	}
}
