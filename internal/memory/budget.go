// Package memory bounds the bytes of request and answer bodies that the process
// holds.
package memory

import (
	"sync/atomic"

	"github.com/baobabstack/baobabstack/internal/defect"
)

// Budget counts bytes against a limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Reserve counts n bytes before they are allocated. If the limit would be exceeded it
// counts nothing and returns false.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit && !defect.On("no-memory-budget") {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Add counts n bytes that are already allocated, even above the limit.
func (b *Budget) Add(n int) { b.used.Add(int64(n)) }

// Release returns n counted bytes to the budget.
func (b *Budget) Release(n int) { b.used.Add(-int64(n)) }

// Used returns the number of bytes counted.
func (b *Budget) Used() int { return int(b.used.Load()) }
