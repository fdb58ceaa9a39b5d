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
