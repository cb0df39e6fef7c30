package placement

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of steps in which a window slides.
	windowSlots = 20
	// ratioShare is the share of the allowed ratio that is spent: entries see
	// windows that are a step apart.
	ratioShare = 0.9
)

// RetryBudget bounds the sends beyond the first of each call in a sliding window,
// for one service and one entry. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	ratio  float64
	step   time.Duration
	calls  [windowSlots]int
	extra  [windowSlots]int
	at     int
	latest time.Time
}

// NewRetryBudget returns a budget of ratio extra sends a call in any window.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioShare, step: window / (windowSlots - 1)}
}

// CountCall counts a call.
func (b *RetryBudget) CountCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	b.calls[b.at]++
}

// Take counts an extra send if the budget allows one. Slack is this entry's part
// of the extra sends that a window allows whatever the calls.
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
	for range min(int(now.Sub(b.latest)/b.step), windowSlots) {
		b.at = (b.at + 1) % windowSlots
		b.calls[b.at], b.extra[b.at] = 0, 0
		b.latest = b.latest.Add(b.step)
	}
	if now.Sub(b.latest) > b.step {
		b.latest = now
	}
}

// TokenBucket is a token bucket for asking servers. It is safe for concurrent use.
type TokenBucket struct {
	mu     sync.Mutex
	tokens float64
	latest time.Time
}

const (
	// rateBurst is how many seconds of the rate may be saved up: the rate holds
	// over a day, and bursts of load last some seconds.
	rateBurst = 20.0
	// rateStart is how many seconds of the rate a new process starts with.
	rateStart = 2.0
)

// Take takes n tokens of a bucket that fills at a rate a second, if it has them.
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

// rateSpare is how many seconds of the rate are kept for calls that have not been
// sent yet.
const rateSpare = 3.0

// HasSpare reports whether there are tokens beyond those kept for calls that have not
// been sent yet.
func (r *TokenBucket) HasSpare(perSecond float64, now time.Time) bool {
	return r.left(perSecond, now) > rateSpare
}

// rateScarce is how many seconds of the rate are left when each call may take a few
// tokens only, so that those behind it get some.
const rateScarce = 0.5

// RunningLow reports whether few tokens are left.
func (r *TokenBucket) RunningLow(perSecond float64, now time.Time) bool {
	return r.left(perSecond, now) < rateScarce
}

// left returns for how many seconds of the rate there are tokens.
func (r *TokenBucket) left(perSecond float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(perSecond, now)
	return r.tokens / perSecond
}

func (r *TokenBucket) fill(perSecond float64, now time.Time) {
	if r.latest.IsZero() {
		r.tokens = perSecond * rateStart
	} else {
		r.tokens = min(r.tokens+now.Sub(r.latest).Seconds()*perSecond, perSecond*rateBurst)
	}
	r.latest = now
}
