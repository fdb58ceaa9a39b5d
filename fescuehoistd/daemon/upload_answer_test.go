package daemon_test

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/standin/rawserver"
)

// longBody exceeds the buffers of a connection, so that it is still being written when an
// early answer arrives.
var longBody = strings.Repeat("b", 4<<20)

// Guards against a part of an answer that reaches a client as a whole one: the backend
// server answers at once without a length, and ends the connection while the request is
// still being written. Whether the reader or the writer meets a reset first is a race.
func TestAnswerBrokenOffDuringUploadReachesNoClient(t *testing.T) {
	const pauses, rounds = 4, 24
	answers := map[string]rawserver.Answer{}
	pathOf := func(class, ending string, pause int) string { return fmt.Sprintf("/%s/%s-%d", class, ending, pause) }
	for name, ending := range rawserver.Breaks {
		for pause := range pauses {
			answer := rawserver.Answer{Text: soundStart + "\r\na part", Early: true, Pause: time.Duration(pause) * time.Millisecond, Ending: ending}
			answers[pathOf("search", name, pause)], answers[pathOf("submit", name, pause)] = answer, answer
		}
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for ending := range rawserver.Breaks {
			for _, class := range []string{"search", "submit"} {
				t.Run(hops+"/"+class+"/"+ending, func(t *testing.T) {
					beside.report(t)
					taken := 0
					for n := range rounds {
						id := fmt.Sprintf("%s-%s-%s-%d", hops, class, ending, n)
						got := sendBody(t, h, "POST", pathOf(class, ending, n%pauses), id, longBody)
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
						t.Errorf("%d parts of %d answers reached the client as whole ones, want none", taken, rounds)
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

// expectCutUpload sends an upload that must not be repeated, and expects an error and one
// run at the server that does not answer it well.
func expectCutUpload(t *testing.T, h *host, server *rawserver.Server, path, id string) {
	t.Helper()
	if got := sendBody(t, h, "POST", path, id, longBody); got.status != 502 || got.seal != "" {
		t.Errorf("got %+v, want status 502 without a seal", got)
	}
	if runs, _ := seen(server, id); runs != 1 {
		t.Errorf("a request that must not be repeated ran %d times, want 1", runs)
	}
}

// Guards against a malformed answer that reaches a client since it came while the request
// was still being written, or since only the end of its connection delimits it.
func TestMalformedAnswerDuringUploadReachesNoClient(t *testing.T) {
	malformed := map[string]string{
		"status-000":                strings.Replace(soundAnswer, "200", "000", 1),
		"status-000-without-length": strings.Replace(soundStart, "200", "000", 1) + "\r\na part",
		"blank-in-name":             soundStart + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
		"blank-in-name-of-length":   soundStart + "Content-Length : 2\r\n\r\nok",
		"control-byte-in-name":      soundStart + "X\x01: z\r\nContent-Length: 2\r\n\r\nok",
		"control-byte-in-length":    soundStart + "Content-Length\x01: 2\r\n\r\nok",
		"names-in-interim-answer":   "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + soundAnswer,
	}
	answers := map[string]rawserver.Answer{}
	for name, text := range malformed {
		for ending, e := range map[string]rawserver.Ending{"open": rawserver.KeepOpen, "closed": rawserver.Close, "reset": rawserver.Reset} {
			answers["/submit/"+name+"-"+ending] = rawserver.Answer{Text: text, Early: true, Ending: e}
		}
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for path := range answers {
			t.Run(hops+path, func(t *testing.T) {
				beside.report(t)
				id := hops + strings.ReplaceAll(path, "/", "-")
				expectCutUpload(t, h, b, path, id)
			})
		}
	}
}

// Guards against a part of an answer of another daemon that reaches a client as a whole one.
func TestAnswerOfDaemonBrokenOffDuringUploadReachesNoClient(t *testing.T) {
	const rounds = 5
	const head = "HTTP/1.1 200 OK\r\nF-Call: NUMBER\r\nFescuehoist-Verdict: ran\r\n" + sealFields
	answers := map[string]rawserver.Answer{}
	for name, text := range map[string]string{
		"without-length": head + "\r\na part",
		"in-the-length":  head + "Content-Length: 7\r\n\r\na part",
		"in-the-chunks":  head + "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
	} {
		for ending, e := range rawserver.Breaks {
			answers["/submit/"+name+"-"+ending] = rawserver.Answer{Text: text, Early: true, Ending: e}
		}
	}
	daemon := startRaw(t, func(r *http.Request) rawserver.Answer {
		answer := answers[r.URL.Path]
		answer.Text = cmp.Or(answer.Text, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		answer.Text = strings.NewReplacer("NUMBER", r.Header.Get("F-Call"), "ID", r.Header.Get(platformtest.HeaderRequestID)).Replace(answer.Text)
		return answer
	})
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", configuration(4))
	announcing := startHost(t, store, "host-a", "cairo-a", "lookup", func(s *settings.Settings) { s.AdvertiseCalls = daemon.Address() })
	caller := startHost(t, store, "host-b", "cairo-b", "archive")
	await(t, "a call to the daemon", respondsWith(t, caller, "/search/x", 502))
	for path := range answers {
		t.Run(path, func(t *testing.T) {
			announcing.report(t)
			for n := range rounds {
				expectCutUpload(t, caller, daemon, path, fmt.Sprint(strings.ReplaceAll(path, "/", "-"), "-", n))
			}
		})
	}
}

// Guards against a part of an answer that wins over the answer to the other copy of the
// request: one of two backend servers breaks off its answer.
func TestAnswerBrokenOffBesideCopyReachesNoClient(t *testing.T) {
	const rounds = 12
	for name, c := range map[string]struct {
		// first and second are the answers to the two copies of a request, by their arrival.
		first, second rawserver.Answer
	}{
		"first": {
			first:  rawserver.Answer{Text: soundStart + "\r\na part", Pause: 100 * time.Millisecond, Ending: rawserver.Reset},
			second: rawserver.Answer{Text: soundAnswer},
		},
		"second": {
			first:  rawserver.Answer{Text: soundAnswer, Delay: 100 * time.Millisecond},
			second: rawserver.Answer{Text: soundStart + "\r\na part", Ending: rawserver.Reset},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			arrivals := map[string]int{}
			answer := func(r *http.Request) rawserver.Answer {
				id := r.Header.Get(platformtest.HeaderRequestID)
				mu.Lock()
				defer mu.Unlock()
				arrivals[id]++
				answer := rawserver.Answer{Text: soundAnswer}
				switch {
				case r.URL.Path != "/search/broken":
				case arrivals[id] == 1:
					answer = c.first
				default:
					answer = c.second
				}
				answer.Text = strings.ReplaceAll(answer.Text, "ID", id)
				return answer
			}
			store := platformtest.NewStore()
			t.Cleanup(store.Close)
			store.Put("config", "main", configuration(4))
			var hosts []*host
			for _, domain := range []string{"cairo-a", "cairo-b"} {
				b := startRaw(t, answer)
				hosts = append(hosts, startHost(t, store, "host-"+domain, domain, "lookup", func(s *settings.Settings) {
					s.Backend, s.Hedge.Share = b.Address(), 0.5
				}))
			}
			for _, h := range hosts {
				await(t, "the first route", respondsWith(t, h, "/search/x", 200))
				await(t, "the daemons to know each other", func() bool { return len(h.daemon.State().Members) == 2 })
			}
			entry := hosts[0]
			for n := range 50 {
				sendRequest(t, entry, "GET", "/search/usual", fmt.Sprint("usual-", n))
			}
			// The durations of calls are used a second after the first of them.
			time.Sleep(1100 * time.Millisecond)
			copied := 0
			for n := range rounds {
				for _, h := range hosts {
					h.report(t)
				}
				for i := range 4 {
					sendRequest(t, entry, "GET", "/search/usual", fmt.Sprintf("between-%d-%d", n, i))
				}
				id := fmt.Sprint("broken-", n)
				if got := sendRequest(t, entry, "GET", "/search/broken", id); got.body == "a part" || (got.status != 200 && got.seal != "") {
					t.Errorf("got %+v, want a whole answer or an error", got)
				}
				mu.Lock()
				if arrivals[id] > 1 {
					copied++
				}
				mu.Unlock()
			}
			if copied == 0 {
				t.Error("no request reached both backend servers")
			}
		})
	}
}
