package memory

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

// timeLimit bounds what must not wait for ever.
const timeLimit = 10 * time.Second

func testContext(cleanup func(func())) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	cleanup(cancel)
	return ctx
}

// ended is a context that has ended, so that nothing waits.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func waitForWaiting(t *testing.T, b *FairBudget) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Waiting() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d bodies wait", b.Waiting())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(timeLimit))
}

func TestBodyKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewFairBudget(1 << 20)
		body := budget.NewBody()
		var want []byte
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 2*nextChunkBytes), 0, 6).Draw(t, "sizes") {
			data := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "data")
			data = bytes.Repeat(data, size/16)
			assert.NilError(t, body.Append(ended, data))
			want = append(want, data...)
		}
		assert.Equal(t, body.Len(), len(want))
		assert.Equal(t, body.String(), string(want))
		moved := body.Move()
		assert.Equal(t, body.Len(), 0)
		body.Release()
		var got []byte
		for {
			chunk, ok := moved.Pop()
			if !ok {
				break
			}
			got = append(got, chunk.Data...)
			chunk.Recycle()
			chunk.Release()
			chunk.Release()
			assert.Equal(t, moved.Len(), len(want)-len(got))
		}
		assert.Assert(t, bytes.Equal(got, want))
		assert.Equal(t, budget.Used(), 0)
		moved.Release()
		moved.Release()
		assert.Equal(t, budget.Used(), 0)
	})
}

// Guards against answers that are all kept waiting for each other's memory, and against
// bytes that stay counted for ever.
func TestBodiesShareABudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		chunks := rapid.IntRange(1, 20).Draw(rt, "chunks of the limit")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12*nextChunkBytes), 1, 24).Draw(rt, "sizes")
		heads := rapid.SliceOfN(rapid.IntRange(0, 2*nextChunkBytes), len(sizes), len(sizes)).Draw(rt, "heads")
		budget := NewFairBudget(chunks * nextChunkBytes)
		ctx := testContext(rt.Cleanup)
		var group sync.WaitGroup
		for i, size := range sizes {
			group.Go(func() {
				body := budget.NewBody()
				defer body.Release()
				err := fill(ctx, body, heads[i], size)
				if err == nil {
					time.Sleep(rand.N(100 * time.Microsecond))
					moved := body.Move()
					for chunk, ok := moved.Pop(); ok; chunk, ok = moved.Pop() {
						chunk.Release()
					}
					moved.Release()
				}
				if err != nil && !errors.Is(err, ErrUsedUp) {
					rt.Errorf("body of %d bytes: %v", size, err)
				}
				if heads[i] == 0 && size <= firstChunkBytes && err != nil {
					rt.Errorf("small body of %d bytes: %v", size, err)
				}
			})
		}
		group.Wait()
		if allowed := chunks*nextChunkBytes + len(sizes)*firstChunkBytes; budget.Peak() > allowed {
			rt.Errorf("peak %d above %d", budget.Peak(), allowed)
		}
		if budget.Used() != 0 || budget.Waiting() != 0 || budget.bodies != 0 {
			rt.Errorf("%d bytes, %d waiting and %d bodies are left", budget.Used(), budget.Waiting(), budget.bodies)
		}
	})
}

func fill(ctx context.Context, body *Body, head, size int) error {
	if head > 0 {
		if err := body.Hold(ctx, head); err != nil {
			return err
		}
	}
	for body.Len() < size {
		if err := body.Append(ctx, make([]byte, min(3000, size-body.Len()))); err != nil {
			return err
		}
	}
	return nil
}

func TestBodyWaitsForMemoryThatIsFreed(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	large, small := budget.NewBody(), budget.NewBody()
	assert.NilError(t, fill(ended, large, 0, 9*nextChunkBytes+firstChunkBytes))
	got := make(chan error, 1)
	go func() { got <- fill(testContext(t.Cleanup), small, 0, 2*nextChunkBytes) }()
	waitForWaiting(t, budget)
	large.Release()
	assert.NilError(t, <-got)
	small.Release()
	assert.Equal(t, budget.Used(), 0)
}

func TestWaitForMemoryEndsWithTheContext(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	large, small := budget.NewBody(), budget.NewBody()
	assert.NilError(t, fill(ended, large, 0, 9*nextChunkBytes+firstChunkBytes))
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan error, 1)
	go func() { got <- fill(ctx, small, 0, 2*nextChunkBytes) }()
	waitForWaiting(t, budget)
	cancel()
	assert.ErrorIs(t, <-got, context.Canceled)
	small.Release()
	large.Release()
	assert.Equal(t, budget.Used(), 0)
}

