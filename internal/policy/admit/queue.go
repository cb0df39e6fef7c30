// Package admit limits how many calls of a service an entry runs concurrently
// and orders the calls that wait. It reads no clock: time is an argument.
//
// Customers of the same priority are scheduled by start-time fair queueing
// (Goyal, Vin and Cheng, "Start-time Fair Queueing", IEEE/ACM Transactions on
// Networking 5(5), 1997), with weight one per customer and cost one per call. A
// lower priority number goes first, but every eighth call is the one that has
// waited longest among the heads of all priorities, which prevents starvation. A
// full queue drops the newest call of the customer with the most waiting calls.
package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
)

const (
	// oldestFirstInterval is the n of the rule that every n-th dequeued call is the
	// one that has waited longest among the heads of all priorities, so that no
	// priority starves.
	oldestFirstInterval = 8
	// waitTimeDivisor limits a call's wait to 1/n of the time until its deadline, so
	// that the rest remains for the server's work.
	waitTimeDivisor = 2
	// waitingPerSlot is the number of calls that may wait for each call that may run.
	waitingPerSlot = 8
	// minWaitingBound is the least bound on waiting calls, unless one service's
	// part of the entry's calls is smaller.
	minWaitingBound = 64
	// serviceShareDivisor limits the running calls of one service to 1/n of the
	// calls that the entry takes, and its waiting calls to another 1/n, so that a
	// stalled service leaves half of the entry to the other services.
	serviceShareDivisor = 4
	// runTimeWeight is the weight of a new sample in the exponentially weighted
	// mean of run times.
	runTimeWeight = 0.05
)

// Decision is the result of the admission of a call.
type Decision int

// Decisions of a queue.
const (
	// Run means that the call runs now; Done must follow.
	Run Decision = iota
	// Wait means that the call waits; its Waiter delivers the final decision.
	Wait
	// Reject means that the call can't start in time or that the queue is full.
	Reject
)

// Bounds limits the calls of one service at one entry.
type Bounds struct {
	// Running is the maximum number of calls that run at the servers.
	Running int
	// Waiting is the maximum number of calls that wait.
	Waiting int
}

// BoundsOf returns the bounds for one service. Running is the number of calls that
// the service's servers can run for this entry, and entryLimit the maximum number
// of calls that the entry takes for all services together.
func BoundsOf(running, entryLimit int) Bounds {
	serviceLimit := max(entryLimit/serviceShareDivisor, 1)
	running = max(min(running, serviceLimit), 1)
	return Bounds{Running: running, Waiting: min(max(waitingPerSlot*running, minWaitingBound), serviceLimit)}
}

// WithFreeSlots returns bounds that let the entry run more calls than it runs now
// while the servers report free slots. It adds half of the free slots, so that
// two entries that see the same slots don't use them twice. Running stays at
// least as it was, and is raised at most to one service's part of entryLimit.
func (b Bounds) WithFreeSlots(running, freeSlots, entryLimit int) Bounds {
	b.Running = max(b.Running, min(running+freeSlots/2, max(entryLimit/serviceShareDivisor, 1)))
	return b
}

// Queue holds the running and waiting calls of one service at one entry. It is
// not safe for concurrent use.
type Queue struct {
	bounds            Bounds
	running           int
	waiting           int
	dequeued          uint64
	meanRunTime       time.Duration
	classes           []*class // in ascending order of priority number
	waitingByCustomer map[string]int
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds) *Queue {
	return &Queue{bounds: b, waitingByCustomer: make(map[string]int)}
}

// Waiter is a call that was admitted to a queue. Times are readings of the clock
// that the queue's caller uses.
type Waiter struct {
	customer      string
	class         *class
	start         float64 // virtual start time in its class
	arrived       time.Duration
	startDeadline time.Duration // a call that has not started by then is refused
	index         int           // position in the class's heap; -1 if the call does not wait
	decided       chan bool
}

