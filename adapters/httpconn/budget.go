package httpconn

import (
	"errors"
	"sync/atomic"
)

// freeAnswerBytes is the size up to which an answer needs no budget.
const freeAnswerBytes = 64 << 10

var errAnswerBudget = errors.New("the answers that are being read exceed the memory that they may use together")

// Budget bounds the bytes of the answers that are read at the same time, over all
// pools that share it.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// take takes bytes from the budget and reports whether there were enough.
func (b *Budget) take(bytes int64) bool {
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
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
