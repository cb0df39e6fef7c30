package discovery

import "time"

// DefaultChangeBound is the time within which a gateway knows a change of the store if the
// settings don't say otherwise.
const DefaultChangeBound = 2 * time.Second

// Timing holds the pauses and timeouts on a change's way from the store to a gateway. All
// are shares of the time within which every gateway must know the change.
//
// A reader that is healthy confirms its data once per WatchWait. A gateway that loses its
// source notices that UpdateTimeout after the last update, when its data are up to
// WatchWait + UpdateTimeout old, and one with a silent source that it can't tell from a
// slow one asks the store once its data are FollowerStaleAge + StaleSpread old. Either way
// there is time left for a call to the store.
type Timing struct {
	// WatchWait is how long the store holds a watch open without changes.
	WatchWait time.Duration
	// WatchMargin is added to WatchWait to allow for a slow store's response.
	WatchMargin time.Duration
	// ReadTimeout limits any other call to the store, and connecting to it.
	ReadTimeout time.Duration
	// BatchDelay postpones the next watch after changes, so that one call returns several
	// changes in quick succession.
	BatchDelay time.Duration

	// Heartbeat is the pause between updates to a follower while nothing changes.
	Heartbeat time.Duration
	// UpdateTimeout is how long a follower waits for an update: one heartbeat that is lost
	// and most of another.
	UpdateTimeout time.Duration
	// FirstUpdateTimeout is how long a follower waits for the first update, connecting
	// included.
	FirstUpdateTimeout time.Duration
	// NoDataTimeout is how long a follower waits for a gateway that answers but has no
	// store data yet, before it tries another gateway.
	NoDataTimeout time.Duration

	// LeaderStaleAge and FollowerStaleAge are the ages of the data from which a leader and
	// any other gateway ask the store themselves. Leaders come first, because others follow
	// them.
	LeaderStaleAge, FollowerStaleAge time.Duration
	// StaleSpread bounds the delay that spreads the calls to the store by gateways that lost
	// the same source.
	StaleSpread time.Duration
	// StaleCheck is the pause between two choices of a source while the data are older than
	// LeaderStaleAge.
	StaleCheck time.Duration
	// LeaderRetry and FollowerRetry are the pauses after which a leader that is not the
	// reader and any other gateway retry a failing store. Every gateway retries, because
	// gateways disagree on who is the reader while the store answers none of them, and a
	// change must be known in time after the store recovers.
	LeaderRetry, FollowerRetry time.Duration
	// MaxFailureGap is the longest time between two failures of the same outage: the pause
	// before a retry and part of the call's timeout.
	MaxFailureGap time.Duration
}

// NewTiming returns the timing with which every gateway knows a change within the bound
// after the store has acknowledged it.
func NewTiming(bound time.Duration) Timing {
	share := func(percent time.Duration) time.Duration { return bound * percent / 100 }
	return Timing{
		WatchWait: share(40), WatchMargin: share(20), ReadTimeout: share(35), BatchDelay: share(10),
		Heartbeat: share(20), UpdateTimeout: share(38), FirstUpdateTimeout: share(15), NoDataTimeout: share(15),
		LeaderStaleAge: share(60), FollowerStaleAge: share(65), StaleSpread: share(10), StaleCheck: share(4),
		LeaderRetry: share(50), FollowerRetry: share(100), MaxFailureGap: share(125),
	}
}
