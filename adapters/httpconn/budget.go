package httpconn

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// freeAnswerBytes is the size up to which an answer needs no budget.
const freeAnswerBytes = 64 << 10

var errAnswerBudget = errors.New("the answers that are being read exceed the memory that they may use together")

// Budget bounds the bytes of the answers that are read or forwarded at the same time, over
// all pools that share it. An answer that is read for a request of a Server has its room
// until it has been written to the client.
type Budget struct {
	free atomic.Int64
	// onShort is called when there is no room; it may be nil.
	onShort func()
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// OnShort sets a function that is called each time when there is no room for an answer. It
// must be called before the first exchange.
func (b *Budget) OnShort(f func()) { b.onShort = f }

// take takes bytes from the budget and reports whether there were enough.
func (b *Budget) take(bytes int64) bool {
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	if b.onShort != nil {
		b.onShort()
	}
	return false
}

// account is the part of a budget that one answer holds. A nil budget has no bound.
type account struct {
	budget *Budget
	// received and held are in bytes; held is what was taken from the budget.
	received, held int64
}

// receive counts bytes of the answer. It returns errAnswerBudget if the budget has
// no room for them.
func (a *account) receive(bytes int) error {
	a.received += int64(bytes)
	return a.reserve(a.received)
}

// reserve takes what an answer of a size needs and does not hold yet.
func (a *account) reserve(size int64) error {
	missing := size - freeAnswerBytes - a.held
	if a.budget == nil || missing <= 0 {
		return nil
	}
	if !a.budget.take(missing) {
		return errAnswerBudget
	}
	a.held += missing
	return nil
}

// release returns what the answer holds.
func (a *account) release() {
	if a.budget != nil {
		a.budget.free.Add(a.held)
	}
	a.received, a.held = 0, 0
}

// answerHold is the room of the answers that were read for one request of a Server. It is
// kept until the request has been answered, since the daemon holds them until then.
type answerHold struct {
	mu     sync.Mutex
	budget *Budget
	held   int64
	ended  bool
}

type answerHoldKey struct{}

// withAnswerHold returns a context whose exchanges leave the room of their answers to h.
func withAnswerHold(ctx context.Context, h *answerHold) context.Context {
	return context.WithValue(ctx, answerHoldKey{}, h)
}

// handOver moves the room of an answer to the hold of a context, if there is one that has
// not ended, and returns it to the budget otherwise.
func (a *account) handOver(ctx context.Context) {
	h, _ := ctx.Value(answerHoldKey{}).(*answerHold)
	if h == nil || a.held == 0 || !h.adopt(a) {
		a.release()
		return
	}
	a.received, a.held = 0, 0
}

func (h *answerHold) adopt(a *account) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || (h.budget != nil && h.budget != a.budget) {
		return false
	}
	h.budget = a.budget
	h.held += a.held
	return true
}

func (h *answerHold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budget != nil {
		h.budget.free.Add(h.held)
	}
	h.held, h.ended = 0, true
}
