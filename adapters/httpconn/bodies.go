package httpconn

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// freeBodyBytes is the size up to which the body of a request needs no budget.
	freeBodyBytes = 64 << 10
	// maxBodyWait is bodyBudget.wait.
	maxBodyWait = 300 * time.Millisecond
	// bodyStep is the unit in which the budget is taken for a body of unknown length.
	bodyStep = 256 << 10
)

// ErrNoBodyRoom means that the body of a request was not read, or not to its end, since
// the bodies that the server holds take all memory that they may use.
var ErrNoBodyRoom = errors.New("no memory for the body of the request")

// bodyBudget bounds the bytes of the request bodies that a server holds. While there is
// no room for a body it is not read, which holds its caller back.
type bodyBudget struct {
	bytes int64
	free  *semaphore.Weighted
	// wait is how long a body of known length waits until there is room.
	wait time.Duration
}

func newBodyBudget(bytes int64) *bodyBudget {
	return &bodyBudget{bytes: bytes, free: semaphore.NewWeighted(bytes), wait: maxBodyWait}
}

// bodyAccount is the part of a budget that one request holds. A nil budget has no bound.
type bodyAccount struct {
	budget *bodyBudget
	// held and received are in bytes; received counts a body of unknown length.
	held, received int64
}

// await takes the budget for a body of known length. It returns ErrNoBodyRoom if there
// is no room for it in time.
func (a *bodyAccount) await(length int64) error {
	if a.budget == nil || length <= freeBodyBytes {
		return nil
	}
	if length > a.budget.bytes {
		return ErrNoBodyRoom
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.budget.wait)
	defer cancel()
	if a.budget.free.Acquire(ctx, length) != nil {
		return ErrNoBodyRoom
	}
	a.held += length
	return nil
}

// receive takes the budget for bytes of a body of unknown length. It returns
// ErrNoBodyRoom if there is no room: waiting while it holds a part of the budget could
// keep other bodies waiting for that part.
func (a *bodyAccount) receive(bytes int64) error {
	a.received += bytes
	for a.budget != nil && a.received > freeBodyBytes+a.held {
		if !a.budget.free.TryAcquire(bodyStep) {
			return ErrNoBodyRoom
		}
		a.held += bodyStep
	}
	return nil
}

// release returns what the request holds.
func (a *bodyAccount) release() {
	if a.held > 0 {
		a.budget.free.Release(a.held)
	}
	a.held, a.received = 0, 0
}
