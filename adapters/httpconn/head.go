package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// MalformedError is the error of bytes that are not an answer by the grammar of
// HTTP/1.1 (RFC 9110, RFC 9112).
type MalformedError struct {
	// Part is the part of the answer, for example "status code".
	Part string
	// Expected and Found describe what the grammar allows there and what was read.
	Expected, Found string
}

// Error returns "malformed answer, PART: expected EXPECTED, found FOUND".
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed answer, %s: expected %s, found %s", e.Part, e.Expected, e.Found)
}

// maxQuoted is the maximum number of bytes of an answer that an error quotes.
const maxQuoted = 20

func malformed(part, expected string, found []byte) error {
	return &MalformedError{Part: part, Expected: expected, Found: fmt.Sprintf("%q", found[:min(len(found), maxQuoted)])}
}

const (
	versionStart = "HTTP/1."
	// Positions in a status line, which is HTTP-version SP status-code SP reason.
	statusStart = len("HTTP/1.1 ")
	statusEnd   = len("HTTP/1.1 200")
	reasonStart = len("HTTP/1.1 200 ")
)

// awaitHead waits until the head of an answer is in the buffer and checks it. Each line
// is checked as soon as it has arrived. The head stays in the buffer.
func awaitHead(r *bufio.Reader) error {
	if err := awaitVersion(r); err != nil {
		return err
	}
	var c headChecker
	_, err := awaitLines(r, c.checkLine)
	return err
}

// readTrailers reads the trailer fields after the last chunk, checks and drops them.
func readTrailers(r *bufio.Reader) error {
	length, err := awaitLines(r, checkField)
	if err != nil {
		return err
	}
	_, err = r.Discard(length)
	return err
}

// awaitVersion waits for versionStart, and returns an error at the first other byte: a
// server that does not speak the protocol may send no line break.
func awaitVersion(r *bufio.Reader) error {
	for n := 1; n <= len(versionStart); n++ {
		start, err := r.Peek(n)
		if err != nil {
			return endOfHead(r, err)
		}
		if start[n-1] != versionStart[n-1] {
			return malformed("version", versionStart, start)
		}
	}
	return nil
}

// awaitLines waits for the lines up to an empty one and passes each to check without
// its line break. It returns the length of the lines in bytes; they stay in the buffer.
func awaitLines(r *bufio.Reader, check func(line []byte) error) (int, error) {
	length := 0
	for {
		line, err := awaitLine(r, length)
		if err != nil {
			return 0, endOfHead(r, err)
		}
		length += len(line)
		text, isTerminated := bytes.CutSuffix(line, []byte("\r\n"))
		if !isTerminated {
			return 0, &MalformedError{Part: "line break", Expected: "CR LF", Found: "LF"}
		}
		if len(text) == 0 {
			return length, nil
		}
		if err := check(text); err != nil {
			return 0, err
		}
	}
}

// awaitLine waits for the line that begins at a position of the buffer and returns it
// with its line break. It stays in the buffer.
func awaitLine(r *bufio.Reader, start int) ([]byte, error) {
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(buffered[start:], '\n'); i >= 0 {
			return buffered[start : start+i+1], nil
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// endOfHead returns the error of a head or trailer section that ended early.
func endOfHead(r *bufio.Reader, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("head or trailer of an answer is longer than %d bytes", r.Size())
	case errors.Is(err, io.EOF) && r.Buffered() > 0:
		return fmt.Errorf("head or trailer of an answer truncated: %w", io.ErrUnexpectedEOF)
	}
	return err
}

// headChecker checks the lines of one head in their order.
type headChecker struct {
	// minor is the minor version of the answer, a digit, or 0 before the status line.
	minor byte
}

func (c *headChecker) checkLine(line []byte) error {
	if c.minor == 0 {
		if err := checkStatusLine(line); err != nil {
			return err
		}
		c.minor = line[len(versionStart)]
		return nil
	}
	if err := checkField(line); err != nil {
		return err
	}
	return c.checkCoding(line)
}

// checkCoding returns an error for a Transfer-Encoding field in an answer of a version
// other than 1.1: a server of such a version may not have written any chunks.
func (c *headChecker) checkCoding(line []byte) error {
	if c.minor == '1' {
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
		return nil
	}
	return malformed("version of an answer with Transfer-Encoding", "HTTP/1.1", []byte(versionStart+string(c.minor)))
}

func checkStatusLine(line []byte) error {
	if len(line) < reasonStart || line[statusStart-1] != ' ' || line[statusEnd] != ' ' || !isDigit(line[len(versionStart)]) {
		return malformed("status line", `"HTTP/1.x", a status code and a reason, separated by single blanks`, line)
	}
	if err := CheckStatus(line[statusStart:statusEnd]); err != nil {
		return err
	}
	reason := line[reasonStart:]
	if i := indexNonText(reason); i >= 0 {
		return malformed("reason", textCharacters, reason[i:i+1])
	}
	return nil
}

// CheckStatus returns a *MalformedError unless a status code has three digits and is one of
// those that have a class.
func CheckStatus(code []byte) error {
	if len(code) != statusEnd-statusStart || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return malformed("status code", "100 to 599", code)
	}
	return nil
}

func checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon {
		return malformed("field", "a colon after the name", line)
	}
	if len(name) == 0 {
		return malformed("field name", "a token", name)
	}
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return malformed("field name", "a token", name)
		}
	}
	if i := indexNonText(value); i >= 0 {
		// The rest of the value may be confidential.
		return malformed(fmt.Sprintf("value of field %.*s", maxQuoted, name), textCharacters, value[i:i+1])
	}
	return nil
}

// textCharacters names the characters of a reason and of a field value.
const textCharacters = "tabs, blanks and visible characters"

// indexNonText returns the index of the first byte that is not one of textCharacters, or
// -1. Bytes from 0x80 count as visible.
func indexNonText(text []byte) int {
	for i, b := range text {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return i
		}
	}
	return -1
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
