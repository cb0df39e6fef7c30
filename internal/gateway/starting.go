package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// startupPeriod is how long after its start a gateway may still be receiving its
	// first configuration: a megabyte takes 0.8 s on a link of 10 Mbit/s. A gateway
	// without a configuration after that has lost the store and its peers.
	startupPeriod = time.Second
	// maxStartupWait is the longest time that a request waits for the first
	// configuration.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitShare is the largest share of the caller's remaining time that a
	// request waits for the first configuration, so that enough time is left to try
	// another gateway.
	startupWaitShare = 0.25
	// noConfigurationRetryAfter is the Retry-After of a gateway that has no
	// configuration: the duration of a call to the store.
	noConfigurationRetryAfter = 100 * time.Millisecond
)

// latestSnapshot holds the current snapshot and signals when the first one is set. It
// is safe for concurrent use.
type latestSnapshot struct {
	snapshot  atomic.Pointer[snapshot]
	available chan struct{}
	started   time.Time
}

func newLatestSnapshot(started time.Time) *latestSnapshot {
	return &latestSnapshot{available: make(chan struct{}), started: started}
}

// set replaces the snapshot and reports whether it is the first. Calls must not be
// concurrent.
func (l *latestSnapshot) set(s *snapshot) (first bool) {
	first = l.snapshot.Swap(s) == nil
	if first {
		close(l.available)
	}
	return first
}

// get returns the current snapshot, or nil before the first.
func (l *latestSnapshot) get() *snapshot { return l.snapshot.Load() }

// wait returns the current snapshot. If the gateway has just started and has none yet,
// it waits for the first one. It returns nil if none is set in time.
func (l *latestSnapshot) wait(r *http.Request, deadlineHeader string) *snapshot {
	if s := l.get(); s != nil {
		return s
	}
	limit := min(maxStartupWait, time.Until(l.started.Add(startupPeriod)))
	if remaining, err := parseDeadline(r.Header.Get(deadlineHeader)); err == nil {
		limit = min(limit, time.Duration(startupWaitShare*float64(remaining)))
	}
	if limit <= 0 {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.available:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return l.get()
}
