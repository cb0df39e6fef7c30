package memory

import (
	"runtime"
	"sync"

	"github.com/lesismal/nbio/mempool"
)

const (
	// countFrom is the size in bytes from which a buffer counts. Smaller ones
	// hold heads and are pooled.
	countFrom = 4 << 10
	// pooledBytes is the size of a pooled buffer.
	pooledBytes = 1 << 10
)

// allocator counts the buffers of HTTP engines against a budget. A buffer that
// is never freed counts until the garbage collector finds it, so that no loss
// can use the budget up.
type allocator struct {
	budget *Budget
	small  sync.Pool
}

// CountHTTPBuffers counts the buffers of all HTTP engines that are made from now on:
// what their parsers hold of requests and answers, and what connections have not
// sent. The library has one allocator for the process, so the last budget to ask
// gets it. It must be called before an engine starts.
func (b *Budget) CountHTTPBuffers() { mempool.DefaultMemPool = newAllocator(b) }

func newAllocator(b *Budget) mempool.Allocator {
	a := &allocator{budget: b}
	a.small.New = func() any {
		buf := make([]byte, pooledBytes)
		return &buf
	}
	return a
}

// Malloc returns a buffer of the given length.
func (a *allocator) Malloc(size int) *[]byte {
	if size <= pooledBytes {
		buf := a.small.Get().(*[]byte)
		*buf = (*buf)[:size]
		return buf
	}
	buf := make([]byte, size)
	a.grown(&buf, 0)
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
	a.grown(buf, before)
	return buf
}

// AppendString appends a string to a buffer.
func (a *allocator) AppendString(buf *[]byte, more string) *[]byte {
	before := cap(*buf)
	*buf = append(*buf, more...)
	a.grown(buf, before)
	return buf
}

// Free ends the use of a buffer.
func (a *allocator) Free(buf *[]byte) {
	switch {
	case buf == nil:
	case cap(*buf) >= countFrom:
		runtime.SetFinalizer(buf, nil)
		a.budget.Release(cap(*buf))
		*buf = nil
	case cap(*buf) >= pooledBytes:
		a.small.Put(buf)
	}
}

// grown counts a buffer whose capacity was the given one before.
func (a *allocator) grown(buf *[]byte, before int) {
	now := cap(*buf)
	if now == before || now < countFrom {
		return
	}
	if before >= countFrom {
		a.budget.Add(now - before)
		return
	}
	a.budget.Add(now)
	runtime.SetFinalizer(buf, func(buf *[]byte) { a.budget.Release(cap(*buf)) })
}
