package memory

import (
	"runtime"

	"github.com/lesismal/nbio/mempool"
)

// allocator counts the buffers of an HTTP engine against a budget. A buffer that
// is never freed counts until the garbage collector finds it, so that no loss
// can use the budget up.
type allocator struct {
	budget *Budget
}

// Allocator returns an allocator whose buffers count against the budget.
func (b *Budget) Allocator() mempool.Allocator { return &allocator{budget: b} }

// Malloc returns a buffer of the given length.
func (a *allocator) Malloc(size int) *[]byte {
	buf := make([]byte, size)
	a.track(&buf)
	return &buf
}

// Realloc returns a buffer of the given length that starts with buf's bytes.
func (a *allocator) Realloc(buf *[]byte, size int) *[]byte {
	if size <= cap(*buf) {
		*buf = (*buf)[:size]
		return buf
	}
	return a.Append(buf, make([]byte, size-len(*buf))...)
}

// Append appends bytes to a buffer.
func (a *allocator) Append(buf *[]byte, more ...byte) *[]byte {
	before := cap(*buf)
	*buf = append(*buf, more...)
	a.budget.Add(cap(*buf) - before)
	return buf
}

// AppendString appends a string to a buffer.
func (a *allocator) AppendString(buf *[]byte, more string) *[]byte {
	before := cap(*buf)
	*buf = append(*buf, more...)
	a.budget.Add(cap(*buf) - before)
	return buf
}

// Free ends the use of a buffer.
func (a *allocator) Free(buf *[]byte) {
	if buf == nil {
		return
	}
	runtime.SetFinalizer(buf, nil)
	a.budget.Release(cap(*buf))
	*buf = nil
}

func (a *allocator) track(buf *[]byte) {
	a.budget.Add(cap(*buf))
	runtime.SetFinalizer(buf, func(buf *[]byte) { a.budget.Release(cap(*buf)) })
}