// Guards against answers without end that keep others out: the one above its share goes
// first, and the one that is below gets what it held.
func TestBodyAboveItsShareIsGivenUp(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	large, other := budget.NewBody(), budget.NewBody()
	ctx := testContext(t.Cleanup)
	assert.NilError(t, fill(ctx, other, 0, firstChunkBytes))
	assert.NilError(t, fill(ctx, large, 0, 9*nextChunkBytes+firstChunkBytes))
	assert.ErrorIs(t, large.Append(ctx, make([]byte, 1)), ErrUsedUp)
	got := make(chan error, 1)
	go func() { got <- fill(ctx, other, 0, 3*nextChunkBytes) }()
	waitForWaiting(t, budget)
	large.Release()
	assert.NilError(t, <-got)
	other.Release()
	assert.Equal(t, budget.Used(), 0)
}

// Guards against bodies that wait for each other: more bodies make the shares smaller, and
// one that waits already may be above its share then.
func TestWaitingBodyIsGivenUpWhenTheSharesShrink(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	ctx := testContext(t.Cleanup)
	sent, waits := budget.NewBody(), budget.NewBody()
	assert.NilError(t, fill(ctx, sent, 0, 9*nextChunkBytes+firstChunkBytes))
	assert.NilError(t, fill(ctx, waits, 0, firstChunkBytes))
	got := make(chan error, 1)
	go func() { got <- fill(ctx, waits, 0, 9*nextChunkBytes) }()
	waitForWaiting(t, budget)
	var more []*Body
	for range 8 {
		more = append(more, budget.NewBody())
		assert.NilError(t, fill(ctx, more[len(more)-1], 0, 1))
	}
	assert.ErrorIs(t, <-got, ErrUsedUp)
	for _, b := range append(more, sent, waits) {
		b.Release()
	}
	assert.Equal(t, budget.Used(), 0)
}

// Guards against large answers that are all given up at once although one of them is enough
// to let the others go on.
func TestOnlyTheLargestBodyIsGivenUp(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	ctx := testContext(t.Cleanup)
	var bodies []*Body
	for _, chunks := range []int{4, 5} {
		bodies = append(bodies, budget.NewBody())
		assert.NilError(t, fill(ctx, bodies[len(bodies)-1], 0, chunks*nextChunkBytes+firstChunkBytes))
	}
	small := budget.NewBody() // makes the shares smaller than what the others hold
	assert.NilError(t, fill(ctx, small, 0, 1))
	got := make(chan error, 1)
	blocker := budget.NewBody()
	assert.NilError(t, fill(ctx, blocker, 0, 1))
	go func() { got <- fill(ctx, bodies[0], 0, 5*nextChunkBytes) }()
	assert.ErrorIs(t, <-got, ErrUsedUp, "the only one that waits")
	go func() { got <- fill(ctx, bodies[1], 0, 6*nextChunkBytes) }()
	waitForWaiting(t, budget)
	bodies[0].Release()
	assert.NilError(t, <-got, "the next one gets what the first has freed")
	for _, b := range append(bodies, small, blocker) {
		b.Release()
	}
	assert.Equal(t, budget.Used(), 0)
}

// Guards against answers that hold all the memory while they wait for one before them on
// their connection, which waits for memory.
func TestBodiesBehindOthersLeaveThemMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		chunks := rapid.IntRange(8, 16).Draw(rt, "chunks of the limit")
		connections := rapid.IntRange(1, 4).Draw(rt, "connections")
		sizes := rapid.SliceOfN(rapid.IntRange(nextChunkBytes, 8*nextChunkBytes), 3*connections, 3*connections).Draw(rt, "sizes")
		budget := NewFairBudget(chunks * nextChunkBytes)
		ctx := testContext(rt.Cleanup)
		var group sync.WaitGroup
		for c := range connections {
			before := make(chan struct{})
			close(before)
			for i, size := range sizes[3*c : 3*c+3] {
				turn, done := before, make(chan struct{})
				before = done
				group.Go(func() {
					defer close(done)
					time.Sleep(time.Duration(2-i) * time.Millisecond) // the last one comes first
					body := budget.NewBody()
					defer body.Release()
					err := fill(WithTurn(ctx, turn), body, 0, size)
					if err != nil {
						body.Release()
					}
					if err != nil && !errors.Is(err, ErrUsedUp) {
						rt.Errorf("body of %d bytes: %v", size, err)
					}
					<-turn
				})
			}
		}
		group.Wait()
		if budget.Used() != 0 || budget.Waiting() != 0 {
			rt.Errorf("%d bytes, %d waiting are left", budget.Used(), budget.Waiting())
		}
	})
}

func TestBodyBehindAnotherGetsMemoryWhenItsTurnComes(t *testing.T) {
	budget := NewFairBudget(10 * nextChunkBytes)
	ctx := testContext(t.Cleanup)
	turn := make(chan struct{})
	body := budget.NewBody()
	got := make(chan error, 1)
	go func() { got <- fill(WithTurn(ctx, turn), body, 0, 8*nextChunkBytes) }()
	waitForWaiting(t, budget)
	assert.Equal(t, budget.Used(), firstChunkBytes+4*nextChunkBytes)
	close(turn)
	assert.NilError(t, <-got)
	body.Release()
	assert.Equal(t, budget.Used(), 0)
}
