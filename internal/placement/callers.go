package placement

import (
	"math"
	"sync"
	"time"
)

// WaitEstimator infers from the time left of a call how long its caller has waited since
// its first attempt, which may have gone to another entry. Most first attempts of a route
// arrive with one of a few typical times left; retries arrive with less than that. It is
// safe for concurrent use.
type WaitEstimator struct {
	mu     sync.Mutex
	counts map[int]float64 // calls by bucket of time left
	exact  map[int]float64 // calls by time left in milliseconds
	total  float64
}

const (
	// bucketRatio is the ratio of the upper to the lower bound of a bucket. A first attempt
	// can lose a few ms while its connection is opened, and should stay in the same bucket.
	bucketRatio = 1.04
	// A bucket is typical of first attempts if it holds typicalBucketShare of the calls,
	// and typicalShare together with its two neighbours, since a typical time may lie on
	// the bound of two buckets. Retries come after varying delays, so that fewer of them
	// fall into one bucket.
	typicalShare       = 0.15
	typicalBucketShare = 0.05
	// exactShare is the share of calls from which one time left in milliseconds is typical of
	// first attempts. Where callers state the same time to the millisecond, retries can be told
	// from first attempts also if they come soon.
	exactShare = 0.1
	// connectTime is the most that a first attempt loses while its connection is opened.
	connectTime = 15 * time.Millisecond
	// minSamples is the number of calls needed before shares are meaningful.
	minSamples = 20
	// halveAfterCalls is the total of the counts at which all are halved, so that older
	// calls weigh less.
	halveAfterCalls = 400
)

// NewWaitEstimator returns an estimator without samples.
func NewWaitEstimator() *WaitEstimator {
	return &WaitEstimator{counts: make(map[int]float64), exact: make(map[int]float64)}
}

// Observe records a call that arrived with the given time left. It returns how long the
// caller had waited before that, or 0 if this is a first attempt or the time is unknown.
func (c *WaitEstimator) Observe(left time.Duration) time.Duration {
	ms := left.Seconds() * 1000
	if ms < 1 {
		return 0
	}
	own := bucket(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(own, int(left.Milliseconds()))
	if c.total < minSamples {
		return 0
	}
	if first, ok := c.exactTypical(int(left.Milliseconds())); ok {
		if waited := first - left; waited > connectTime {
			return waited
		}
		return 0
	}
	if c.isTypical(own) {
		return 0
	}
	nearest, found := 0, false
	for b := range c.counts {
		if b > own && c.isTypical(b) && (!found || b < nearest) {
			nearest, found = b, true
		}
	}
	if !found {
		return 0
	}
	return max(time.Duration(math.Pow(bucketRatio, float64(nearest))*float64(time.Millisecond))-left, 0)
}

// bucket returns the number of the bucket for a time left in milliseconds.
func bucket(ms float64) int { return int(math.Log(ms) / math.Log(bucketRatio)) }

// exactTypical returns the least typical time left that is not below the given milliseconds;
// ok is false if there is none.
func (c *WaitEstimator) exactTypical(ms int) (left time.Duration, ok bool) {
	nearest := 0
	for value, n := range c.exact {
		if value >= ms && n >= exactShare*c.total && (nearest == 0 || value < nearest) {
			nearest = value
		}
	}
	return time.Duration(nearest) * time.Millisecond, nearest > 0
}

func (c *WaitEstimator) add(b, ms int) {
	c.counts[b]++
	c.exact[ms]++
	c.total++
	if c.total < halveAfterCalls {
		return
	}
	for value, n := range c.exact {
		if n < 1 {
			delete(c.exact, value)
			continue
		}
		c.exact[value] = n / 2
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

// isTypical reports whether bucket b holds a typical time left of first attempts.
func (c *WaitEstimator) isTypical(b int) bool {
	return c.counts[b] >= typicalBucketShare*c.total && c.counts[b]+c.counts[b-1]+c.counts[b+1] >= typicalShare*c.total
}
