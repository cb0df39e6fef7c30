package gateway

import (
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

const (
	// pollEvery is the pause between two looks at what is still in flight.
	pollEvery = 20 * time.Millisecond
	// lameDuck is how long new requests are taken after readiness fails: two
	// checks, a second apart, must fail before the platform's balancer looks
	// elsewhere.
	lameDuck = 2500 * time.Millisecond
	// lameDuckShare bounds the lame duck by a share of the grace.
	lameDuckShare = 0.4
	// exitMargin is left of the grace for the end of the process.
	exitMargin = 600 * time.Millisecond
)

// stopper stops a gateway without cutting a request.
type stopper struct {
	settings settings.GatewayStop
	handler  *handler
	front    *frontService
	members  *fleet.Members
	log      logs.Logger
	stopping atomic.Bool
}

// run fails readiness, serves for the lame-duck time, closes idle connections and
// returns when no request is in flight, or shortly before the grace ends.
func (s *stopper) run() {
	begin := time.Now()
	grace := s.settings.Grace.Duration
	s.stopping.Store(true)
	s.members.Leave()
	server := s.front.server.Load()
	if server == nil {
		return
	}
	server.Drain()
	duck := min(lameDuck, time.Duration(lameDuckShare*float64(grace)))
	s.log.With("busy", server.Busy()).With("for", duck).Infof("stop: not ready; requests are still served")
	time.Sleep(duck)
	for time.Since(begin) < grace-exitMargin {
		// A connection may have become idle since the last look.
		server.CloseIdle()
		if server.Busy() == 0 {
			break
		}
		time.Sleep(pollEvery)
	}
	s.log.With("busy", server.Busy()).With("after", time.Since(begin).Round(time.Millisecond)).Infof("stop: drained")
}
