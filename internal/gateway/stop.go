package gateway

import (
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

const (
	// drainPollInterval is the interval at which the requests in flight are counted while
	// the gateway drains.
	drainPollInterval = 20 * time.Millisecond
	// lameDuckPeriod is how long new requests are accepted after readiness fails: the
	// platform's load balancer removes a gateway after two failed checks, a second
	// apart.
	lameDuckPeriod = 2500 * time.Millisecond
	// lameDuckShare bounds the lame-duck period as a share of the grace period.
	lameDuckShare = 0.4
	// exitMargin is the part of the grace period that is kept for the process to exit.
	exitMargin = 600 * time.Millisecond
)

// stopper shuts a gateway down without interrupting requests.
type stopper struct {
	settings settings.GatewayStop
	handler  *handler
	callers  *callersListener
	members  *fleet.Members
	log      logs.Logger
}

// stopState tells requests how far a stop is.
type stopState struct {
	began atomic.Pointer[time.Time] // nil unless the gateway stops
	ended atomic.Bool               // connections are being closed
}

// since returns how long the gateway has been stopping; it returns false unless it stops.
func (s *stopState) since(now time.Time) (time.Duration, bool) {
	began := s.began.Load()
	if began == nil {
		return 0, false
	}
	return now.Sub(*began), true
}

// run fails readiness, serves requests for the lame-duck period, closes idle connections
// and returns when callers have closed the others, or exitMargin before the grace period
// ends. If the process exited with an answer still in a socket's buffer, a request sent
// behind it would make the kernel reset the connection and discard the answer.
func (s *stopper) run() {
	begin := time.Now()
	grace := s.settings.Grace.Duration
	s.handler.stop.began.Store(&begin)
	s.members.Leave()
	server := s.callers.server.Load()
	if server == nil {
		return
	}
	server.Drain()
	lameDuck := min(lameDuckPeriod, time.Duration(lameDuckShare*float64(grace)))
	s.log.With("busy", server.Busy()).With("for", lameDuck).Infof("stop: not ready; still serving requests")
	time.Sleep(lameDuck)
	for time.Since(begin) < grace-exitMargin {
		// A connection may have become idle since the last iteration.
		server.CloseIdle()
		if server.Busy() == 0 && server.Lingering() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	s.log.With("busy", server.Busy()).With("lingering", server.Lingering()).With("after", time.Since(begin).Round(time.Millisecond)).Infof("stop: drained")
	s.handler.stop.ended.Store(true)
}
