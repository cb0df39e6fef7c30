package gateway

import (
	"context"
	"slices"
	"time"
)

const (
	// connectionShare is the share of a server's connection limit that the gateways use
	// together, since a server accepts fewer connections while its queue is long.
	connectionShare = 0.8
	// minConnections is the least connection limit of one gateway to a server. It allows
	// a health check during a call.
	minConnections = 2
	// connectionLimitInterval is the interval at which connection limits are adapted to
	// the size of the fleet.
	connectionLimitInterval = time.Second
)

// connectionLimit returns one gateway's share of a server's connections, given the
// number of gateways that share them; 0 means no limit.
func connectionLimit(all, gateways int) int {
	if all == 0 {
		return 0
	}
	return max(int(connectionShare*float64(all))/max(gateways, 1), minConnections)
}

// connectionLimiter adapts the connection limits when the size of the fleet changes. New
// servers get theirs when they are listed.
type connectionLimiter struct {
	options *Options
	current *latestSnapshot
}

// Serve adapts the limits at intervals until the context ends.
func (l *connectionLimiter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(connectionLimitInterval)
	defer ticker.Stop()
	var limited *snapshot // the latest one whose servers were limited, for limitedFor gateways
	limitedFor := 0
	for {
		select {
		case now := <-ticker.C:
			s, gateways := l.current.get(), l.options.fleetSize(now).Gateways
			if s != limited || gateways != limitedFor {
				s.limitConnections(gateways)
				limited, limitedFor = s, gateways
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// limitConnections sets the connection limits of all servers; a nil snapshot has none.
func (s *snapshot) limitConnections(gateways int) {
	if s == nil {
		return
	}
	for name, svc := range s.services {
		limit := connectionLimit(s.table.Services[name].MaxConnections, gateways)
		for _, t := range slices.Concat(svc.local, svc.remote) {
			t.server.SetConnectionLimit(limit)
		}
	}
}
