package gateway

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/settings"
)

const (
	// drainPollInterval is the interval at which open connections are counted while the
	// gateway drains.
	drainPollInterval = 20 * time.Millisecond
	// lameDuckPeriod is how long all new requests are accepted after readiness fails: the
	// platform's load balancer removes a gateway after two failed checks, a second
	// apart.
	lameDuckPeriod = 2500 * time.Millisecond
	// lameDuckShare bounds the lame-duck period as a share of the grace period.
	lameDuckShare = 0.4
	// drainShare is the share of the grace period in which servers may work on requests. It
	// leaves time to write the last answers.
	drainShare = 0.85
	// exitShare is the share of the grace period after which the process closes all connections
	// at the latest. On a busy VM it may have learned late that it is to stop.
	exitShare = 0.92
)

// reasonStopping is the reason of requests that the stop would cut.
const reasonStopping = "stopping"

var errStopping = errors.New("the gateway stops")

// stopPlan holds the phases of a stop. All end at fixed shares of the grace period.
type stopPlan struct {
	// began is when the gateway was told to stop.
	began time.Time
	// lameDuckEnd is when the listener closes. A request that is whole later is accepted only
	// if its deadline is not after drainEnd.
	lameDuckEnd time.Time
	// drainEnd is when requests in flight are given up.
	drainEnd time.Time
	// exit is when connections are closed even if answers are on their way.
	exit time.Time
}

func newStopPlan(began time.Time, grace time.Duration) *stopPlan {
	after := func(share float64) time.Time { return began.Add(time.Duration(share * float64(grace))) }
	p := &stopPlan{began: began, lameDuckEnd: began.Add(lameDuckPeriod), drainEnd: after(drainShare), exit: after(exitShare)}
	if end := after(lameDuckShare); end.Before(p.lameDuckEnd) {
		p.lameDuckEnd = end
	}
	return p
}

// stopState tells requests whether and until when the gateway stops.
type stopState struct{ plan atomic.Pointer[stopPlan] }

// since returns how long the gateway has been stopping; it returns false unless it stops.
func (s *stopState) since(now time.Time) (time.Duration, bool) {
	plan := s.plan.Load()
	if plan == nil {
		return 0, false
	}
	return now.Sub(plan.began), true
}

// endsBefore reports whether the stop may end before a request is answered that is sent now:
// before its deadline, or, if it was received until the end of the lame-duck period, before
// the usual service time.
func (s *stopState) endsBefore(r *request, d placement.Demand, now time.Time) bool {
	plan := s.plan.Load()
	if plan == nil {
		return false
	}
	if r.received.After(plan.lameDuckEnd) {
		return r.deadline.After(plan.drainEnd)
	}
	return now.Add(min(d.ServiceTime, d.TimeLeft)).After(plan.drainEnd)
}

// stopper shuts a gateway down without interrupting requests.
type stopper struct {
	settings settings.GatewayStop
	stop     *stopState
	current  *latestSnapshot
	callers  *callersListener
	members  *fleet.Members
	log      logs.Logger
}

// run fails readiness, serves requests for the lame-duck period, closes idle connections
// and returns when callers have closed the others. Requests that are neither whole nor
// answered at drainEnd are answered then. If the process exited with an answer still in a
// socket's buffer, a request sent behind it would make the kernel reset the connection and
// discard the answer.
func (s *stopper) run() {
	plan := newStopPlan(time.Now(), s.settings.Grace.Duration)
	s.stop.plan.Store(plan)
	s.members.Leave()
	server := s.callers.server.Load()
	if server == nil {
		return
	}
	server.Drain()
	s.log.With("busy", server.Busy()).With("for", time.Until(plan.lameDuckEnd).Round(time.Millisecond)).Infof("stop: not ready; still serving requests")
	time.Sleep(time.Until(plan.lameDuckEnd))
	s.log.With("busy", server.Busy()).With("open", server.Open()).Infof("stop: no longer listening; serving requests that can end in time")
	ended := false
	for time.Now().Before(plan.exit) {
		// A connection may have become idle since the last iteration.
		server.CloseIdle()
		if server.Open() == 0 {
			break
		}
		if !time.Now().Before(plan.drainEnd) {
			if !ended {
				s.log.With("busy", server.Busy()).With("open", server.Open()).Warnf("stop: giving up the requests that are left")
			}
			ended = true
			server.RefuseIncomplete()
			server.Interrupt(errStopping)
		}
		time.Sleep(drainPollInterval)
	}
	s.log.With("busy", server.Busy()).With("lingering", server.Lingering()).With("open", server.Open()).With("after", time.Since(plan.began).Round(time.Millisecond)).Infof("stop: drained")
}
