package gateway

import (
	"net/http"
	"time"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// standingMemory is how long the standing of a server that is no longer listed is kept. A
// record that lapsed while the store was away comes back for the same run of the server.
const standingMemory = 10 * time.Minute

// serverRun identifies one run of a server.
type serverRun struct {
	id        string
	startedMs int64
}

// keptStanding is the standing of one run of a server, and since when the run is no longer
// listed; zero if it is.
type keptStanding struct {
	standing   *upstream.Standing
	unlistedAt time.Time
}

// standing returns the standing of the listed run of a server, whatever its address.
func (r *registry) standing(info discovery.Server) *upstream.Standing {
	run := serverRun{info.ID, info.StartedMs}
	kept, ok := r.standings[run]
	if !ok {
		kept = &keptStanding{standing: upstream.NewStanding(func(n upstream.Notice) { reportNotice(info, n) })}
		r.standings[run] = kept
	}
	kept.unlistedAt = time.Time{}
	return kept.standing
}

// forgetStandings drops the standings of runs that have not been listed for standingMemory.
func (r *registry) forgetStandings(now time.Time) {
	for run, kept := range r.standings {
		t, listed := r.targets[run.id]
		switch {
		case listed && t.info.StartedMs == run.startedMs:
		case kept.unlistedAt.IsZero():
			kept.unlistedAt = now
		case now.Sub(kept.unlistedAt) > standingMemory:
			delete(r.standings, run)
		}
	}
}

var standingLog = logs.For("gateway")

// reportNotice logs and counts what a server asks for.
func reportNotice(info discovery.Server, n upstream.Notice) {
	l := standingLog.With("server", info.ID).With("service", info.Service).With("id", n.CallID)
	if n.Unreadable != "" {
		const maxText = 40
		l.With("retry_after", n.Unreadable[:min(len(n.Unreadable), maxText)]).Warnf("server asks for a pause in a way that can't be used; the nearest bound holds")
	}
	if n.Leaving {
		countLeftAlone("leaving")
		l.Infof("server left alone: it says that it leaves")
	}
	if !n.Until.IsZero() {
		countLeftAlone("pause")
		l.With("pause", time.Until(n.Until).Round(time.Millisecond)).Infof("server left alone: it asks for a pause")
	}
}

// restraint says whether calls may go to a server.
type restraint int

const (
	// unrestrained servers take calls.
	unrestrained restraint = iota
	// onTrial servers may be tried by the one call that asked.
	onTrial
	// leftOut servers take a call only if no other server can.
	leftOut
	// closed servers take no call: they leave, have asked for a pause, are in a data centre that
	// is evacuated, or are cold and it is not this gateway's turn.
	closed
)

// available reports whether the server may get requests: it wants them, and its data centre is
// not evacuated.
func (t *target) available(now time.Time) bool {
	return t.server.Standing().Available(now) && !t.evacuated.Load()
}

// restraint returns whether a call may go to the server; sends is the number of calls that
// this gateway has sent to the service, and draw a random number from 0 to 1.
func (t *target) restraint(sends int, draw float64, now time.Time) restraint {
	standing := t.server.Standing()
	switch {
	case !t.available(now), !t.cold.isOpen(now):
		return closed
	case t.health.leftOut():
		if t.health.claimTrial(sends, now) {
			return onTrial
		}
		return leftOut
	}
	if standing.Resumed(now) {
		standingLog.With("server", t.info.ID).With("service", t.info.Service).Infof("server takes requests again: its pause has ended")
	}
	if ended, length := standing.LastPause(); !ended.IsZero() && draw >= placement.ReturnShare(now.Sub(ended), length) {
		return leftOut
	}
	return unrestrained
}

// closedUntil reports whether no server of the service may get requests, and when the first of
// the pauses ends. The time is zero if all servers leave or are evacuated.
func (s *service) closedUntil(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, list := range [][]*target{s.local, s.remote} {
		for _, t := range list {
			standing := t.server.Standing()
			switch until, _ := standing.LastPause(); {
			case t.available(now):
				return time.Time{}, false
			case standing.Leaving() || t.evacuated.Load():
			case earliest.IsZero() || until.Before(earliest):
				earliest = until
			}
		}
	}
	return earliest, true
}

// recordRefusal records that the server refused a call for which it had room by its own
// account. It returns true if the server is left out from now on.
func (h *health) recordRefusal(sends int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals.Refused(sends, now)
}

// recordAccepted records that the server ran a call, and returns true if it was left out.
func (h *health) recordAccepted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals.Accepted()
}

func (h *health) leftOut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals.LeftOut()
}

func (h *health) claimTrial(sends int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals.ClaimTrial(sends, now)
}

// refusalMargin is the time left to a call from which its refusal is not due to its deadline.
// Servers get the deadline in whole milliseconds, and some time before it.
const refusalMargin = 20 * time.Millisecond

// refusesCalls reports whether a server that doesn't run a call answers with this status
// because it wants fewer calls.
func refusesCalls(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// recordRefusals takes a result into account for the choice of servers that refuse calls. It
// returns true if the result is a refusal for which the server's load gives no reason.
func (d *dispatcher) recordRefusals(req *request, ls *leasedServer, r *upstream.Result, now time.Time) bool {
	t := ls.target
	l := standingLog.With("server", t.info.ID).With("service", t.info.Service).With("id", req.id)
	switch {
	case r.Outcome == upstream.Answered:
		if t.health.recordAccepted() {
			l.Infof("server takes requests again: it has accepted a trial")
		}
		return false
	case r.Outcome != upstream.NotRun || !refusesCalls(r.Status) || req.deadline.Sub(now) < refusalMargin:
		return false // not the server's choice: the request's own fault, or its deadline
	}
	if ls.answeredAt.IsZero() || !ls.candidate.HasFreeSlot() {
		return false // nothing is known of its load, or it is full
	}
	if t.health.recordRefusal(int(req.service.state.sends.Load()), now) {
		countLeftAlone("refusals")
		l.With("status", r.Status).With("load", ls.candidate.Running).With("slots", ls.candidate.Slots).
			Infof("server left alone: it refuses calls for which it reports room; it gets a trial now and then")
	}
	return true
}
