package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// snapshot is what requests are handled by. It is immutable, but for the targets'
// and services' own state.
type snapshot struct {
	table    *routing.Table
	services map[string]*service
}

// service is a service with its servers.
type service struct {
	name  string
	near  []*target
	far   []*target
	state *serviceState
}

// serviceState outlives changes of the configuration.
type serviceState struct {
	budget *placement.RetryBudget
	asks   placement.TokenBucket
	mute   atomic.Bool // its servers do not tell their load

	mu    sync.Mutex
	queue placement.Queue
}

// target is a server as requests see it.
type target struct {
	info discovery.Server
	far  bool
	// rank is the server's place in this gateway's own order, lowest first.
	rank   uint64
	server *upstream.Server
	health *health
	// coldUntil is when the server is as fast as the others, by its own word.
	coldUntil time.Time
}

// registry builds snapshots. It is used by the control goroutine only.
type registry struct {
	options  *Options
	targets  map[string]*target
	services map[string]*serviceState
}

func newRegistry(o *Options) *registry {
	return &registry{options: o, targets: make(map[string]*target), services: make(map[string]*serviceState)}
}

// build returns a snapshot of a view. Servers that stay keep their connections.
func (r *registry) build(v discovery.View, now time.Time) *snapshot {
	s := &snapshot{table: v.Table, services: make(map[string]*service)}
	for name := range v.Table.Services {
		s.services[name] = &service{name: name, state: r.state(name)}
	}
	live := r.options.Members.Live(now)
	next := make(map[string]*target, len(v.Servers))
	for _, info := range v.Servers {
		configured, ok := v.Table.Services[info.Service]
		if !ok {
			continue
		}
		t := r.target(info, configured, connectionLimit(configured.MaxConnections, live), now)
		next[info.ID] = t
		if info.Leaving && !defect.On("gateway-ignore-leaving") {
			continue
		}
		svc := s.services[info.Service]
		if t.far {
			svc.far = append(svc.far, t)
		} else {
			svc.near = append(svc.near, t)
		}
	}
	for _, svc := range s.services {
		sortByRank(svc.near)
		sortByRank(svc.far)
	}
	for id, old := range r.targets {
		if kept, ok := next[id]; !ok || kept.server != old.server {
			old.server.Close()
		}
	}
	r.targets = next
	return s
}

// rank returns a server's place in this gateway's own order. The first are asked
// first, so that a gateway of many keeps connections to few servers; the order
// differs from one gateway to the next, and a server that joins or leaves changes
// little.
func (r *registry) rank(id string) uint64 {
	return xxhash.Sum64String(r.options.Settings.Entry.ID + id)
}

func sortByRank(list []*target) {
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.rank, b.rank) })
}

func (r *registry) state(name string) *serviceState {
	if s, ok := r.services[name]; ok {
		return s
	}
	b := r.options.Settings.Budgets
	s := &serviceState{budget: placement.NewRetryBudget(b.RetryRatio, b.RetryWindow.Duration)}
	r.services[name] = s
	return s
}

// target keeps what is known of a server that is still the same incarnation.
func (r *registry) target(info discovery.Server, configured routing.Service, limit int, now time.Time) *target {
	old, ok := r.targets[info.ID]
	if ok && old.info == info {
		old.server.SetConnectionLimit(limit)
		return old
	}
	same := ok && old.info.Address == info.Address && old.info.Service == info.Service && old.info.StartedMs == info.StartedMs
	t := &target{info: info, far: info.Zone != r.options.Settings.Entry.DataCentre, coldUntil: now.Add(info.Warmup)}
	if same {
		t.server, t.health, t.rank = old.server, old.health, old.rank
		if info.Warmup > 0 && info.Warmup >= old.info.Warmup {
			t.coldUntil = old.coldUntil
		}
	} else {
		t.server = upstream.NewServer(upstream.Options{
			ID: info.ID, Address: info.Address, HealthPath: configured.HealthPath,
			MaxBodyBytes: r.options.MaxBodyBytes, Dialect: r.options.Dialect,
		})
		t.health = &health{}
		t.rank = r.rank(info.ID)
	}
	t.server.SetConnectionLimit(limit)
	return t
}

const (
	// connectionShare of a server's connections is used, since a server takes
	// fewer while its queue is long.
	connectionShare = 0.8
	// minConnections lets a probe run beside a call.
	minConnections = 2
)

// connectionLimit is the part of a server's connections of one of the live gateways.
func connectionLimit(all, live int) int {
	if all == 0 {
		return 0
	}
	return max(int(connectionShare*float64(all))/max(live, 1), minConnections)
}
