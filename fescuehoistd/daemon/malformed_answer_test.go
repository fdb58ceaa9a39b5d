package daemon_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/standin/rawserver"
)

const (
	sealFields  = platformtest.HeaderRequestID + ": ID\r\n" + platformtest.HeaderSeal + ": " + platformtest.Seal + "\r\n"
	soundStart  = "HTTP/1.1 200 OK\r\n" + sealFields
	soundAnswer = soundStart + "Content-Length: 5\r\n\r\nsound"
	chunkedOK   = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
)

// startRaw starts a server on an address of this process alone.
func startRaw(t *testing.T, answer func(r *http.Request) rawserver.Answer) *rawserver.Server {
	t.Helper()
	ln, err := platformtest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	return rawserver.StartOn(t, ln, answer)
}

// startRawBackend starts a backend server that answers by path, and other paths with
// soundAnswer. In the answers, ID stands for the id of the request.
func startRawBackend(t *testing.T, answers map[string]rawserver.Answer) *rawserver.Server {
	t.Helper()
	return startRaw(t, func(r *http.Request) rawserver.Answer {
		answer := answers[r.URL.Path]
		answer.Text = strings.ReplaceAll(cmp.Or(answer.Text, soundAnswer), "ID", r.Header.Get(platformtest.HeaderRequestID))
		return answer
	})
}

// seen returns how often the request with an id ran, and whether a connection that it
// came on was used again.
func seen(b *rawserver.Server, id string) (runs int, reused bool) {
	connections := map[int]bool{}
	for _, x := range b.Exchanges() {
		reused = reused || connections[x.Connection]
		if x.Request.Header.Get(platformtest.HeaderRequestID) == id {
			runs++
			connections[x.Connection] = true
		}
	}
	return runs, reused
}

// startBesideRaw starts two hosts, the first beside a raw backend server of the service
// that the routes lead to, and waits until both serve calls.
func startBesideRaw(t *testing.T, b *rawserver.Server) (beside, remote *host) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", configuration(4))
	beside = startHost(t, store, "host-a", "cairo-a", "lookup", func(s *settings.Settings) { s.Backend = b.Address() })
	remote = startHost(t, store, "host-b", "cairo-b", "archive")
	for _, h := range []*host{beside, remote} {
		await(t, "the first route", respondsWith(t, h, "/search/sound", 200))
	}
	return beside, remote
}

func TestMalformedAnswerOfBackendServerReachesNoCaller(t *testing.T) {
	malformed := map[string]string{
		"status 000":             strings.Replace(soundAnswer, "200", "000", 1),
		"status 600":             strings.Replace(soundAnswer, "200", "600", 1),
		"status line":            strings.Replace(soundAnswer, "200 ", "200", 1),
		"reason":                 strings.Replace(soundAnswer, "OK", "O\x00K", 1),
		"blank in name":          soundStart + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
		"blank after name":       soundStart + "Content-Length : 2\r\n\r\nok",
		"blank before name":      soundStart + "X: y\r\n Z: z\r\nContent-Length: 2\r\n\r\nok",
		"tab before name":        soundStart + "X: y\r\n\tZ: z\r\nContent-Length: 2\r\n\r\nok",
		"control byte in name":   soundStart + "X\x01: z\r\nContent-Length: 2\r\n\r\nok",
		"length hidden by blank": soundStart + "Content-Length: 2\r\nX: y\r\n\tContent-Length: 1\r\n\r\nok",
		"control byte in value":  soundStart + "X: \x01\r\nContent-Length: 2\r\n\r\nok",
		"interim status 042":     "HTTP/1.1 042 \r\n\r\n" + soundAnswer,
		"name in interim answer": "HTTP/1.1 103 Hints\r\nX Y: z\r\n\r\n" + soundAnswer,
		"trailer":                soundStart + chunkedOK + "X Y: z\r\n\r\n",
		"coding of version 1.0":  strings.Replace(soundStart, "1.1", "1.0", 1) + chunkedOK + "\r\n",
		"no answer":              "oops",
	}
	answers := map[string]rawserver.Answer{}
	for name, text := range malformed {
		path, answer := strings.ReplaceAll(name, " ", "-"), rawserver.Answer{Text: text}
		answers["/search/"+path], answers["/submit/"+path] = answer, answer
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for path := range answers {
			t.Run(hops+path, func(t *testing.T) {
				id := hops + strings.ReplaceAll(path, "/", "-")
				if got := sendRequest(t, h, "POST", path, id); got.status != 502 || got.seal != "" {
					t.Errorf("got %+v, want status 502 without a seal", got)
				}
				runs, reused := seen(b, id)
				if strings.HasPrefix(path, "/submit") && runs != 1 {
					t.Errorf("a request that must not be repeated ran %d times, want 1", runs)
				}
				if reused {
					t.Error("the connection of a malformed answer was used again")
				}
				if lines := beside.log.lines("answered by the backend server", "id="+id+" ", "may-have-run", "malformed answer", "expected", "found"); len(lines) != runs {
					t.Errorf("%d log lines of %d malformed answers, want one for each; the log: %q", len(lines), runs, beside.log.lines("id="+id+" "))
				}
			})
		}
	}
}

