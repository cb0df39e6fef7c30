package memory

import (
	"runtime"
	"sync"

	"github.com/lesismal/nbio/mempool"
)

const (
	// minCountedBytes is the least capacity of a buffer that is counted. Smaller buffers
	// hold message headers.
	minCountedBytes = 4 << 10
	// pooledBytes is the capacity of a new buffer in the pool, and the least capacity of
	// a buffer that is returned to the pool.
	pooledBytes = 1 << 10
)

// allocator counts the large buffers of HTTP engines against a budget. If a buffer is
// never freed, its finalizer returns its bytes to the budget, so that leaked buffers
// can't exhaust it.
type allocator struct {
	budget *Budget
	pool   sync.Pool
}

// CountHTTPBuffers counts the buffers that HTTP engines allocate from now on against the
// budget: unparsed requests and answers, and data that is not sent yet. The HTTP library
// has one allocator for the process, so only the budget of the last call counts the
// buffers. It must be called before an engine starts.
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

// Free returns the bytes of a counted buffer to the budget. A smaller buffer goes to the
// pool if its capacity is at least pooledBytes.
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

// countGrowth counts the growth of a buffer from the given old capacity, in bytes. A
// buffer that reaches minCountedBytes is counted whole and gets a finalizer.
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
