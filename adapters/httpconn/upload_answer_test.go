package httpconn_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/standin/rawserver"
)

const (
	// headWithoutLength begins an answer whose body ends with its connection.
	headWithoutLength = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"
	askForBody        = "HTTP/1.1 100 Continue\r\n\r\n"

	// longBody exceeds the buffers of a connection. midBody is sent while the answer is
	// read, and fits into the send buffer; shortBody is sent before.
	longBody, midBody, shortBody = 8 << 20, 256 << 10, 12 << 10
	// smallBuffer is a receive buffer that holds less than shortBody.
	smallBuffer = 4 << 10
)

// uploadServer starts a server with the same answer to each request. Its receive buffers
// have the given size, or their usual one if that is 0.
func uploadServer(t *testing.T, receiveBuffer int, answer rawserver.Answer) *rawserver.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if receiveBuffer > 0 {
		if err := rawserver.LimitReceiveBuffer(ln, receiveBuffer); err != nil {
			t.Fatal(err)
		}
	}
	return rawserver.StartOn(t, ln, func(*http.Request) rawserver.Answer { return answer })
}

// upload makes one exchange over a connection of its own.
func upload(ctx context.Context, s *rawserver.Server, size int, askFirst bool) (*fasthttp.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	pool := httpconn.NewPool(s.Address(), nil)
	defer pool.Close()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/")
	req.Header.SetHost("lookup")
	req.SetBody(make([]byte, size))
	return resp, pool.DoWith(ctx, req, resp, httpconn.Options{AllowCloseDelimited: true, AskFirst: askFirst})
}

// Guards against a part of an answer that is taken for a whole one. The kernel reports a
// reset once, to the reader or to the writer of the connection: after a failed write the
// reader finds an end without an error. A reset that follows an end never reaches the
// reader.
func TestPoolAnswerBrokenOffDuringUploadIsNoAnswer(t *testing.T) {
	const pauses, rounds = 4, 25
	for _, c := range []struct {
		name          string
		size          int
		receiveBuffer int
		ending        rawserver.Ending
		askFirst      bool
	}{
		{name: "reset", size: longBody, ending: rawserver.Reset},
		{name: "closed", size: longBody, ending: rawserver.Close},
		{name: "closed in two steps", size: longBody, ending: rawserver.HalfCloseThenClose},
		{name: "reset, body asked for", size: longBody, ending: rawserver.Reset, askFirst: true},
		{name: "closed in two steps, body asked for", size: longBody, ending: rawserver.HalfCloseThenClose, askFirst: true},
		{name: "reset, body in the send buffer", size: midBody, receiveBuffer: smallBuffer, ending: rawserver.Reset},
		{name: "closed in two steps, body in the send buffer", size: midBody, receiveBuffer: smallBuffer, ending: rawserver.HalfCloseThenClose},
		{name: "reset, body sent before", size: shortBody, receiveBuffer: smallBuffer, ending: rawserver.Reset},
		{name: "closed in two steps, body sent before", size: shortBody, receiveBuffer: smallBuffer, ending: rawserver.HalfCloseThenClose},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := rawserver.Answer{Text: headWithoutLength + "a part", Early: true, Ending: c.ending}
			if c.askFirst {
				answer.Text = askForBody + answer.Text
			}
			taken := 0
			for pause := range pauses {
				answer.Pause = time.Duration(pause) * 500 * time.Microsecond
				s := uploadServer(t, c.receiveBuffer, answer)
				for range rounds {
					_, err := upload(t.Context(), s, c.size, c.askFirst)
					if err == nil {
						taken++
						continue
					}
					// The connection may end before the body that was asked for is sent.
					var f *call.Failure
					if !errors.As(err, &f) || f.Reason != call.Cut || (f.Verdict != call.MayHaveRun && !c.askFirst) {
						t.Errorf("got %v, want %s, %s", err, call.MayHaveRun, call.Cut)
					}
				}
			}
			if taken > 0 {
				t.Errorf("%d parts of %d answers were taken for whole ones, want none", taken, pauses*rounds)
			}
		})
	}
}

// Guards against sound answers that fail since the request was still being written, or
// since nothing but the end of the connection delimits them.
func TestPoolSoundAnswerDuringUploadIsUnchanged(t *testing.T) {
	const (
		rounds  = 10
		body    = "the whole answer"
		length  = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + body
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n"
	)
	for _, c := range []struct {
		name          string
		answer        rawserver.Answer
		size          int
		receiveBuffer int
		askFirst      bool
	}{
		{name: "without length, after the request", size: longBody, answer: rawserver.Answer{Text: headWithoutLength + body, Ending: rawserver.Close}},
		{name: "without length, after a short request", size: shortBody, receiveBuffer: smallBuffer, answer: rawserver.Answer{Text: headWithoutLength + body, Ending: rawserver.Close}},
		{name: "without length, the request is read on", size: longBody, answer: rawserver.Answer{Text: headWithoutLength + body, Early: true, Ending: rawserver.HalfClose}},
		{name: "without length, the request is read on from the send buffer", size: midBody, receiveBuffer: smallBuffer, answer: rawserver.Answer{Text: headWithoutLength + body, Early: true, Ending: rawserver.HalfClose}},
		{name: "without length, body not asked for", size: longBody, askFirst: true, answer: rawserver.Answer{Text: headWithoutLength + body, Early: true, Ending: rawserver.Close}},
		{name: "length, open", size: longBody, answer: rawserver.Answer{Text: length, Early: true, Pause: 50 * time.Millisecond}},
		{name: "length, closed", size: longBody, answer: rawserver.Answer{Text: length, Early: true, Ending: rawserver.Close}},
		{name: "length, reset", size: longBody, answer: rawserver.Answer{Text: length, Early: true, Ending: rawserver.Reset}},
		{name: "chunks, open", size: longBody, answer: rawserver.Answer{Text: chunked, Early: true, Pause: 50 * time.Millisecond}},
		{name: "chunks, closed", size: longBody, answer: rawserver.Answer{Text: chunked, Early: true, Ending: rawserver.Close}},
		{name: "chunks, reset", size: longBody, answer: rawserver.Answer{Text: chunked, Early: true, Ending: rawserver.Reset}},
		{name: "length, body asked for", size: longBody, askFirst: true, answer: rawserver.Answer{Text: askForBody + length, Early: true, Ending: rawserver.Close}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := uploadServer(t, c.receiveBuffer, c.answer)
			for range rounds {
				resp, err := upload(t.Context(), s, c.size, c.askFirst)
				if err != nil || resp.StatusCode() != 200 || string(resp.Body()) != body {
					t.Fatalf("got status %d with body %q, error %v; want %q", resp.StatusCode(), resp.Body(), err, body)
				}
			}
		})
	}
}

// Guards against an exchange without end: the server has ended its answer, but neither
// reads the rest of the request nor closes the connection.
func TestPoolUploadThatIsNotReadOnEndsAtDeadline(t *testing.T) {
	for name, size := range map[string]int{"body is being written": longBody, "body in the send buffer": midBody} {
		t.Run(name, func(t *testing.T) {
			s := uploadServer(t, smallBuffer, rawserver.Answer{Text: headWithoutLength + "a part", Early: true, Ending: rawserver.HalfCloseOnly})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			var f *call.Failure
			if _, err := upload(ctx, s, size, false); !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Deadline {
				t.Errorf("got %v, want %s, %s", err, call.MayHaveRun, call.Deadline)
			}
		})
	}
}