func TestSoundAnswerOfBackendServerReachesCallerUnchanged(t *testing.T) {
	const text = "a\tb  caf\xe9 \xc3\xa9 \x80\xff"
	type answer struct {
		status int
		body   string
		fields textproto.MIMEHeader
	}
	sealed := func(fields textproto.MIMEHeader) textproto.MIMEHeader {
		fields[platformtest.HeaderSeal] = []string{platformtest.Seal}
		return fields
	}
	cases := map[string]struct {
		method, raw string
		want        answer
	}{
		"empty-reason":  {raw: strings.Replace(soundAnswer, "OK", "", 1), want: answer{200, "sound", sealed(textproto.MIMEHeader{})}},
		"long-reason":   {raw: strings.Replace(soundAnswer, "OK", text, 1), want: answer{200, "sound", sealed(textproto.MIMEHeader{})}},
		"odd-status":    {raw: strings.Replace(soundAnswer, "200", "299", 1), want: answer{299, "sound", sealed(textproto.MIMEHeader{})}},
		"failure":       {raw: strings.Replace(soundAnswer, "200", "599", 1), want: answer{599, "sound", sealed(textproto.MIMEHeader{})}},
		"values":        {raw: soundStart + "X: " + text + "\r\nX:\r\nY!#$%&'*+-.^_`|~:  a: b \t\r\nContent-Length: 2\r\n\r\nok", want: answer{200, "ok", sealed(textproto.MIMEHeader{"X": {text, ""}, "Y!#$%&'*+-.^_`|~": {"a: b"}})}},
		"cookies":       {raw: soundStart + "Set-Cookie: a=b; Path=/\r\nSet-Cookie: c\r\nServer: s\r\nContent-Type: t/t; x=\"y\"\r\nContent-Length: 2\r\n\r\nok", want: answer{200, "ok", sealed(textproto.MIMEHeader{"Set-Cookie": {"a=b; Path=/", "c"}, "Server": {"s"}, "Content-Type": {"t/t; x=\"y\""}})}},
		"no-content":    {raw: "HTTP/1.1 204 No Content\r\n" + sealFields + "\r\n", want: answer{204, "", sealed(textproto.MIMEHeader{})}},
		"not-modified":  {raw: "HTTP/1.1 304 Not Modified\r\n" + sealFields + "Etag: \"e\"\r\n\r\n", want: answer{304, "", sealed(textproto.MIMEHeader{"Etag": {"\"e\""}})}},
		"to-head":       {method: "HEAD", raw: soundStart + "Content-Length: 40\r\n\r\n", want: answer{200, "", sealed(textproto.MIMEHeader{})}},
		"chunks":        {raw: soundStart + "Transfer-Encoding: chunked\r\n\r\n1\r\n\x00\r\n1;a=b\r\n\xff\r\n0\r\n\r\n", want: answer{200, "\x00\xff", sealed(textproto.MIMEHeader{})}},
		"trailers":      {raw: soundStart + chunkedOK + "X: " + text + "\r\n\r\n", want: answer{200, "ok", sealed(textproto.MIMEHeader{})}},
		"interim":       {raw: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 " + text + "\r\nX: " + text + "\r\n\r\n" + soundAnswer, want: answer{200, "sound", sealed(textproto.MIMEHeader{})}},
		"version-1-0":   {raw: strings.Replace(soundAnswer, "1.1", "1.0", 1), want: answer{200, "sound", sealed(textproto.MIMEHeader{})}},
		"to-be-closed":  {raw: soundStart + "Connection: close, X\r\nX: y\r\nContent-Length: 2\r\n\r\nok", want: answer{200, "ok", sealed(textproto.MIMEHeader{})}},
		"body-of-bytes": {raw: soundStart + "Content-Length: 13\r\n\r\nHTTP/1.1 000\x00", want: answer{200, "HTTP/1.1 000\x00", sealed(textproto.MIMEHeader{})}},
	}
	answers := map[string]rawserver.Answer{}
	for name, c := range cases {
		answers["/search/"+name] = rawserver.Answer{Text: c.raw}
	}
	b := startRawBackend(t, answers)
	beside, remote := startBesideRaw(t, b)
	for hops, h := range map[string]*host{"beside": beside, "remote": remote} {
		for name, c := range cases {
			t.Run(hops+"/"+name, func(t *testing.T) {
				method, id := "GET", hops+"-"+name
				if c.method != "" {
					method = c.method
				}
				resp := readAnswerTo(t, h, method, "/search/"+name, id)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				got := answer{resp.StatusCode, string(body), textproto.MIMEHeader(resp.Header)}
				c.want.fields[platformtest.HeaderRequestID] = []string{id}
				for _, name := range []string{"Content-Length", "Date", "Connection"} {
					delete(got.fields, name)
				}
				if diff := gocmp.Diff(c.want, got, gocmp.AllowUnexported(answer{})); diff != "" {
					t.Errorf("answer differs (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// readAnswerTo makes one request on a connection of its own.
func readAnswerTo(t *testing.T, h *host, method, path, id string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: 5000\r\nConnection: close\r\n\r\n",
		method, path, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// startMalformed starts a server that answers each request with a status that is none.
func startMalformed(t *testing.T) *rawserver.Server {
	t.Helper()
	return startRaw(t, func(*http.Request) rawserver.Answer {
		return rawserver.Answer{Text: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"}
	})
}

func TestMalformedAnswerOfStoreIsLogged(t *testing.T) {
	raw := startMalformed(t)
	store := platformtest.NewStore()
	defer store.Close()
	h := startHost(t, store, "host-a", "cairo-a", "lookup", func(s *settings.Settings) { s.Platform = raw.Address() })
	await(t, "the log line of the malformed answer", func() bool {
		return len(h.log.lines(" answer: ", "from="+raw.Address(), "expected 100 to 599, found")) > 0
	})
	if got := sendRequest(t, h, "GET", "/search/x", "a1"); got.status != 503 {
		t.Errorf("without a configuration: got %+v, want status 503", got)
	}
}

func TestMalformedAnswerOfDaemonReachesNoCaller(t *testing.T) {
	raw := startMalformed(t)
	store := platformtest.NewStore()
	defer store.Close()
	store.Put("config", "main", configuration(4))
	startHost(t, store, "host-a", "cairo-a", "lookup", func(s *settings.Settings) { s.AdvertiseCalls = raw.Address() })
	caller := startHost(t, store, "host-b", "cairo-b", "archive")
	await(t, "a call to the daemon", respondsWith(t, caller, "/search/x", 502))
	if got := sendRequest(t, caller, "POST", "/submit/x", "s1"); got.status != 502 || got.seal != "" {
		t.Errorf("got %+v, want status 502 without a seal", got)
	}
	if lines := caller.log.lines(" answer: ", "from="+raw.Address(), "expected 100 to 599, found"); len(lines) < 2 {
		t.Errorf("%d log lines of malformed answers, want one for each of two calls", len(lines))
	}
}
