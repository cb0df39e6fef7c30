// Package admit bounds the calls of a service that an entry has at the servers
// and orders those that wait. Its decisions are pure: time is an argument.
//
// Customers of the same priority share by start-time fair queueing (Goyal, Vin
// and Cheng, "Start-time Fair Queueing", IEEE/ACM Transactions on Networking
// 5(5), 1997), with a weight of one each and a cost of one a call. A lower
// priority number goes first, but every eighth call is the one that has waited
// longest among the heads of all priorities. A full queue drops the newest call
// of the customer with the most waiting calls.
package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
)

const (
	// oldestEvery is how often the oldest head goes first, whatever its
	// priority: the n-th call of each n.
	oldestEvery = 8
	// waitShare divides the time that a call has left: it waits at most one part
	// and leaves the others for the work.
	waitShare = 2
	// waitingPerPlace and minWaiting give the calls that may wait.
	waitingPerPlace = 8
	minWaiting      = 64
	// serviceShare divides the calls that the entry takes: one service runs at
	// most one part and keeps at most another waiting, so that a service which
	// stalls leaves half of the entry to the others.
	serviceShare = 4
	// runWeight is the weight of a sample in the mean time of a call.
	runWeight = 0.05
)

// Decision is the result of the admission of a call.
type Decision int

// Decisions of a queue.
const (
	// Run means that the call runs now; Done must follow.
	Run Decision = iota
	// Wait means that the call waits; its Waiter tells the decision.
	Wait
	// Reject means that the call can't start in time.
	Reject
)

// Bounds says how many calls of a service an entry takes.
type Bounds struct {
	// Running is the most calls at the servers.
	Running int
	// Waiting is the most calls that wait.
	Waiting int
}

// BoundsOf returns the bounds for a service whose servers can use so many calls
// at an entry that takes at most so many of all services together.
func BoundsOf(running, most int) Bounds {
	part := max(most/serviceShare, 1)
	running = max(min(running, part), 1)
	return Bounds{Running: running, Waiting: min(max(waitingPerPlace*running, minWaiting), part)}
}

// WithFreeSlots raises the bounds of an entry that has used up its running calls
// while the servers report free slots. It adds half of the free slots, so that
// two entries that see the same slots don't use them twice.
func (b Bounds) WithFreeSlots(running, free, most int) Bounds {
	b.Running = max(b.Running, min(running+free/2, max(most/serviceShare, 1)))
	return b
}

// Queue holds one service's calls at one entry. It is not safe for concurrent
// use.
type Queue struct {
	bounds  Bounds
	running int
	waiting int
	served  uint64
	meanRun time.Duration
	classes []*class // by rising priority number
	flows   map[string]int
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds) *Queue {
	return &Queue{bounds: b, flows: make(map[string]int)}
}

// Waiter is a call that waits in a queue.
type Waiter struct {
	customer string
	class    *class
	start    float64 // virtual start time
	arrived  time.Duration
	latest   time.Duration // the call must start by then
	index    int           // place in the class's heap; -1 if it does not wait
	decided  chan bool
}

// StartDeadline returns the time by which the call must start.
func (t *Waiter) StartDeadline() time.Duration { return t.latest }

// Decided delivers true once a waiting call may run, false if it is refused.
func (t *Waiter) Decided() <-chan bool { return t.decided }

// Admit decides whether a call of a customer with the given priority and deadline
// runs, waits or is rejected. A rejected call has no waiter, and wait is the
// estimated time until a call like it would start.
func (q *Queue) Admit(now time.Duration, customer string, priority int, deadline time.Duration) (t *Waiter, v Decision, wait time.Duration) {
	c := q.class(priority)
	t = &Waiter{customer: customer, class: c, arrived: now, latest: now + (deadline-now)/waitShare, index: -1}
	if q.running < q.bounds.Running && q.waiting == 0 {
		c.stamp(t)
		c.virtual = max(c.virtual, t.start)
		q.running++
		return t, Run, 0
	}
	wait = q.estimate(c, customer)
	if now+wait > t.latest {
		return nil, Reject, wait
	}
	if q.waiting >= q.bounds.Waiting && !q.dropLongest(customer) {
		return nil, Reject, wait
	}
	c.stamp(t)
	t.decided = make(chan bool, 1)
	q.flows[customer]++
	q.waiting++
	heap.Push(c, t)
	return t, Wait, wait
}

