package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
)

const (
	// freeBodyBytes is the size up to which the body of a request needs no room in the
	// budget of bodies. Its room is in RequestMemory.
	freeBodyBytes = 64 << 10
	// maxBodyWait is bodyBudget.wait.
	maxBodyWait = 300 * time.Millisecond
	// bodyStep is the longest block in which a body of unknown length is read.
	bodyStep = 256 << 10
)

// ErrNoBodyRoom means that the body of a request was not read, or not to its end, since
// the requests that the server holds take all memory that they may use.
var ErrNoBodyRoom = errors.New("no memory for the body of the request")

// bodyBudget bounds the bytes of the long request bodies that a server holds. While there
// is no room for a body it is not read, which holds its caller back.
type bodyBudget struct {
	bytes int64
	free  *semaphore.Weighted
	// wait is how long a body of known length waits until there is room.
	wait time.Duration
}

func newBodyBudget(bytes int64) *bodyBudget {
	return &bodyBudget{bytes: bytes, free: semaphore.NewWeighted(bytes), wait: maxBodyWait}
}

// bodyAccount is the room that the body of one request holds: in the budget of long bodies
// beyond freeBodyBytes, otherwise in the memory of requests. Both may be nil and have no
// bound then.
type bodyAccount struct {
	// max is the largest size of the body, in bytes.
	max    int
	budget *bodyBudget
	memory memoryAccount
	// held is in bytes of the budget.
	held int64
}

// await takes the room for a body of known length. It returns ErrNoBodyRoom if there is
// none in time.
func (a *bodyAccount) await(length int64) error {
	if length <= freeBodyBytes {
		return a.memory.await(length)
	}
	if a.budget == nil {
		return nil
	}
	if length > a.budget.bytes {
		return ErrNoBodyRoom
	}
	if !acquireWithin(a.budget.wait, a.budget.free, length) {
		return ErrNoBodyRoom
	}
	a.held += length
	return nil
}

// grow takes the room for a buffer of a body of unknown length. It returns ErrNoBodyRoom
// if there is none: waiting while it holds room could keep other bodies waiting for that.
func (a *bodyAccount) grow(size int64) error {
	if size <= freeBodyBytes {
		return a.memory.extend(size)
	}
	missing := size - freeBodyBytes - a.held
	if a.budget == nil || missing <= 0 {
		return nil
	}
	if !a.budget.free.TryAcquire(missing) {
		return ErrNoBodyRoom
	}
	a.held += missing
	return nil
}

// release returns what the request holds.
func (a *bodyAccount) release() {
	if a.held > 0 {
		a.budget.free.Release(a.held)
	}
	a.held = 0
	a.memory.release()
}

// readRequestBody reads the body of a request whose head has been read, and drops the fields
// after a body of unknown length. For each step in which the buffer of such a body grows, it takes
// room first: fasthttp's own reader takes memory for as many bytes as a chunk states.
func readRequestBody(r *bufio.Reader, req *fasthttp.Request, room *bodyAccount) error {
	length := req.Header.ContentLength()
	switch {
	case length > room.max:
		return fasthttp.ErrBodyTooLarge
	case length > 0:
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return err
		}
		req.SetBodyRaw(body)
		return nil
	case length != chunkedLength:
		return nil
	}
	body, err := readChunks(r, room)
	if err != nil {
		return err
	}
	req.SetBodyRaw(body)
	return skipTrailers(r)
}

var errLongTrailers = errors.New("fields after the body are longer than a head may be")

// skipTrailers reads the fields after a body in chunks and drops them: they are not
// forwarded, and thousands of them would take memory without room.
func skipTrailers(r *bufio.Reader) error {
	for size := 0; size <= MaxHeaderSize; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return errLongTrailers
}

// chunkedLength is the length of a body in chunks as RequestHeader.ContentLength has it.
const chunkedLength = -1

// readChunks reads a body in chunks.
func readChunks(r *bufio.Reader, room *bodyAccount) ([]byte, error) {
	return readBlocks(httputil.NewChunkedReader(r), room.max, room.grow)
}

// readBlocks reads to the end of a body of unknown length and of at most limit bytes. grow
// is called with the size of all blocks before each of them is allocated. The blocks are
// joined at the end; a buffer that grows would be copied many times.
func readBlocks(r io.Reader, limit int, grow func(size int64) error) ([]byte, error) {
	var blocks [][]byte
	size, block := 0, []byte(nil)
	for {
		if len(block) == cap(block) {
			next := min(max(2*cap(block), freeRequestBytes), bodyStep)
			if err := grow(int64(size + next)); err != nil {
				return nil, err
			}
			block = make([]byte, 0, next)
			blocks = append(blocks, block)
		}
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		blocks[len(blocks)-1] = block
		size += n
		switch {
		case errors.Is(err, io.EOF):
			return joinBlocks(blocks), nil
		case err != nil:
			return nil, err
		case size > limit:
			return nil, fasthttp.ErrBodyTooLarge
		}
	}
}

func joinBlocks(blocks [][]byte) []byte {
	if len(blocks) == 1 {
		return blocks[0]
	}
	return bytes.Join(blocks, nil)
}