// StartDeadline returns the time after which the call is refused instead of
// started.
func (w *Waiter) StartDeadline() time.Duration { return w.startDeadline }

// Decided returns a channel that delivers true once a waiting call may run, or
// false if it is refused. The channel is nil if the call did not have to wait.
func (w *Waiter) Decided() <-chan bool { return w.decided }

// Admit decides whether a call of a customer with the given priority and deadline
// runs, waits or is rejected. The Waiter is nil for a rejected call. For a call
// that does not run at once, wait is the estimated time until it would start.
func (q *Queue) Admit(now time.Duration, customer string, priority int, deadline time.Duration) (w *Waiter, decision Decision, wait time.Duration) {
	c := q.ensureClass(priority)
	w = &Waiter{customer: customer, class: c, arrived: now, startDeadline: now + (deadline-now)/waitTimeDivisor, index: -1}
	if q.running < q.bounds.Running && q.waiting == 0 {
		c.assignVirtualStart(w)
		c.virtualTime = max(c.virtualTime, w.start)
		q.running++
		return w, Run, 0
	}
	wait = q.estimateWait(c, customer)
	if now+wait > w.startDeadline {
		return nil, Reject, wait
	}
	if q.waiting >= q.bounds.Waiting && !q.dropFromLongestBacklog(customer) {
		return nil, Reject, wait
	}
	c.assignVirtualStart(w)
	w.decided = make(chan bool, 1)
	q.waitingByCustomer[customer]++
	q.waiting++
	heap.Push(c, w)
	return w, Wait, wait
}

// Done records the end of a call that ran for the given time, and starts waiting
// calls.
func (q *Queue) Done(now, ran time.Duration) {
	q.running--
	if q.meanRunTime == 0 {
		q.meanRunTime = ran
	}
	q.meanRunTime += time.Duration(runTimeWeight * float64(ran-q.meanRunTime))
	q.startWaiting(now)
}

// SetBounds changes the bounds and starts the calls that now may run. Calls that
// already wait are kept even if they exceed the new bound.
func (q *Queue) SetBounds(now time.Duration, b Bounds) {
	q.bounds = b
	q.startWaiting(now)
}

// Cancel removes a waiting call and reports whether it was still waiting.
func (q *Queue) Cancel(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	q.remove(w)
	return true
}

// Idle reports whether no call runs or waits.
func (q *Queue) Idle() bool { return q.running == 0 && q.waiting == 0 }

// Bounds returns the bounds in force.
func (q *Queue) Bounds() Bounds { return q.bounds }

// Running returns the number of calls that run.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return q.waiting }

// startWaiting starts waiting calls up to the bound on running calls. Calls whose
// start deadline has passed are refused.
func (q *Queue) startWaiting(now time.Duration) {
	for q.running < q.bounds.Running && q.waiting > 0 {
		w := q.nextWaiter()
		q.remove(w)
		if now > w.startDeadline {
			w.decided <- false
			continue
		}
		w.class.virtualTime = max(w.class.virtualTime, w.start)
		q.running++
		w.decided <- true
	}
}

// nextWaiter returns the waiting call to dequeue next: the head of the class with
// the lowest priority number or, every oldestFirstInterval calls, the oldest head.
func (q *Queue) nextWaiter() *Waiter {
	q.dequeued++
	var first, oldest *Waiter
	for _, c := range q.classes {
		if len(c.waiters) == 0 {
			continue
		}
		head := c.waiters[0]
		if first == nil {
			first = head
		}
		if oldest == nil || head.arrived < oldest.arrived {
			oldest = head
		}
	}
	if q.dequeued%oldestFirstInterval == 0 {
		return oldest
	}
	return first
}

func (q *Queue) remove(w *Waiter) {
	heap.Remove(w.class, w.index)
	q.waiting--
	if q.waitingByCustomer[w.customer]--; q.waitingByCustomer[w.customer] == 0 {
		delete(q.waitingByCustomer, w.customer)
	}
}

