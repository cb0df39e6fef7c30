// Package prober checks servers independently of calls. It probes servers that are
// leaving or sent no recent load report, within the probe rate of their service. It
// opens connections to servers in use to detect those that stopped listening, and
// closes connections that were idle too long.
package prober

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/policy/probe"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

var (
	probes       = metrics.NewCounter("baobab_probes_total")
	probesFailed = metrics.NewCounter("baobab_probes_failed_total")
)

// checkInterval is the time between two checks of all servers.
const checkInterval = 250 * time.Millisecond

// Service checks the servers at a fixed interval. It is a service of the supervisor.
type Service struct {
	holder *view.Holder
	clock  clock.Clock
	log    logs.Logger
}

// NewService returns a prober for the servers in the holder's latest snapshot.
func NewService(holder *view.Holder, clk clock.Clock) *Service {
	return &Service{holder: holder, clock: clk, log: logs.For("prober")}
}

// Serve checks all servers at each interval until the context is done, and returns
// the context's error.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.checkServers(ctx, s.holder.Load())
		}
	}
}

// checkServers starts the checks that are due. It does nothing while the entry is
// leaving or has no allowances list, which sets the probe rates.
func (s *Service) checkServers(ctx context.Context, snapshot *view.Snapshot) {
	if snapshot.Allowances == nil || snapshot.Leaving {
		return
	}
	now := s.clock.Now()
	for service, serviceServers := range snapshot.Services {
		rate := probeRate(snapshot.Allowances, service)
		for _, server := range serviceServers {
			server.Trim()
			if server.ConnectCheckDue() {
				go server.CheckConnect(ctx)
			}
			if server.ProbeDue(now, rate, rand.Float64()) {
				go s.probe(ctx, server)
			}
		}
	}
}

// probeRate returns this entry's limit for one server of a service, in probes per
// second.
func probeRate(allowances *lists.Allowances, service string) float64 {
	if defect.On("probe-budget-not-divided") {
		return allowances.Services[service].ProbesPerSecond
	}
	return probe.Rate(allowances.Services[service].ProbesPerSecond, allowances.Entries)
}

func (s *Service) probe(ctx context.Context, server *servers.Server) {
	probes.Inc()
	if err := server.Probe(ctx); err != nil {
		probesFailed.Inc()
		s.log.Debugf("probe of server %s failed: %v", server.Info.ID, err)
	}
}
