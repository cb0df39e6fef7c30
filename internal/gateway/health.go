package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

const (
	// failureRateWeight is the weight of the latest call in the failure rate.
	failureRateWeight = 0.25
	// failureRateHalfLife is the half-life of the failure rate while no calls end.
	failureRateHalfLife = 3 * time.Second
	// checkBackoffMin is the backoff after the first failed health check of a server. It
	// doubles with each further failure in a row.
	checkBackoffMin = 60 * time.Millisecond
	// checkBackoffMax is the longest backoff after failed health checks in a row.
	checkBackoffMax = time.Second
)

// health is what this gateway has observed of one server. It is safe for concurrent
// use.
type health struct {
	mu                    sync.Mutex
	failureRate           float64
	failureRateAt         time.Time
	failedChecks          int // failed health checks in a row
	backoffUntil          time.Time
	load                  upstream.Load
	loadKnown             bool
	sentAt                time.Time // when the last call was sent
	refusals              placement.Refusals
	averageLatencySeconds float64 // moving average of calls that did not fail; starts at 0
	unreadableWarmup      bool    // an unreadable warm-up was reported
}

// firstUnreadableWarmup reports once that the server tells its warm-up in an unreadable way.
func (h *health) firstUnreadableWarmup() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.unreadableWarmup
	h.unreadableWarmup = true
	return first
}

// recordCall updates the failure rate with the end of a call, and the average
// latency if the call did not fail.
func (h *health) recordCall(failed bool, took time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	} else {
		h.averageLatencySeconds += latencyWeight * (took.Seconds() - h.averageLatencySeconds)
	}
	h.failureRate = h.decayedFailureRate(now) + failureRateWeight*(value-h.decayedFailureRate(now))
	h.failureRateAt = now
}

// latencyWeight is the weight of the latest call in the moving average of the latency.
const latencyWeight = 0.2

// decayedFailureRate returns the failure rate, 0 to 1, as of now. The lock must be held.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.failureRateAt))/float64(failureRateHalfLife))
}

// recordAnsweredCheck records a health check that the server answered, even if it
// accepts no requests: it ends the backoff and sets the load that the answer reports.
func (h *health) recordAnsweredCheck(load upstream.Load, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedChecks, h.backoffUntil = 0, time.Time{}
	h.setLoad(load, known)
}

// setLoad records a reported load; known is false if there was none. The lock must be
// held.
func (h *health) setLoad(load upstream.Load, known bool) {
	if known {
		h.load, h.loadKnown = load, true
	}
}

// recordLoad records the load reported with the answer to a call.
func (h *health) recordLoad(load upstream.Load, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLoad(load, known)
}

// recordFailedCheck starts or extends the backoff after a failed health check. A
// connection that can't be opened, or that reaches another server, counts as one.
func (h *health) recordFailedCheck(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedChecks++
	h.backoffUntil = now.Add(min(checkBackoffMin<<min(h.failedChecks-1, 8), checkBackoffMax))
}

// inBackoff reports whether the server is in the backoff after failed health checks, in
// which it is neither checked nor chosen.
func (h *health) inBackoff(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.backoffUntil)
}

// recordSend records that a call is being sent to the server.
func (h *health) recordSend(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt = now
}

// loadAt returns when the server last reported its load, or the zero time.
func (h *health) loadAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load.ReceivedAt
}

// loadReportDelay is the longest time from sending a call until the load that its server
// reports includes the call.
const loadReportDelay = 3 * time.Millisecond

const (
	// warmupSlowness is how many times longer a call takes at a cold server.
	warmupSlowness = 2.0
	// defaultSlowness is assumed of a server that doesn't report its slowness.
	defaultSlowness = 1.0
)

// candidate returns the state of the server for the placement rules.
func (t *target) candidate(now time.Time) placement.Candidate {
	h := t.health
	h.mu.Lock()
	defer h.mu.Unlock()
	c := placement.Candidate{Remote: t.remote, FailureRate: h.decayedFailureRate(now), Slots: t.info.Slots, Slowness: defaultSlowness}
	if h.loadKnown {
		c.Running, c.Waiting, c.Slots, c.Slowness = h.load.Running, h.load.Waiting, h.load.Slots, h.load.Slowness
		if h.sentAt.After(h.load.ReceivedAt.Add(-loadReportDelay)) {
			c.Unreported = 1
		}
	} else {
		c.Running = t.server.InFlight()
	}
	if t.cold.isCold(now) && c.Slowness < warmupSlowness {
		c.Slowness *= warmupSlowness
	}
	return c
}
