package httpserver

import "sync/atomic"

// budget bounds the bytes of the bodies held for all connections of a listener.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take reserves bytes for a request, unless they are over the limit.
func (b *budget) take(n int) bool {
	if used := b.used.Add(int64(n)); b.limit > 0 && used > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// add reserves bytes for an answer. An answer is never dropped for want of
// memory; requests wait for it instead.
func (b *budget) add(n int) { b.used.Add(int64(n)) }

func (b *budget) release(n int) { b.used.Add(int64(-n)) }
