package daemon_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/standin/rawserver"
)

// longBody exceeds the buffers of a connection, so that it is still being written when an
// early answer arrives.
var longBody = strings.Repeat("b", 4<<20)

// Guards against a part of an answer that reaches a client as a whole one: the backend
// server answers at once without a length, and ends the connection while the request is
// still being written. Whether the reader or the writer meets a reset first is a race.
func TestAnswerBrokenOffDuringUploadReachesNoClient(t *testing.T) {
	const pauses = 4
	endings := []struct {
		name   string
		ending rawserver.Ending
		rounds int
	}{
		{name: "reset", ending: rawserver.Reset, rounds: 24},
		{name: "closed", ending: rawserver.Close, rounds: 24},
		{name: "closed-in-two-steps", ending: rawserver.HalfCloseThenClose, rounds: pauses},
	}
	answers := map[string]rawserver.Answer{}
	pathOf := func(class, ending string, pause int) string { return fmt.Sprintf("/%s/%s-%d", class, ending, pause) }
	for _, e := range endings {
		for pause := range pauses {
			answer := rawserver.Answer{Text: soundStart + "\r\na part", Early: true, Pause: time.Duration(pause) * time.Millisecond, Ending: e.ending}
			answers[pathOf("search", e.name, pause)], answers[pathOf("submit", e.name, pause)] = answer, answer
		}
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for _, e := range endings {
			for _, class := range []string{"search", "submit"} {
				t.Run(hops+"/"+class+"/"+e.name, func(t *testing.T) {
					beside.report(t)
					taken := 0
					for n := range e.rounds {
						id := fmt.Sprintf("%s-%s-%s-%d", hops, class, e.name, n)
						got := sendBody(t, h, "POST", pathOf(class, e.name, n%pauses), id, longBody)
						if got.status == 200 {
							taken++
						} else if got.status != 502 || got.seal != "" {
							t.Errorf("got %+v, want status 502 without a seal", got)
						}
						if runs, _ := seen(b, id); class == "submit" && runs != 1 {
							t.Errorf("a request that must not be repeated ran %d times, want 1", runs)
						}
					}
					if taken > 0 {
						t.Errorf("%d parts of %d answers reached the client as whole ones, want none", taken, e.rounds)
					}
				})
			}
		}
	}
}

// Guards against sound answers that fail since the request was still being written when
// they came, or since only the end of the connection delimits them.
func TestSoundAnswerDuringUploadReachesClientUnchanged(t *testing.T) {
	const rounds = 5
	const body = "the whole answer"
	length := soundStart + "Content-Length: 16\r\n\r\n" + body
	chunked := soundStart + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n"
	answers := map[string]rawserver.Answer{
		"/submit/without-length-after-the-request":      {Text: soundStart + "\r\n" + body, Ending: rawserver.Close},
		"/submit/without-length-and-request-is-read-on": {Text: soundStart + "\r\n" + body, Early: true, Ending: rawserver.HalfClose},
		"/submit/length-and-open":                       {Text: length, Early: true, Pause: 30 * time.Millisecond},
		"/submit/length-and-closed":                     {Text: length, Early: true, Ending: rawserver.Close},
		"/submit/length-and-reset":                      {Text: length, Early: true, Ending: rawserver.Reset},
		"/submit/chunks-and-open":                       {Text: chunked, Early: true, Pause: 30 * time.Millisecond},
		"/submit/chunks-and-closed":                     {Text: chunked, Early: true, Ending: rawserver.Close},
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for path := range answers {
			t.Run(hops+path, func(t *testing.T) {
				beside.report(t)
				for n := range rounds {
					id := fmt.Sprint(hops, strings.ReplaceAll(path, "/", "-"), "-", n)
					got := sendBody(t, h, "POST", path, id, longBody)
					if got.status != 200 || got.seal == "" || got.body != body {
						t.Errorf("got %+v, want the whole sealed answer", got)
					}
					if runs, _ := seen(b, id); runs != 1 {
						t.Errorf("the request ran %d times, want 1", runs)
					}
				}
			})
		}
	}
}
