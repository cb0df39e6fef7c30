package placement

import (
	"container/heap"
	"time"
)

// Waiter is a call that waits for a free slot. Use it with one Queue only.
type Waiter struct {
	// Priority ranks calls; 0 is the most urgent.
	Priority int
	// LatestStart is until when the call must start to be answered within its
	// objective.
	LatestStart time.Time
	// Turn gets a value when the call is the first.
	Turn chan struct{}
	// Owner is the caller's own.
	Owner any

	index int
	late  bool
}

// Queue orders the calls that wait for one service: those that can still be
// answered within their objective first, by priority, then by who has least time
// to spare. It is not safe for concurrent use.
type Queue struct {
	heap waiters
}

// Add lets a call wait. The first of an empty queue gets its turn at once.
func (q *Queue) Add(w *Waiter, now time.Time) {
	w.late = now.After(w.LatestStart)
	heap.Push(&q.heap, w)
	q.wake()
}

// Remove ends the wait of a call.
func (q *Queue) Remove(w *Waiter, now time.Time) {
	if !w.Queued() {
		return
	}
	heap.Remove(&q.heap, w.index)
	q.age(now)
	q.wake()
}

// Pop removes the first call and returns it, or nil.
func (q *Queue) Pop() *Waiter {
	if len(q.heap) == 0 {
		return nil
	}
	w := heap.Pop(&q.heap).(*Waiter)
	q.wake()
	return w
}

// Queued reports whether the call waits.
func (w *Waiter) Queued() bool { return w.index >= 0 }

// age puts calls that can no longer be on time behind the others.
func (q *Queue) age(now time.Time) {
	changed := false
	for _, w := range q.heap {
		if !w.late && now.After(w.LatestStart) {
			w.late, changed = true, true
		}
	}
	if changed {
		heap.Init(&q.heap)
	}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.heap) }

func (q *Queue) wake() {
	if len(q.heap) == 0 {
		return
	}
	select {
	case q.heap[0].Turn <- struct{}{}:
	default:
	}
}

type waiters []*Waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	a, b := w[i], w[j]
	switch {
	case a.late != b.late:
		return b.late
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	default:
		return a.LatestStart.Before(b.LatestStart)
	}
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*Waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	item.index = -1
	return item
}
