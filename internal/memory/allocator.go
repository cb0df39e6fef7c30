package memory

import (
	"runtime"
	"sync"

	"github.com/lesismal/nbio/mempool"
)

const (
	// minCountedBytes is the capacity from which a buffer is counted. Smaller ones
	// hold message headers and are pooled.
	minCountedBytes = 4 << 10
	// pooledBytes is the capacity of a pooled buffer.
	pooledBytes = 1 << 10
)

// allocator counts the buffers of HTTP engines against a budget. The finalizer of a
// buffer that is never freed releases its bytes, so that leaked buffers can't exhaust
// the budget.
type allocator struct {
	budget *Budget
	pool   sync.Pool
}

// CountHTTPBuffers counts the buffers that HTTP engines allocate from now on against the
// budget: unparsed requests and answers, and data that is not sent yet. The library has
// one allocator for the process, so only the last budget for which it is called counts
// them. It must be called before an engine starts.
func (b *Budget) CountHTTPBuffers() { mempool.DefaultMemPool = newAllocator(b) }

func newAllocator(b *Budget) mempool.Allocator {
	a := &allocator{budget: b}
	a.pool.New = func() any {
		buf := make([]byte, pooledBytes)
		return &buf
	}
	return a
}

// Malloc returns a buffer of the given length.
func (a *allocator) Malloc(size int) *[]byte {
	if size <= pooledBytes {
		buf := a.pool.Get().(*[]byte)
		*buf = (*buf)[:size]
		return buf
	}
	buf := make([]byte, size)
	a.countGrowth(&buf, 0)
	return &buf
}

// Realloc changes the length of a buffer and keeps its contents.
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
	a.countGrowth(buf, before)
	return buf
}

// AppendString appends a string to a buffer.
func (a *allocator) AppendString(buf *[]byte, more string) *[]byte {
	before := cap(*buf)
	*buf = append(*buf, more...)
	a.countGrowth(buf, before)
	return buf
}

// Free returns a small buffer to the pool and stops counting a large one.
func (a *allocator) Free(buf *[]byte) {
	switch {
	case buf == nil:
	case cap(*buf) >= minCountedBytes:
		runtime.SetFinalizer(buf, nil)
		a.budget.Release(cap(*buf))
		*buf = nil
	case cap(*buf) >= pooledBytes:
		a.pool.Put(buf)
	}
}

// countGrowth counts the growth of a buffer from the given capacity, in bytes.
func (a *allocator) countGrowth(buf *[]byte, oldCap int) {
	now := cap(*buf)
	if now == oldCap || now < minCountedBytes {
		return
	}
	if oldCap >= minCountedBytes {
		a.budget.Add(now - oldCap)
		return
	}
	a.budget.Add(now)
	runtime.SetFinalizer(buf, func(buf *[]byte) { a.budget.Release(cap(*buf)) })
}