// estimateWait returns how long a new call of the customer would wait. It counts
// all waiting calls of lower priority numbers, the customer's own and, of each
// other customer, at most one for each call of this customer including the new
// one, since fair queueing alternates between customers.
func (q *Queue) estimateWait(c *class, customer string) time.Duration {
	ahead := 0
	for _, other := range q.classes {
		if other.priority < c.priority {
			ahead += len(other.waiters)
		}
	}
	rounds := q.waitingByCustomer[customer] + 1
	for name, n := range q.waitingByCustomer {
		if name != customer {
			ahead += min(n, rounds)
		}
	}
	ahead = min(ahead+rounds-1, q.waiting)
	return q.meanRunTime * time.Duration(ahead+1) / time.Duration(q.bounds.Running)
}

// dropFromLongestBacklog refuses the newest call of the customer with the most
// waiting calls. If that is the given customer, it drops nothing and returns
// false.
func (q *Queue) dropFromLongestBacklog(customer string) bool {
	longest := customer
	for name, n := range q.waitingByCustomer {
		if n > q.waitingByCustomer[longest] || n == q.waitingByCustomer[longest] && longest != customer && name < longest {
			longest = name
		}
	}
	if longest == customer {
		return false
	}
	var newest *Waiter
	for _, c := range q.classes {
		for _, w := range c.waiters {
			if w.customer == longest && (newest == nil || w.start >= newest.start) {
				newest = w
			}
		}
	}
	q.remove(newest)
	newest.decided <- false
	return true
}

// ensureClass returns the class of a priority, and creates it if there is none.
func (q *Queue) ensureClass(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority, lastFinish: make(map[string]float64)})
	}
	return q.classes[i]
}

// class holds the waiting calls of one priority in a heap ordered by virtual
// start time. Virtual time counts calls: each call of a customer adds one.
type class struct {
	priority      int
	virtualTime   float64            // virtual start time of the latest call that started
	lastFinish    map[string]float64 // virtual finish time of each customer's latest call
	waiters       []*Waiter          // a heap
	latestArrival float64            // virtual start time of the latest call under the defect no-fair-queue
}

// finishPruneThreshold is the number of finish times in a class from which on
// those that no longer delay a call are removed.
const finishPruneThreshold = 256

// assignVirtualStart sets a call's virtual start time: the class's virtual time or
// the finish time of the customer's previous call, whichever is later.
func (c *class) assignVirtualStart(w *Waiter) {
	if len(c.lastFinish) >= finishPruneThreshold {
		for customer, f := range c.lastFinish {
			if f <= c.virtualTime {
				delete(c.lastFinish, customer)
			}
		}
	}
	w.start = max(c.virtualTime, c.lastFinish[w.customer])
	if defect.On("no-fair-queue") {
		c.latestArrival++
		w.start = c.latestArrival
	}
	c.lastFinish[w.customer] = w.start + 1
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *class) Len() int { return len(c.waiters) }

// Less orders calls by virtual start time, then by arrival.
func (c *class) Less(i, j int) bool {
	a, b := c.waiters[i], c.waiters[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrived < b.arrived
}

// Swap swaps two calls.
func (c *class) Swap(i, j int) {
	c.waiters[i], c.waiters[j] = c.waiters[j], c.waiters[i]
	c.waiters[i].index, c.waiters[j].index = i, j
}

// Push appends a *Waiter; callers use heap.Push.
func (c *class) Push(x any) {
	w := x.(*Waiter)
	w.index = len(c.waiters)
	c.waiters = append(c.waiters, w)
}

// Pop removes the last call; callers use heap.Pop or heap.Remove.
func (c *class) Pop() any {
	last := len(c.waiters) - 1
	w := c.waiters[last]
	c.waiters[last] = nil
	c.waiters = c.waiters[:last]
	w.index = -1
	return w
}
