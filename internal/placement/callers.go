package placement

import (
	"math"
	"sync"
	"time"
)

// WaitEstimator infers how long callers of a route had waited before they sent a call
// to this or another entry. First calls arrive with one of a few usual times left;
// repeated calls arrive with the rest of it. It is safe for concurrent use.
type WaitEstimator struct {
	mu     sync.Mutex
	counts map[int]float64 // calls by bucket of time left
	total  float64
}

const (
	// bucketRatio is the ratio of the bounds of a bucket. A first call loses a few ms
	// while its connection is opened.
	bucketRatio = 1.04
	// usualShare is the share of calls that a bucket and its two neighbours need for
	// the bucket to count as a usual time of first calls; usualBucketShare is what the
	// bucket itself needs. A usual time may lie on the bound of two buckets. Repeated
	// calls come after varying delays, so fewer of them fall into one bucket.
	usualShare       = 0.15
	usualBucketShare = 0.05
	// minSamples is the number of calls needed before shares are meaningful.
	// halveAfterCalls is the number of calls after which all counts are halved, so that
	// older calls weigh less.
	minSamples      = 20
	halveAfterCalls = 400
)

// NewWaitEstimator returns an estimator without samples.
func NewWaitEstimator() *WaitEstimator { return &WaitEstimator{counts: make(map[int]float64)} }

// Observe records a call whose caller has the given time left, and returns how long
// the caller had waited before, 0 if that is unknown.
func (c *WaitEstimator) Observe(left time.Duration) time.Duration {
	ms := left.Seconds() * 1000
	if ms < 1 {
		return 0
	}
	own := bucket(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(own)
	if c.total < minSamples || c.usual(own) {
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
	if c.total < halveAfterCalls {
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

// usual reports whether first calls typically arrive with the time left of bucket b.
func (c *WaitEstimator) usual(b int) bool {
	return c.counts[b] >= usualBucketShare*c.total && c.counts[b]+c.counts[b-1]+c.counts[b+1] >= usualShare*c.total
}
