package httpconn

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

const (
	// MaxRequestSize bounds the body of a request, in bytes.
	MaxRequestSize = 8 << 20
	// MaxHeaderSize bounds the header of a request, in bytes.
	MaxHeaderSize = 16 << 10
)

var (
	errTwoLengths = errors.New("the request declares its length twice")
	errNoLength   = errors.New("the request's transfer coding does not give its length")
)

// readRequest reads one whole request. The body is kept as it came.
func readRequest(r *bufio.Reader, w *bufio.Writer, req *fasthttp.Request) error {
	if err := req.Header.Read(r); err != nil {
		return err
	}
	if err := checkFraming(&req.Header); err != nil {
		return err
	}
	if req.MayContinue() {
		if err := acceptBody(w, req); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(r, MaxRequestSize, false)
}

// checkFraming refuses requests whose end two readers could see differently.
func checkFraming(h *fasthttp.RequestHeader) error {
	var length, coding bool
	for name, value := range h.AllInOrder() {
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			length = true
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			coding = true
			if !bytes.EqualFold(value, []byte("chunked")) {
				return errNoLength
			}
		}
	}
	if length && coding {
		return errTwoLengths
	}
	return nil
}

// acceptBody tells a caller that asked first to send the body.
func acceptBody(w *bufio.Writer, req *fasthttp.Request) error {
	if req.Header.ContentLength() > MaxRequestSize {
		return fasthttp.ErrBodyTooLarge
	}
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// statusOf returns the status that tells why a request could not be read.
func statusOf(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	return fasthttp.StatusBadRequest
}
