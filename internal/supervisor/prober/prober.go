// Package prober looks after servers apart from calls: it probes those without a
// fresh signal, within the measuring budget, connects to those in use to see
// whether they still listen, and closes idle connections.
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

// Counters of the work done at servers beside calls.
var (
	probes       = metrics.NewCounter("baobab_probes_total")
	probesFailed = metrics.NewCounter("baobab_probes_failed_total")
)

const tick = 250 * time.Millisecond

// Service runs the prober under supervision.
type Service struct {
	holder *view.Holder
	clock  clock.Clock
	log    logs.Logger
}

// NewService returns the prober of the servers in the holder's snapshots.
func NewService(holder *view.Holder, clk clock.Clock) *Service {
	return &Service{holder: holder, clock: clk, log: logs.For("prober")}
}

// Serve looks at all servers at each tick until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.round(ctx, s.holder.Load())
		}
	}
}

func (s *Service) round(ctx context.Context, snapshot *view.Snapshot) {
	if snapshot.Allowances == nil || snapshot.Leaving {
		return
	}
	now := s.clock.Now()
	for service, list := range snapshot.Services {
		rate := rateOf(snapshot.Allowances, service)
		for _, server := range list {
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

// rateOf returns this entry's probes a second to one server of a service.
func rateOf(allowances *lists.Allowances, service string) float64 {
	if defect.On("probe-budget-not-divided") {
		return allowances.Services[service].ProbesPerSecond
	}
	return probe.Rate(allowances.Services[service].ProbesPerSecond, allowances.Entries)
}

func (s *Service) probe(ctx context.Context, server *servers.Server) {
	probes.Inc()
	if err := server.Probe(ctx); err != nil {
		probesFailed.Inc()
		s.log.Debugf("probe %s: %v", server.Info.ID, err)
	}
}
