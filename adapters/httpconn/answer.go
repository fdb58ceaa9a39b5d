package httpconn

import (
	"bufio"
	"errors"
	"fmt"

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

// readAnswer reads one whole answer and not a byte more.
func readAnswer(r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response,
	check func(*fasthttp.Response) error) error {
	if err := readFinalHeader(r, resp); err != nil {
		return err
	}
	if check != nil {
		if err := check(resp); err != nil {
			return err
		}
	}
	if withoutBody(req, resp) {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length == -2 {
		return errUnframed
	}
	if err := resp.ReadBody(r, MaxAnswerSize); err != nil {
		return fmt.Errorf("answer cut: %w", err)
	}
	if length != -1 {
		return nil
	}
	if err := resp.Header.ReadTrailer(r); err != nil {
		return fmt.Errorf("answer cut in its trailer: %w", err)
	}
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
