package memory

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ErrUsedUp says that a body was given up: the budget is used up, and the body would hold
// more than its equal share.
var ErrUsedUp = errors.New("the memory for answers is used up")

// FairBudget bounds the bytes of the bodies that are held at the same time. The first chunk
// of a body is always allowed. While the budget is used up, a body that would exceed its
// equal share is given up, and the others wait for bytes that are freed. The bodies can't
// all wait for each other: if none exceeds its share with the next chunk, one more chunk
// fits. It is safe for concurrent use.
type FairBudget struct {
	limit int

	mu      sync.Mutex
	used    int
	peak    int
	bodies  int       // that hold bytes
	waiting []*waiter // the oldest first
}

// waiter is a body that waits for bytes.
type waiter struct {
	held, bytes int
	settled     chan error // gets one value: nil once the bytes are counted
}

// NewFairBudget returns a budget with a limit in bytes.
func NewFairBudget(limit int) *FairBudget { return &FairBudget{limit: limit} }

// NewBody returns an empty body whose bytes count against the budget. Those of a body of a
// nil budget are not counted.
func (b *FairBudget) NewBody() *Body { return &Body{budget: b} }

// Used returns the number of bytes counted.
func (b *FairBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Peak returns the highest number of bytes counted so far.
func (b *FairBudget) Peak() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Waiting returns the number of bodies that wait for bytes.
func (b *FairBudget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// reserve counts bytes for a body that holds some already, and waits for them if necessary.
// It returns ErrUsedUp if the body is to be given up, or the error of the context.
func (b *FairBudget) reserve(ctx context.Context, held, bytes int) error {
	if b == nil {
		return nil
	}
	w := &waiter{held: held, bytes: bytes, settled: make(chan error, 1)}
	b.mu.Lock()
	if held == 0 {
		b.bodies++
	}
	b.waiting = append(b.waiting, w)
	b.settle()
	b.mu.Unlock()
	var err error
	select {
	case err = <-w.settled:
	default:
		err = b.wait(ctx, w)
	}
	if err != nil && held == 0 {
		b.release(0, true)
	}
	return err
}

// wait waits until a waiter is settled or the context ends.
func (b *FairBudget) wait(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.settled:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return <-w.settled // at the same time
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.settle()
	return errors.Wrap(ctx.Err(), "wait for memory for an answer")
}

// add counts the first chunk of a body, even above the limit.
func (b *FairBudget) add(held, bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if held == 0 {
		b.bodies++
	}
	b.count(bytes)
	b.settle()
}

// release returns bytes to the budget; last says that their body holds no more.
func (b *FairBudget) release(bytes int, last bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if last {
		b.bodies--
	}
	b.used -= bytes
	b.settle()
}

func (b *FairBudget) count(bytes int) {
	b.used += bytes
	b.peak = max(b.peak, b.used)
}

// settle counts bytes for the waiting bodies, the oldest first, and gives up those above
// their share if the next in line gets none.
func (b *FairBudget) settle() {
	for len(b.waiting) > 0 && b.used+b.waiting[0].bytes <= b.limit {
		b.count(b.waiting[0].bytes)
		b.waiting[0].settled <- nil
		b.waiting = slices.Delete(b.waiting, 0, 1)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if w.held+w.bytes <= b.limit/b.bodies {
			return false
		}
		w.settled <- ErrUsedUp
		return true
	})
}
