package placement

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps into which a sliding window is divided.
	windowSteps = 20
	// usableRatioShare is the share of the allowed ratio that is used. Entries divide
	// time into windows that can differ by a step.
	usableRatioShare = 0.9
)

// RetryBudget limits sends after the first of each call, for one service and one
// entry, over a sliding window. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	step   time.Duration
	calls  [windowSteps]int
	extra  [windowSteps]int
	at     int
	latest time.Time
}

// NewRetryBudget returns a budget that allows ratio extra sends per call in any
// window.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio * usableRatioShare, step: window / (windowSteps - 1)}
}

// CountCall records a call, which adds to the budget.
func (b *RetryBudget) CountCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	b.calls[b.at]++
}

// Take records an extra send and returns true if the budget allows one. Slack is
// this entry's part of the extra sends allowed in a window regardless of the number of
// calls.
func (b *RetryBudget) Take(slack float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	calls, extra := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		extra += b.extra[i]
	}
	if float64(extra+1) > b.ratio*float64(calls)+slack {
		return false
	}
	b.extra[b.at]++
	return true
}

func (b *RetryBudget) slide(now time.Time) {
	if b.latest.IsZero() {
		b.latest = now
	}
	for range min(int(now.Sub(b.latest)/b.step), windowSteps) {
		b.at = (b.at + 1) % windowSteps
		b.calls[b.at], b.extra[b.at] = 0, 0
		b.latest = b.latest.Add(b.step)
	}
	if now.Sub(b.latest) > b.step {
		b.latest = now
	}
}

// TokenBucket limits the health checks sent to the servers of a service. It is safe
// for concurrent use.
type TokenBucket struct {
	mu     sync.Mutex
	tokens float64
	latest time.Time
}

const (
	// burstSeconds is the capacity of the bucket in seconds of its rate. The rate is
	// a limit over a day, and load bursts last some seconds.
	burstSeconds = 20.0
	// initialSeconds is the content of a new bucket in seconds of its rate.
	initialSeconds = 2.0
)

// Take removes n tokens and returns true if the bucket holds that many. The bucket
// fills at perSecond tokens a second.
func (r *TokenBucket) Take(n int, perSecond float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(perSecond, now)
	if r.tokens < float64(n) {
		return false
	}
	r.tokens -= float64(n)
	return true
}

// reservedSeconds is how many seconds of the rate are reserved for calls that have
// not been sent yet.
const reservedSeconds = 3.0

// HasSpare reports whether the bucket holds more tokens than are reserved for calls
// that have not been sent yet.
func (r *TokenBucket) HasSpare(perSecond float64, now time.Time) bool {
	return r.secondsLeft(perSecond, now) > reservedSeconds
}

// lowSeconds is the content, in seconds of the rate, below which each call may take
// only a few tokens, so that the calls after it get some too.
const lowSeconds = 0.5

// RunningLow reports whether each call should take only a few tokens.
func (r *TokenBucket) RunningLow(perSecond float64, now time.Time) bool {
	return r.secondsLeft(perSecond, now) < lowSeconds
}

// secondsLeft returns the content of the bucket in seconds of its rate.
func (r *TokenBucket) secondsLeft(perSecond float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(perSecond, now)
	return r.tokens / perSecond
}

func (r *TokenBucket) fill(perSecond float64, now time.Time) {
	if r.latest.IsZero() {
		r.tokens = perSecond * initialSeconds
	} else {
		r.tokens = min(r.tokens+now.Sub(r.latest).Seconds()*perSecond, perSecond*burstSeconds)
	}
	r.latest = now
}
