package supervisor

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

// fullQueue is a control whose queue takes an event at the third try.
type fullQueue struct {
	holder *view.Holder
	tries  int
}

func (q *fullQueue) Send(control.Event) bool {
	if q.tries++; q.tries < 3 {
		return false
	}
	q.holder.Store(&view.Snapshot{Leaving: true})
	return true
}

type parts struct {
	busy    atomic.Int64
	drained atomic.Bool
	// answersWhenGivenUp makes GiveUp end what is in flight.
	answersWhenGivenUp bool
}

func (p *parts) Busy() int { return int(p.busy.Load()) }
func (p *parts) Drain()    { p.drained.Store(true) }
func (p *parts) GiveUp() {
	if p.answersWhenGivenUp {
		p.busy.Store(0)
	}
}

func newStopper(callers, owned *parts, drain time.Duration) (*stopper, *fullQueue) {
	holder := &view.Holder{}
	queue := &fullQueue{holder: holder}
	return &stopper{
		settings: settings.Stop{Drain: settings.Duration{Duration: drain}}, control: queue, holder: holder,
		unready: func() {}, callers: callers, owned: owned, log: logs.For("test"),
	}, queue
}

func TestStopTriesAgainWhenTheEventQueueIsFull(t *testing.T) {
	s, queue := newStopper(&parts{}, &parts{}, time.Minute)
	s.stop()
	assert.Equal(t, queue.tries, 3)
	assert.Assert(t, s.holder.Load().Leaving)
}

func TestStopWaitsForCallersAndEntries(t *testing.T) {
	callers, owned := &parts{}, &parts{}
	callers.busy.Store(1)
	owned.busy.Store(1)
	s, _ := newStopper(callers, owned, time.Minute)
	stopped := make(chan struct{})
	go func() {
		s.stop()
		close(stopped)
	}()
	for _, part := range []*parts{callers, owned} {
		select {
		case <-stopped:
			t.Fatal("stopped with a call in flight")
		case <-time.After(30 * time.Millisecond):
		}
		part.busy.Store(0)
	}
	<-stopped
	assert.Assert(t, callers.drained.Load())
}

func TestStopEndsAtTheDrainBound(t *testing.T) {
	callers := &parts{}
	callers.busy.Store(1)
	s, _ := newStopper(callers, &parts{}, 50*time.Millisecond)
	s.stop()
	assert.Equal(t, callers.Busy(), 1)
}

// Guards against calls that are cut without an answer because they outlast the drain bound.
func TestStopGivesUpCallsBeforeTheDrainBound(t *testing.T) {
	callers := &parts{answersWhenGivenUp: true}
	callers.busy.Store(1)
	s, _ := newStopper(callers, &parts{}, 400*time.Millisecond)
	begin := time.Now()
	s.stop()
	assert.Equal(t, callers.Busy(), 0)
	assert.Assert(t, time.Since(begin) >= 350*time.Millisecond, "calls may run as long as the bound allows")
}
