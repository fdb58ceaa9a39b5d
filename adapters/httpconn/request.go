package httpconn

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

const (
	// MaxRequestSize is the maximum size of the body of a request, in bytes.
	MaxRequestSize = 64 << 20
	// MaxHeaderSize is the maximum size of the header of a request, in bytes.
	MaxHeaderSize = 16 << 10
)

var (
	errAmbiguousLength   = errors.New("request has both Content-Length and Transfer-Encoding, want one")
	errUnsupportedCoding = errors.New("request has a transfer coding other than chunked")
)

// readRequest reads one complete request. The body is not parsed. awaitRoom is called
// with the length of the body before that is read; it is negative if it is unknown.
func readRequest(r *bufio.Reader, w *bufio.Writer, req *fasthttp.Request, room *bodyAccount, awaitRoom func(length int) error) error {
	if err := room.memory.startParsing(awaitFields(r)); err != nil {
		return err
	}
	if err := req.Header.Read(r); err != nil {
		room.memory.endParsing()
		return err
	}
	if err := room.memory.takeFields(countFields(&req.Header)); err != nil {
		return err
	}
	room.memory.endParsing()
	if err := checkFraming(&req.Header); err != nil {
		return err
	}
	if length := req.Header.ContentLength(); length <= room.max {
		if err := awaitRoom(length); err != nil {
			return err
		}
	}
	if req.MayContinue() {
		if err := sendContinue(w, req, room.max); err != nil {
			return err
		}
	}
	return readRequestBody(r, req, room)
}

// awaitFields waits until the head of a request is complete or fills the buffer, and
// returns an upper bound of the number of its fields and of the parts of its cookies. Errors
// are left to the reading of the head.
func awaitFields(r *bufio.Reader) int {
	for {
		buffered, _ := r.Peek(r.Buffered())
		// Empty lines before a request are skipped.
		head := bytes.TrimLeft(buffered, "\r\n")
		if end := headEnd(head); end >= 0 || len(buffered) == r.Size() {
			if end >= 0 {
				head = head[:end]
			}
			return bytes.Count(head, []byte("\n")) + bytes.Count(head, []byte(";"))
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return 0
		}
	}
}

// headEnd returns the index of the empty line that ends a head, or -1.
func headEnd(head []byte) int {
	end := bytes.Index(head, []byte("\n\r\n"))
	if short := bytes.Index(head, []byte("\n\n")); short >= 0 && (end < 0 || short < end) {
		return short
	}
	return end
}

// countFields returns the number of header fields, with each part of a cookie counted as
// one, since each is parsed into an entry of its own.
func countFields(h *fasthttp.RequestHeader) int {
	parts := 0
	for _, cookie := range h.PeekAll(fasthttp.HeaderCookie) {
		parts += bytes.Count(cookie, []byte(";"))
	}
	return parts + h.Len()
}

// checkFraming returns an error for requests whose end is ambiguous, since two
// readers could disagree about it (request smuggling).
func checkFraming(h *fasthttp.RequestHeader) error {
	var length, coding bool
	for name, value := range h.AllInOrder() {
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			length = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			coding = true
			if !bytes.EqualFold(value, []byte("chunked")) {
				return errUnsupportedCoding
			}
		}
	}
	if length && coding {
		return errAmbiguousLength
	}
	return nil
}

// sendContinue writes an interim answer with status 100, which asks the caller to
// send the body.
func sendContinue(w *bufio.Writer, req *fasthttp.Request, maxBody int) error {
	if req.Header.ContentLength() > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// malformedStatus returns the status code for a request that could not be read.
func malformedStatus(err error) int {
	var bufferErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &bufferErr):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	return fasthttp.StatusBadRequest
}
