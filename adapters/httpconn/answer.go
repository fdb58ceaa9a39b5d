package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	// MaxAnswerSize bounds the body of an answer, in bytes.
	MaxAnswerSize = 32 << 20
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 4096
	// firstFinal is the lowest status of a final answer.
	firstFinal = 200
)

// Errors of answers.
var (
	errUnframed = errors.New("the answer declares no length")
	errInterim  = errors.New("the answer starts with too many interim answers")
	errUpgrade  = errors.New("the answer changes the protocol")
)

// maxStale bounds the answers to earlier requests that are dropped.
const maxStale = 4

// readAnswer reads one whole answer and not a byte more.
func readAnswer(r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	for range maxStale {
		if err := readFinalHeader(r, resp); err != nil {
			return err
		}
		var checked error
		if o.Check != nil {
			checked = o.Check(resp)
		}
		if checked != nil && !errors.Is(checked, ErrOtherRequest) {
			return checked
		}
		if err := readBody(r, req, resp, o); err != nil || checked == nil {
			return err
		}
		resp.Reset()
	}
	return ErrOtherRequest
}

func readBody(r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, o *Options) error {
	if withoutBody(req, resp) {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length == lengthUnknown {
		if !o.AllowCloseDelimited {
			return errUnframed
		}
		return readToEnd(r, resp)
	}
	if err := resp.ReadBody(r, MaxAnswerSize); err != nil {
		return fmt.Errorf("answer cut: %w", err)
	}
	if length != lengthChunked {
		return nil
	}
	if err := resp.Header.ReadTrailer(r); err != nil {
		return fmt.Errorf("answer cut in its trailer: %w", err)
	}
	return nil
}

// The library's values for an answer without a declared length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// readToEnd reads a body that ends with its connection. A reset is an error.
func readToEnd(r *bufio.Reader, resp *fasthttp.Response) error {
	body, err := io.ReadAll(io.LimitReader(r, MaxAnswerSize+1))
	if err != nil {
		return fmt.Errorf("answer cut: %w", err)
	}
	if len(body) > MaxAnswerSize {
		return fasthttp.ErrBodyTooLarge
	}
	resp.SetBodyRaw(body)
	resp.SetConnectionClose()
	return nil
}

// readFinalHeader reads headers up to that of the final answer.
func readFinalHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errUpgrade
		case status >= firstFinal:
			return nil
		}
	}
	return errInterim
}

func withoutBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
