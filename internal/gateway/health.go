package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

const (
	// failingWeight is the weight of the latest call in the share that failed.
	failingWeight = 0.25
	// failingHalfLife is how fast the share is forgotten without calls.
	failingHalfLife = 3 * time.Second
	// restMin and restMax bound how long a server that does not answer health
	// checks is not asked; the time doubles with each failure.
	restMin = 60 * time.Millisecond
	restMax = time.Second
)

// health is what this gateway has learned of one server's conduct.
type health struct {
	mu        sync.Mutex
	failing   float64
	failingAt time.Time
	silent    int // health checks without an answer in a row
	restUntil time.Time
	load      upstream.Load
	known     bool
	sentAt    time.Time // the last call sent
	latency   float64   // of calls, in seconds, smoothed; 0 if unknown
}

// called notes how a call at the server ended.
func (h *health) called(failed bool, took time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	} else {
		h.latency += latencyWeight * (took.Seconds() - h.latency)
	}
	h.failing = h.decayed(now) + failingWeight*(value-h.decayed(now))
	h.failingAt = now
}

// latencyWeight is the weight of the latest call in the smoothed latency.
const latencyWeight = 0.2

func (h *health) decayed(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	return h.failing * math.Exp2(-float64(now.Sub(h.failingAt))/float64(failingHalfLife))
}

// asked notes the answer to a health check.
func (h *health) asked(load upstream.Load, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent, h.restUntil = 0, time.Time{}
	h.told(load, known)
}

// told notes a load.
func (h *health) told(load upstream.Load, known bool) {
	if known {
		h.load, h.known = load, true
	}
}

// answered notes the load told with an answer to a call.
func (h *health) answered(load upstream.Load, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told(load, known)
}

// unanswered notes a health check that failed.
func (h *health) unanswered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent++
	h.restUntil = now.Add(min(restMin<<min(h.silent-1, 8), restMax))
}

// rests reports whether the server should not be asked now.
func (h *health) rests(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.restUntil)
}

// sent notes that a call goes to the server.
func (h *health) sent(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt = now
}

// loadAt returns when the server last told its load.
func (h *health) loadAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.load.ReceivedAt
}

// visibleAfter is how long a call may take to show in a server's load.
const visibleAfter = 3 * time.Millisecond

const (
	// coldFactor is how much slower a server is shortly after its start.
	coldFactor = 2.0
	// guessedSlowness is assumed of a server that does not tell.
	guessedSlowness = 1.0
)

// candidate returns the server as placement sees it.
func (t *target) candidate(now time.Time) placement.Candidate {
	h := t.health
	h.mu.Lock()
	defer h.mu.Unlock()
	c := placement.Candidate{Remote: t.far, FailureRate: h.decayed(now), Slots: t.info.Slots, Slowness: guessedSlowness}
	if h.known {
		c.Running, c.Waiting, c.Slots, c.Slowness = h.load.Running, h.load.Waiting, h.load.Slots, h.load.Slowness
		if h.sentAt.After(h.load.ReceivedAt.Add(-visibleAfter)) {
			c.Unreported = 1
		}
	} else {
		c.Running = t.server.InFlight()
	}
	if now.Before(t.coldUntil) && c.Slowness < coldFactor {
		c.Slowness *= coldFactor
	}
	return c
}
