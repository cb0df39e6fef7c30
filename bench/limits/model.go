package limits

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/admit"
	"github.com/baobabstack/baobabstack/internal/policy/share"
)

// fleetModel runs arrivals through the entries' buckets and queues to services
// whose slots form one queue each, in order of arrival.
type fleetModel struct {
	seed       uint64
	length     time.Duration
	entries    int
	services   []serviceModel
	customers  []customerModel
	overcommit float64
	skew       float64 // calls of the first entry for each call of another
	unlimited  bool    // no allowances
	reports    bool    // entries know how many slots are free
	fifo       bool    // one customer for the queues, so that they are not fair

	mostInFlight int

	now     time.Duration
	events  events
	buckets [][]share.Bucket
	queues  [][]*admit.Queue
	inside  []int // calls in flight by entry
	seq     int
	free    []int      // free slots by service
	backlog [][]func() // calls that wait for a slot by service
	waiting [][][]*callModel
	results [][]time.Duration
	refused []int
}

type serviceModel struct {
	slots int
	work  time.Duration
}

type customerModel struct {
	name     string
	service  int
	offered  float64 // calls a second
	rate     float64 // allowance, calls a second
	burst    float64
	priority int
}

type callModel struct {
	customer, entry int
	arrived         time.Duration
	started         time.Duration
	work            time.Duration
	waiter          *admit.Waiter
}

const (
	// maxInFlight is the calls that an entry takes.
	maxInFlight  = 4096
	callDeadline = 2 * time.Second
	// calmShare is the part of its allowance that a customer offers.
	calmShare = 0.7
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events by time, then by order.
type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders by time.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *fleetModel) at(t time.Duration, do func()) {
	heap.Push(&m.events, event{at: t, seq: m.seq, do: do})
	m.seq++
}

// p99Of runs the model if it has not run and returns the p99 of the calls of the
// customers that the filter keeps, in seconds.
func (m *fleetModel) p99Of(keep func(customerModel) bool) float64 {
	m.run()
	var all []time.Duration
	for i, c := range m.customers {
		if keep(c) {
			all = append(all, m.results[i]...)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*99/100].Seconds()
}

func (m *fleetModel) refusedOf(keep func(customerModel) bool) int {
	n := 0
	for i, c := range m.customers {
		if keep(c) {
			n += m.refused[i]
		}
	}
	return n
}

func (m *fleetModel) run() {
	if m.results != nil {
		return
	}
	m.results, m.refused = make([][]time.Duration, len(m.customers)), make([]int, len(m.customers))
	m.inside, m.backlog = make([]int, m.entries), make([][]func(), len(m.services))
	for _, s := range m.services {
		m.free = append(m.free, s.slots)
	}
	for range m.entries {
		var buckets []share.Bucket
		for _, c := range m.customers {
			buckets = append(buckets, share.NewBucket(share.RateLimitPerEntry(c.rate, c.burst, m.entries), -time.Hour, 0))
		}
		var queues []*admit.Queue
		for i := range m.services {
			queues = append(queues, admit.NewQueue(m.boundsOf(i)))
		}
		m.waiting = append(m.waiting, make([][]*callModel, len(m.services)))
		m.buckets, m.queues = append(m.buckets, buckets), append(m.queues, queues)
	}
	for i := range m.customers {
		m.arrivals(i, rand.New(rand.NewPCG(m.seed, uint64(i))))
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// arrivals lets a customer's calls arrive as a Poisson process. Each customer
// has a random stream of its own, so that a change of one does not move others.
func (m *fleetModel) arrivals(customer int, rng *rand.Rand) {
	c := m.customers[customer]
	var next func()
	next = func() {
		entry := int(rng.Float64() * (float64(m.entries-1) + m.skew))
		if entry >= m.entries {
			entry = 0
		}
		work := time.Duration(rng.ExpFloat64() * float64(m.services[c.service].work))
		m.arrive(&callModel{customer: customer, entry: entry, arrived: m.now, work: work})
		if t := m.now + gap(rng, c.offered); t < m.length {
			m.at(t, next)
		}
	}
	m.at(gap(rng, c.offered), next)
}

func gap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (m *fleetModel) arrive(call *callModel) {
	c := m.customers[call.customer]
	bucket := &m.buckets[call.entry][call.customer]
	if !m.unlimited && !bucket.Take(m.now, share.RateLimitPerEntry(c.rate, c.burst, m.entries)) {
		m.refused[call.customer]++
		return
	}
	name := c.name
	if m.fifo {
		name = "all"
	}
	queue := m.queues[call.entry][c.service]
	m.widen(queue, c.service)
	waiter, verdict, _ := queue.Admit(m.now, name, c.priority, m.now+callDeadline)
	if verdict == admit.Reject {
		m.refused[call.customer]++
		return
	}
	m.inside[call.entry]++
	m.mostInFlight = max(m.mostInFlight, m.inside[call.entry])
	if verdict == admit.Run {
		m.send(call)
		return
	}
	call.waiter = waiter
	waiting := &m.waiting[call.entry][c.service]
	*waiting = append(*waiting, call)
}

// widen sets a full queue's bounds by the free slots, as an entry does.
func (m *fleetModel) widen(queue *admit.Queue, service int) {
	bounds := m.boundsOf(service)
	if m.reports && queue.Running() >= bounds.Running {
		bounds = bounds.WithFreeSlots(queue.Running(), m.free[service], maxInFlight)
	}
	if queue.Bounds() != bounds {
		queue.SetBounds(m.now, bounds)
	}
}

func (m *fleetModel) boundsOf(service int) admit.Bounds {
	return admit.BoundsOf(int(m.overcommit*float64(m.services[service].slots)/float64(m.entries))+1, maxInFlight)
}

// send gives a call to its service; it runs when a slot is free.
func (m *fleetModel) send(call *callModel) {
	call.started = m.now
	service := m.customers[call.customer].service
	start := func() {
		m.at(m.now+call.work, func() { m.finish(call) })
	}
	if m.free[service] > 0 {
		m.free[service]--
		start()
		return
	}
	m.backlog[service] = append(m.backlog[service], start)
}

// finish ends a call and starts those that waited for its slot or its place.
func (m *fleetModel) finish(call *callModel) {
	service := m.customers[call.customer].service
	m.results[call.customer] = append(m.results[call.customer], m.now-call.arrived)
	m.inside[call.entry]--
	m.free[service]++
	if len(m.backlog[service]) > 0 {
		start := m.backlog[service][0]
		m.backlog[service] = m.backlog[service][1:]
		m.free[service]--
		start()
	}
	m.queues[call.entry][service].Done(m.now, m.now-call.started)
	m.settle(call.entry, service)
}

// settle sends the waiting calls that were let in and drops the refused ones.
func (m *fleetModel) settle(entry, service int) {
	var still []*callModel
	for _, call := range m.waiting[entry][service] {
		select {
		case admitted := <-call.waiter.Decided():
			if admitted {
				m.send(call)
				continue
			}
			m.inside[entry]--
			m.refused[call.customer]++
		default:
			still = append(still, call)
		}
	}
	m.waiting[entry][service] = still
}
