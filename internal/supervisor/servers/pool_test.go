package servers

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// listen accepts connections, keeps them open and returns the address.
func listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return listener.Addr().String()
}

func testPool(t *testing.T, limit int) *pool {
	t.Helper()
	return newPool(newResponseLimits(1<<20), listen(t), limit)
}

func get(t *testing.T, p *pool) *conn {
	t.Helper()
	c, err := p.get(t.Context(), time.Minute)
	assert.NilError(t, err)
	return c
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

func TestWaitingCallsGetConnectionsInTheirOrder(t *testing.T) {
	p := testPool(t, 1)
	c := get(t, p)
	order := make(chan int, 3)
	for i := range 3 {
		go func() {
			c, err := p.get(context.Background(), time.Minute)
			if err != nil {
				return
			}
			order <- i
			p.put(c)
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if p.waiting() > i {
				return poll.Success()
			}
			return poll.Continue("%d wait", p.waiting())
		})
	}
	p.put(c)
	for i := range 3 {
		assert.Equal(t, <-order, i)
	}
}

func TestWaitEndsWithTheContextAndLeavesTheQueue(t *testing.T) {
	p := testPool(t, 1)
	c := get(t, p)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := p.get(ctx, time.Minute)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, p.waiting(), 0)
	p.put(c)
	assert.Equal(t, get(t, p), c)
}

// TestBookingsTakeNoStaleConnection guards against a call that is not idempotent being
// sent on a connection that the server may have closed.
func TestBookingsTakeNoStaleConnection(t *testing.T) {
	p := testPool(t, 2)
	c := get(t, p)
	c.lastUsed = time.Now().Add(-2 * maxIdleNonIdempotent)
	p.put(c)
	other, err := p.get(t.Context(), maxIdleNonIdempotent)
	assert.NilError(t, err)
	assert.Assert(t, other != c)
	assert.Assert(t, !c.usable())
}

func TestDropUnansweredSinceKeepsConnectionsWithANewerAnswer(t *testing.T) {
	p := testPool(t, 3)
	old, recent := get(t, p), get(t, p)
	sent := time.Now()
	old.lastUsed, recent.lastUsed = sent.Add(-time.Millisecond), sent.Add(time.Millisecond)
	p.put(old)
	p.put(recent)
	p.dropUnansweredSince(sent)
	assert.Assert(t, !old.usable())
	assert.Equal(t, get(t, p), recent)
}

// TestDropIdleAlsoClosesConnectionsInUseAfterTheirCall guards against a connection
// to a leaving server returning to the pool.
func TestDropIdleAlsoClosesConnectionsInUseAfterTheirCall(t *testing.T) {
	p := testPool(t, 2)
	c := get(t, p)
	p.dropIdle()
	assert.Assert(t, c.usable())
	c.lastUsed = time.Now()
	p.put(c)
	assert.Assert(t, !c.usable())
}

func TestClosedPoolRefusesWaitingCalls(t *testing.T) {
	p := testPool(t, 1)
	get(t, p)
	done := make(chan error)
	go func() {
		_, err := p.get(context.Background(), time.Minute)
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.waiting() == 1 {
			return poll.Success()
		}
		return poll.Continue("no call waits")
	})
	p.close()
	assert.ErrorIs(t, <-done, errPoolClosed)
}

// TestReplaceOldestIdleKeepsTheLimit guards against a connect check that opens a connection
// beyond the server's limit.
func TestReplaceOldestIdleKeepsTheLimit(t *testing.T) {
	p := testPool(t, 1)
	p.put(get(t, p))
	assert.NilError(t, p.replaceOldestIdle(t.Context()))
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.open <= 1)
}
