package placement

import (
	"math"
	"sync"
	"time"
)

// WaitEstimator infers how long callers of a route have waited before a call, at this or
// another entry, from the time that they have left: first calls come with one of a
// few usual times, and later ones with what is left of it. It is safe for concurrent
// use.
type WaitEstimator struct {
	mu     sync.Mutex
	counts map[int]float64 // calls by bucket of the time left
	total  float64
}

const (
	// bucketRatio is the width of a bucket, as a ratio: a first call loses a few ms
	// to the connection that it opens.
	bucketRatio = 1.04
	// usualShare of the calls in a bucket and its neighbours makes it usual, if it has
	// ownShare itself. Callers come back after a time that is spread, which puts fewer
	// of them into one bucket; a usual time may lie at the edge of two.
	usualShare = 0.15
	ownShare   = 0.05
	// knownCalls is from how many calls on the shares say something, and
	// forgetCalls from how many on older calls count half.
	knownCalls  = 20
	forgetCalls = 400
)

// NewWaitEstimator returns an estimate that has seen no call.
func NewWaitEstimator() *WaitEstimator { return &WaitEstimator{counts: make(map[int]float64)} }

// Observe counts a call whose caller has some time left, and returns how long the
// caller has waited before it.
func (c *WaitEstimator) Observe(left time.Duration) time.Duration {
	ms := left.Seconds() * 1000
	if ms < 1 {
		return 0
	}
	own := bucket(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(own)
	if c.total < knownCalls || c.usual(own) {
		return 0
	}
	nearest, found := 0, false
	for b := range c.counts {
		if b > own && c.usual(b) && (!found || b < nearest) {
			nearest, found = b, true
		}
	}
	if !found {
		return 0
	}
	return max(time.Duration(math.Pow(bucketRatio, float64(nearest))*float64(time.Millisecond))-left, 0)
}

func bucket(ms float64) int { return int(math.Log(ms) / math.Log(bucketRatio)) }

func (c *WaitEstimator) add(b int) {
	c.counts[b]++
	c.total++
	if c.total < forgetCalls {
		return
	}
	c.total = 0
	for b, n := range c.counts {
		if n < 1 {
			delete(c.counts, b)
			continue
		}
		c.counts[b] = n / 2
		c.total += n / 2
	}
}

// usual reports whether first calls come with the time of a bucket.
func (c *WaitEstimator) usual(b int) bool {
	return c.counts[b] >= ownShare*c.total && c.counts[b]+c.counts[b-1]+c.counts[b+1] >= usualShare*c.total
}
