package discovery

import (
	"time"

	"github.com/baobabstack/baobabstack/internal/logs"
)

// plan is what a gateway does while its data are older than a leader may let them become.
type plan string

const (
	planNone       plan = "waits before it tries another source"
	planAskStore   plan = "waits for the store's answer"
	planTryPeer    plan = "waits for another gateway's first update"
	planFollowPeer plan = "follows another gateway, which has not confirmed them either"
)

// choosePlan returns what the gateway does about its data at present.
func (f *Follower) choosePlan() plan {
	s := f.session
	switch {
	case s == nil:
		return planNone
	case s.source.Direct():
		return planAskStore
	case !s.answered:
		return planTryPeer
	default:
		return planFollowPeer
	}
}

// reportAge logs when the data have become older than a leader may let them become, what the
// gateway does about that each time that it changes, and when they are recent again.
func (f *Follower) reportAge(now time.Time) {
	if !f.state.Known() {
		return
	}
	age := f.age()
	reportDataAge(age)
	if age <= f.options.Timing.LeaderStaleAge {
		if f.plan != "" {
			f.plan = ""
			f.describe(f.log).With("age", age.Round(time.Millisecond)).Infof("data are confirmed again")
		}
		return
	}
	p := f.choosePlan()
	if p == f.plan {
		return
	}
	if f.plan == "" {
		countOldData()
	}
	f.plan = p
	l := f.describe(f.log).With("age", age.Round(time.Millisecond)).With("plan", p).With("leads", f.leader).With("members", f.roles.Members).
		With("asks_store_at_age", f.staleLimit(f.roles).Round(time.Millisecond))
	if wait := f.storeRetryDelay(f.roles) - now.Sub(f.storeFailedAt); wait > 0 {
		l = l.With("store_failed", "asked again in "+wait.Round(time.Millisecond).String())
	}
	l.Warnf("data are old: the store has not confirmed them")
}

// age returns the time since the store last confirmed the state.
func (f *Follower) age() time.Duration {
	return f.clock.Now() - time.Duration(f.confirmedAt.Load())
}

// describe adds to a log line what the data are and where they come from.
func (f *Follower) describe(l logs.Logger) logs.Logger {
	l = l.With("version", f.state.Table().Version).With("revision", f.state.Revision())
	if s := f.session; s != nil {
		l = l.With("source", s.source.Name()).With("heard", s.answered).With("source_age", s.age.Round(time.Millisecond))
	}
	return l
}
