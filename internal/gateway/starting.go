package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// startingFor is how long after its start a gateway expects to learn the
	// configuration at any moment: a megabyte takes 0.8 s on a link of 10 Mbit/s.
	// A gateway that knows nothing after that has lost the store and its peers.
	startingFor = time.Second
	// startingWait bounds the wait of one request, and startingShare does so as a
	// share of the caller's time, so that enough is left to ask another gateway.
	startingWait  = 500 * time.Millisecond
	startingShare = 0.25
	// unknownRetryAfter is when callers come back to an entry that knows no
	// configuration: the time of a call to the store.
	unknownRetryAfter = 100 * time.Millisecond
)

// latest is the newest snapshot, and tells when there is a first one. It is safe for
// concurrent use.
type latest struct {
	snapshot atomic.Pointer[snapshot]
	known    chan struct{}
	started  time.Time
}

func newLatest(started time.Time) *latest {
	return &latest{known: make(chan struct{}), started: started}
}

// set replaces the snapshot and reports whether it is the first. It is called by one
// goroutine at a time.
func (l *latest) set(s *snapshot) (first bool) {
	first = l.snapshot.Swap(s) == nil
	if first {
		close(l.known)
	}
	return first
}

// get returns the newest snapshot, or nil.
func (l *latest) get() *snapshot { return l.snapshot.Load() }

// wait returns the newest snapshot. A request that arrives before there is one, at a
// gateway that has just started, waits for it a moment; nil if there still is none.
func (l *latest) wait(r *http.Request, deadlineHeader string) *snapshot {
	if s := l.get(); s != nil {
		return s
	}
	most := min(startingWait, time.Until(l.started.Add(startingFor)))
	if left, err := parseDeadline(r.Header.Get(deadlineHeader)); err == nil {
		most = min(most, time.Duration(startingShare*float64(left)))
	}
	if most <= 0 {
		return nil
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-l.known:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return l.get()
}
