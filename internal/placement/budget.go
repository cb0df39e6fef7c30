package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps into which a sliding window is divided.
	windowSteps = 20
	// callSteps is the number of steps over which calls are averaged: two windows.
	callSteps = 2*windowSteps - 1
	// noiseDeviations is how many standard deviations the calls of a window must be above the
	// average before they count as a rise and not as chance.
	noiseDeviations = 1.0
	// usableRatioShare is the share of the allowed ratio that a budget uses. The windows
	// of two entries can be offset by a step, so that with the full ratio the extra sends
	// of all entries together could exceed it.
	usableRatioShare = 0.9
	// startShare is the share of the allowed ratio, and of the slack, that a budget uses in
	// the first window after its process has started, beside the usableRatioShare that an
	// earlier process may have used.
	startShare = 0.05
)

// RetryBudget limits the extra sends of one entry for one service over a sliding window.
// Each send of a call after its first is an extra send. It is safe for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	ratio      float64 // allowed, of which only a share is used
	rounding   float64
	step       time.Duration
	startEnd   time.Time // when the sends of an earlier process have left the window
	calls      [callSteps]int
	extraSends [callSteps]int // only the latest windowSteps count
	current    int
	steps      int // with calls, from the first call on, up to callSteps
	stepStart  time.Time
}

// NewRetryBudget returns a budget that allows ratio extra sends per call in any
// window. Rounding, from above 0 to 1, is the part of a send that must be allowed before a
// send is made. With 1 the budget is never exceeded, but entries that are allowed a few
// sends each leave half a send unused on average. With random values the budgets of many
// entries together are used whole.
//
// Started is when the process started. An earlier process on the VM may have spent the
// whole budget just before, so that the window after the start allows only startShare of it.
func NewRetryBudget(ratio float64, window time.Duration, rounding float64, started time.Time) *RetryBudget {
	step := window / (windowSteps - 1)
	return &RetryBudget{ratio: ratio, rounding: rounding, step: step, startEnd: started.Add(window + step)}
}

// CountCall records a call, which adds to the budget.
func (b *RetryBudget) CountCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.current]++
	b.steps = max(b.steps, 1)
}

// firstAttemptShare is the share of the budget that may be spent on callers' first attempts.
// They can come back by themselves, which costs no extra send, and the rest is kept for callers
// that have come back.
const firstAttemptShare = 0.5

// Take records an extra send and returns true if the budget allows one. Slack is
// this entry's part of the extra sends allowed in a window regardless of the number of
// calls. CameBack says that the caller was refused or lost an answer before.
func (b *RetryBudget) Take(slack float64, cameBack bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	spent, allowed := b.usageLocked(slack, now)
	if !cameBack {
		allowed *= firstAttemptShare
	}
	if float64(spent)+b.rounding > allowed {
		return false
	}
	b.extraSends[b.current]++
	return true
}

// Usage returns the number of extra sends in the present window and the number allowed.
func (b *RetryBudget) Usage(slack float64, now time.Time) (spent int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.usageLocked(slack, now)
}

// usageLocked is Usage after a call of advance. The caller holds b.mu.
func (b *RetryBudget) usageLocked(slack float64, now time.Time) (spent int, allowed float64) {
	recent, all := 0, 0
	for age := range callSteps {
		i := (b.current - age + callSteps) % callSteps
		all += b.calls[i]
		if age < windowSteps {
			recent += b.calls[i]
			spent += b.extraSends[i]
		}
	}
	if now.Before(b.startEnd) {
		return spent, startShare * (b.ratio*float64(all) + slack)
	}
	usual := usableRatioShare * usualCalls(recent, all, b.steps)
	return spent, b.ratio*min(usual, float64(recent)) + slack
}

// usualCalls returns the number of calls that a window usually has, given the calls of the
// latest window and of all steps. It is the average, or the calls of the latest window less
// what chance explains if these are more. With the calls of the latest window alone a large
// fleet would exceed its budget, because what an entry spends while it has more calls than
// usual stays spent when it has fewer.
func usualCalls(recent, all, steps int) float64 {
	average := float64(all) * windowSteps / float64(max(steps, windowSteps))
	return max(average, float64(recent)-noiseDeviations*math.Sqrt(float64(recent)))
}

// advance makes the step that contains now the current one, and drops the counts of
// steps that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	if b.stepStart.IsZero() {
		b.stepStart = now
	}
	for range min(int(now.Sub(b.stepStart)/b.step), callSteps) {
		b.current = (b.current + 1) % callSteps
		b.calls[b.current], b.extraSends[b.current] = 0, 0
		b.stepStart = b.stepStart.Add(b.step)
		if b.steps > 0 {
			b.steps = min(b.steps+1, callSteps)
		}
	}
	if now.Sub(b.stepStart) > b.step {
		b.stepStart = now
	}
}

// TokenBucket limits the health checks sent to the servers of a service. It is safe
// for concurrent use.
type TokenBucket struct {
	mu     sync.Mutex
	tokens float64
	latest time.Time
	first  time.Time // when it was first used
}

const (
	// burstSeconds is the capacity of the bucket, as the tokens that arrive in that many
	// seconds. Load bursts last some seconds, and the rate only has to hold over a day.
	burstSeconds = 20.0
	// initialSeconds is the fill level of a new bucket, as the tokens that arrive in that
	// many seconds.
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

// reservedSeconds is the fill level reserved for calls that have not been sent yet, as the
// tokens that arrive in that many seconds.
const reservedSeconds = 3.0

// HasSpare reports whether the bucket holds more tokens than are reserved for requests
// that have not checked any server yet.
func (r *TokenBucket) HasSpare(perSecond float64, now time.Time) bool {
	return r.secondsLeft(perSecond, now) > reservedSeconds
}

// lowSeconds is the fill level below which the bucket runs low, as the tokens that arrive
// in that many seconds. Each call may then take only a few, so that later calls get some.
const lowSeconds = 0.5

// RunningLow reports whether each call should take only a few tokens.
func (r *TokenBucket) RunningLow(perSecond float64, now time.Time) bool {
	return r.secondsLeft(perSecond, now) < lowSeconds
}

// secondsLeft returns the time in seconds in which the present tokens would arrive.
func (r *TokenBucket) secondsLeft(perSecond float64, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(perSecond, now)
	return r.tokens / perSecond
}

// fill adds the tokens for the time since the last call of fill. Until the bucket could
// have filled at the present rate it holds no more than that: the rate is too high while an
// entry that has just started knows few others.
func (r *TokenBucket) fill(perSecond float64, now time.Time) {
	if r.first.IsZero() {
		r.tokens, r.first, r.latest = perSecond*initialSeconds, now, now
	}
	capacity := perSecond * min(burstSeconds, initialSeconds+now.Sub(r.first).Seconds())
	r.tokens = min(r.tokens+now.Sub(r.latest).Seconds()*perSecond, capacity)
	r.latest = now
}
