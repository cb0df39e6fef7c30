package gateway

import (
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

const (
	// quietFor is how long no request may have come before a stopping gateway
	// closes its callers' connections.
	quietFor = 400 * time.Millisecond
	// pollEvery is the pause between two looks at what is still in flight.
	pollEvery = 20 * time.Millisecond
)

// stopper stops a gateway without cutting a request.
type stopper struct {
	settings settings.Stop
	handler  *handler
	front    *frontService
	members  *fleet.Members
	log      logs.Logger
	stopping atomic.Bool
}

// run fails readiness, serves for the lame-duck time, and returns when no request
// is in flight and none has come for a while, or after the drain.
func (s *stopper) run() {
	begin := time.Now()
	s.stopping.Store(true)
	s.members.Leave()
	server := s.front.server.Load()
	if server == nil {
		return
	}
	server.Drain()
	s.log.With("busy", server.Busy()).Infof("stop: not ready; requests are served for %s more at least", s.settings.LameDuck)
	for {
		time.Sleep(pollEvery)
		now := time.Now()
		last := time.Unix(0, s.handler.lastRequest.Load())
		quiet := server.Busy() == 0 && now.Sub(last) > quietFor
		if quiet && now.Sub(begin) > s.settings.LameDuck.Duration {
			break
		}
		if now.Sub(begin) > s.settings.Drain.Duration {
			break
		}
	}
	s.log.With("busy", server.Busy()).With("after", time.Since(begin).Round(time.Millisecond)).Infof("stop: drained")
}
