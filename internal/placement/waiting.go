package placement

import (
	"container/heap"
	"time"
)

// Waiter is a call that waits for a free slot. It belongs to one Queue only.
type Waiter struct {
	// Priority ranks calls; 0 is the most urgent.
	Priority int
	// LatestStart is when the call must start to be answered within its objective.
	LatestStart time.Time
	// Turn receives a value when the call becomes the first in the queue. It needs a
	// buffer of 1.
	Turn chan struct{}
	// Owner is for the user of the queue, which does not read it.
	Owner any

	index int
	late  bool
}

// Queue orders the calls that wait for one service: first those that can still meet
// their objective, then by priority, then by latest start. It is not safe for concurrent
// use.
type Queue struct {
	heap waiterHeap
}

// Add queues a call and signals the first in the queue.
func (q *Queue) Add(w *Waiter, now time.Time) {
	w.late = now.After(w.LatestStart)
	heap.Push(&q.heap, w)
	q.signalFirst()
}

// Remove takes a call out of the queue, if it is there, and signals the first.
func (q *Queue) Remove(w *Waiter, now time.Time) {
	if !w.Queued() {
		return
	}
	heap.Remove(&q.heap, w.index)
	q.demoteLate(now)
	q.signalFirst()
}

// Pop removes and returns the first call, or nil if the queue is empty.
func (q *Queue) Pop() *Waiter {
	if len(q.heap) == 0 {
		return nil
	}
	w := heap.Pop(&q.heap).(*Waiter)
	q.signalFirst()
	return w
}

// Queued reports whether the call is in the queue.
func (w *Waiter) Queued() bool { return w.index >= 0 }

// demoteLate moves calls that can no longer meet their objective behind the others.
func (q *Queue) demoteLate(now time.Time) {
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

func (q *Queue) signalFirst() {
	if len(q.heap) == 0 {
		return
	}
	select {
	case q.heap[0].Turn <- struct{}{}:
	default:
	}
}

type waiterHeap []*Waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
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

func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiterHeap) Push(x any) {
	item := x.(*Waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiterHeap) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	item.index = -1
	return item
}
