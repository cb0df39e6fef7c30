package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ErrUsedUp says that a body was given up: the budget is used up, and the body would hold
// more than its equal share.
var ErrUsedUp = errors.New("the memory for answers is used up")

// FairBudget bounds the bytes of the bodies that are held at the same time. The first chunk
// of a body is always allowed. While the budget is used up, bodies wait for bytes that are
// freed, and of those that would exceed their share the largest is given up, one after the
// other until the next in line gets its bytes. Bodies behind others on a connection, which
// can't be sent yet, get no more while half of the budget is used, and the shares are those of
// the other half. So the bodies can't all wait for each other: if none exceeds its share with
// the next chunk, one more chunk fits. It is safe for concurrent use.
type FairBudget struct {
	limit int

	mu      sync.Mutex
	used    int
	peak    int
	bodies  int       // that hold bytes
	waiting []*waiter // the oldest first
	// givingUp says that a body was given up and has not released its bytes yet.
	givingUp bool
}

// waiter is a body that waits for bytes.
type waiter struct {
	held, bytes int
	turn        <-chan struct{} // closed once the body can be sent; nil if it can
	settled     chan error      // gets one value: nil once the bytes are counted
}

// canBeSent reports whether nothing has to be sent before the body.
func (w *waiter) canBeSent() bool {
	select {
	case <-w.turn:
		return true
	default:
		return w.turn == nil
	}
}

type turnKey struct{}

// WithTurn returns a context for bodies that can't be sent before the channel is closed.
func WithTurn(ctx context.Context, turn <-chan struct{}) context.Context {
	return context.WithValue(ctx, turnKey{}, turn)
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
	w.turn, _ = ctx.Value(turnKey{}).(<-chan struct{})
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
		b.release(0, true, errors.Is(err, ErrUsedUp))
	}
	return err
}

// wait waits until a waiter is settled or the context ends.
func (b *FairBudget) wait(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.settled:
		return err
	case <-w.turn:
		b.mu.Lock()
		b.settle()
		b.mu.Unlock()
	case <-ctx.Done():
	}
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

// release returns bytes to the budget; last says that their body holds no more, and givenUp
// that it was given up.
func (b *FairBudget) release(bytes int, last, givenUp bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if last {
		b.bodies--
	}
	if givenUp {
		b.givingUp = false
	}
	b.used -= bytes
	b.settle()
}

func (b *FairBudget) count(bytes int) {
	b.used += bytes
	b.peak = max(b.peak, b.used)
}

// settle counts bytes for the waiting bodies, the oldest first. If one that can be sent gets
// none, it gives up the largest, if that is above its share.
func (b *FairBudget) settle() {
	blocked := false
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		sendable := w.canBeSent()
		limit := b.limit
		if !sendable {
			limit /= 2
		}
		if b.used+w.bytes <= limit && (!sendable || !blocked) {
			b.count(w.bytes)
			w.settled <- nil
			return true
		}
		blocked = blocked || sendable
		return false
	})
	if !blocked || b.givingUp {
		return
	}
	largest := slices.MaxFunc(b.waiting, func(v, w *waiter) int { return cmp.Compare(v.held+v.bytes, w.held+w.bytes) })
	if largest.held+largest.bytes <= b.limit/2/b.bodies {
		return
	}
	b.givingUp = true
	i := slices.Index(b.waiting, largest)
	b.waiting = slices.Delete(b.waiting, i, i+1)
	largest.settled <- ErrUsedUp
}
