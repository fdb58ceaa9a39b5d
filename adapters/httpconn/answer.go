package httpconn

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

const (
	// MaxAnswerSize is the maximum size of the body of an answer, in bytes.
	MaxAnswerSize = 32 << 20
	// maxInterimAnswers limits the interim answers before the final one.
	maxInterimAnswers = 4096
	// firstFinalStatus is the lowest status code of a final answer.
	firstFinalStatus = 200
)

// Errors of answers.
var (
	errNoAnswerLength = errors.New("answer has neither Content-Length nor chunked coding")
	errTooManyInterim = errors.New("too many interim answers before the final answer")
	errProtocolSwitch = errors.New("answer has status 101, want a final answer without a protocol switch")
)

// maxStaleAnswers limits the answers to earlier requests that are dropped before
// the exchange fails.
const maxStaleAnswers = 4

// readAnswer reads one complete answer and consumes no byte after it. Answers for
// which o.Check returns ErrOtherRequest are dropped.
func readAnswer(c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	for range maxStaleAnswers {
		// An answer without Content-Type has none.
		resp.Header.SetNoDefaultContentType(true)
		if err := readFinalHeader(c.r, resp, o.onContinue); err != nil {
			return err
		}
		var checkErr error
		if o.Check != nil {
			checkErr = o.Check(resp)
		}
		if checkErr != nil && !errors.Is(checkErr, ErrOtherRequest) {
			return checkErr
		}
		if err := readBody(c, req, resp, o); err != nil || checkErr == nil {
			return err
		}
		resp.Reset()
	}
	return ErrOtherRequest
}

// readBody reads the body of an answer into memory of its own, not of fasthttp's pools.
func readBody(c *conn, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	if hasNoBody(req, resp) {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length == lengthUnknown && !o.AllowCloseDelimited {
		return errNoAnswerLength
	}
	body, err := readAnswerBody(c, length)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return err
	case err != nil:
		return fmt.Errorf("answer body truncated: %w", err)
	}
	resp.SetBodyRaw(body)
	switch length {
	case lengthUnknown:
		resp.SetConnectionClose()
	case lengthChunked:
		return readTrailers(c.r)
	}
	return nil
}

func readAnswerBody(c *conn, length int) ([]byte, error) {
	switch {
	case length > MaxAnswerSize:
		return nil, fasthttp.ErrBodyTooLarge
	case length == lengthUnknown:
		return readBlocks(c.r, MaxAnswerSize, c.answer.reserve)
	case length == lengthChunked:
		return readBlocks(httputil.NewChunkedReader(c.r), MaxAnswerSize, c.answer.reserve)
	}
	if err := c.answer.reserve(int64(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.r, body)
	return body, err
}

// Values that fasthttp returns as the length of an answer without Content-Length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// readFinalHeader skips interim answers and reads the header of the final one.
// onContinue is called for each interim answer with status 100; it may be nil.
func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response, onContinue func()) error {
	for range maxInterimAnswers {
		if err := readHead(r, resp); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errProtocolSwitch
		case status >= firstFinalStatus:
			return nil
		case status == fasthttp.StatusContinue && onContinue != nil:
			onContinue()
		}
	}
	return errTooManyInterim
}

// maxCause is the maximum length of a cause named by the library, which may quote a field
// of any length.
const maxCause = 80

// readHead reads one head of which every line is checked: the library takes some that
// are malformed for others, for example status 000 for 200.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := awaitHead(r); err != nil {
		return err
	}
	if err := resp.Header.Read(r); err != nil {
		// The error of the library quotes the whole head around its cause.
		cause := cmp.Or(errors.Unwrap(err), err)
		return &MalformedError{Part: "framing", Expected: "one Content-Length, or the coding chunked alone", Found: fmt.Sprintf("%.*s", maxCause, cause)}
	}
	return nil
}

func hasNoBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
