package memory

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReserveFailsAboveLimit(t *testing.T) {
	b := NewBudget(100)
	assert.Assert(t, b.Reserve(60))
	assert.Assert(t, !b.Reserve(41))
	assert.Assert(t, b.Reserve(40))
	b.Release(100)
	assert.Equal(t, b.Used(), 0)
}

func TestAllocatorCountsBuffersUntilFreed(t *testing.T) {
	b := NewBudget(100)
	a := newAllocator(b)
	buf := a.Append(a.Malloc(10), make([]byte, minCountedBytes)...)
	assert.Equal(t, b.Used(), cap(*buf))
	assert.Assert(t, !b.Reserve(1))
	a.Free(buf)
	assert.Equal(t, b.Used(), 0)
}

func TestLeakedBufferIsReleasedByFinalizer(t *testing.T) {
	b := NewBudget(100)
	a := newAllocator(b)
	for range 10 {
		a.Malloc(minCountedBytes)
	}
	deadline := time.Now().Add(30 * time.Second)
	for b.Used() > 0 {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still counted", b.Used())
		runtime.GC()
		time.Sleep(time.Millisecond)
	}
}
