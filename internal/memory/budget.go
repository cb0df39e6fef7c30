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

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Reserve takes bytes that will be held and reports whether they fit.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit && !defect.On("no-memory-budget") {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// Add counts bytes that are held already, whether or not they fit.
func (b *Budget) Add(n int) { b.used.Add(int64(n)) }

// Release gives bytes back.
func (b *Budget) Release(n int) { b.used.Add(-int64(n)) }

// Used returns the bytes counted now.
func (b *Budget) Used() int { return int(b.used.Load()) }