// Done ends a call that ran for the given time and starts the next ones.
func (q *Queue) Done(now, ran time.Duration) {
	q.running--
	if q.meanRun == 0 {
		q.meanRun = ran
	}
	q.meanRun += time.Duration(runWeight * float64(ran-q.meanRun))
	q.startWaiting(now)
}

// SetBounds changes the bounds and starts the calls that now may run. Calls that
// wait beyond the bound are kept.
func (q *Queue) SetBounds(now time.Duration, b Bounds) {
	q.bounds = b
	q.startWaiting(now)
}

// Cancel takes a waiting call out and reports whether it still waited.
func (q *Queue) Cancel(t *Waiter) bool {
	if t.index < 0 {
		return false
	}
	q.remove(t)
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

// startWaiting lets calls run while there is room. Those whose time to start
// has passed are refused.
func (q *Queue) startWaiting(now time.Duration) {
	for q.running < q.bounds.Running && q.waiting > 0 {
		t := q.next()
		q.remove(t)
		if now > t.latest {
			t.decided <- false
			continue
		}
		t.class.virtual = max(t.class.virtual, t.start)
		q.running++
		t.decided <- true
	}
}

// next returns the waiting call that goes first.
func (q *Queue) next() *Waiter {
	q.served++
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
	if q.served%oldestEvery == 0 {
		return oldest
	}
	return first
}

func (q *Queue) remove(t *Waiter) {
	heap.Remove(t.class, t.index)
	q.waiting--
	if q.flows[t.customer]--; q.flows[t.customer] == 0 {
		delete(q.flows, t.customer)
	}
}

// estimate returns how long a new call of the customer would wait: each customer
// that waits goes about once before each of its calls.
func (q *Queue) estimate(c *class, customer string) time.Duration {
	ahead := 0
	for _, other := range q.classes {
		if other.priority < c.priority {
			ahead += len(other.waiters)
		}
	}
	rounds := q.flows[customer] + 1
	for flow, n := range q.flows {
		if flow != customer {
			ahead += min(n, rounds)
		}
	}
	ahead = min(ahead+rounds-1, q.waiting)
	return q.meanRun * time.Duration(ahead+1) / time.Duration(q.bounds.Running)
}

// dropLongest refuses the newest call of the customer with the most waiting
// calls. It reports false if that is the given customer.
func (q *Queue) dropLongest(customer string) bool {
	longest := customer
	for flow, n := range q.flows {
		if n > q.flows[longest] || n == q.flows[longest] && longest != customer && flow < longest {
			longest = flow
		}
	}
	if longest == customer {
		return false
	}
	var newest *Waiter
	for _, c := range q.classes {
		for _, t := range c.waiters {
			if t.customer == longest && (newest == nil || t.start >= newest.start) {
				newest = t
			}
		}
	}
	q.remove(newest)
	newest.decided <- false
	return true
}

func (q *Queue) class(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority, finish: make(map[string]float64)})
	}
	return q.classes[i]
}

// class holds the calls of one priority by virtual start time.
type class struct {
	priority int
	virtual  float64            // start time of the latest call that went
	finish   map[string]float64 // virtual finish time of a customer's latest call
	waiters  []*Waiter          // a heap
	sequence float64
}

// maxFinish bounds the customers whose finish times a class remembers before it
// forgets those that no longer matter.
const maxFinish = 256

// stamp sets a call's virtual start time.
func (c *class) stamp(t *Waiter) {
	if len(c.finish) >= maxFinish {
		for customer, f := range c.finish {
			if f <= c.virtual {
				delete(c.finish, customer)
			}
		}
	}
	t.start = max(c.virtual, c.finish[t.customer])
	if defect.On("no-fair-queue") {
		c.sequence++
		t.start = c.sequence
	}
	c.finish[t.customer] = t.start + 1
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *class) Len() int { return len(c.waiters) }

// Less orders by virtual start time, then by arrival.
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

// Push adds a call.
func (c *class) Push(x any) {
	t := x.(*Waiter)
	t.index = len(c.waiters)
	c.waiters = append(c.waiters, t)
}

// Pop removes the last call.
func (c *class) Pop() any {
	last := len(c.waiters) - 1
	t := c.waiters[last]
	c.waiters[last] = nil
	c.waiters = c.waiters[:last]
	t.index = -1
	return t
}
