package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// snapshot is the configuration and the servers that requests use. It is immutable
// except for the state inside targets and services.
type snapshot struct {
	table    *routing.Table
	services map[string]*service
}

// service is a configured service and the servers that accept its requests: local ones
// in the gateway's data centre, remote ones in others.
type service struct {
	name   string
	local  []*target
	remote []*target
	// evacuated is the number of servers left out because their data centre is evacuated.
	evacuated int
	state     *serviceState
}

// serviceState is the state of a service that is kept across changes of the
// configuration.
type serviceState struct {
	retryBudget    *placement.RetryBudget
	checkBudget    placement.TokenBucket
	crossing       *placement.Crossing
	loadUnreported atomic.Bool  // a server has answered a health check without its load
	sends          atomic.Int64 // calls sent to servers of the service

	mu    sync.Mutex
	queue placement.Queue
}

// target is a server to which requests can be sent.
type target struct {
	info   discovery.Server
	remote bool
	// checkOrder is the sort key of this gateway's order of checks, lowest first.
	checkOrder uint64
	server     *upstream.Server
	health     *health
	// evacuated says that the server's data centre gets nothing. All targets of a data centre
	// share it, so that it also holds for requests that use an earlier snapshot.
	evacuated *atomic.Bool
	cold      *coldServer
}

// registry builds snapshots. Only the control goroutine uses it.
type registry struct {
	options  *Options
	log      logs.Logger
	answers  *memory.FairBudget // for the answers of all servers
	targets  map[string]*target
	services map[string]*serviceState
	// evacuated says of each data centre whether its servers get nothing.
	evacuated map[string]*atomic.Bool
	// standings holds what each run of a server has asked for.
	standings map[serverRun]*keptStanding
}

func newRegistry(o *Options) *registry {
	return &registry{options: o, log: logs.For("gateway"), answers: newAnswerBudget(o.Settings.VM.MemoryMB), targets: make(map[string]*target), services: make(map[string]*serviceState), evacuated: make(map[string]*atomic.Bool), standings: make(map[serverRun]*keptStanding)}
}

// build returns the snapshot of a view. It closes the connections to servers that are no
// longer listed or that have been replaced; the others keep theirs.
func (r *registry) build(v discovery.View, now time.Time) *snapshot {
	s := &snapshot{table: v.Table, services: make(map[string]*service)}
	for name := range v.Table.Services {
		s.services[name] = &service{name: name, state: r.serviceState(name)}
	}
	r.evacuate(v)
	gateways := r.options.fleetSize(now).Gateways
	next := make(map[string]*target, len(v.Servers))
	for _, info := range v.Servers {
		configured, ok := v.Table.Services[info.Service]
		if !ok {
			continue
		}
		t := r.target(info, configured, connectionLimit(configured.MaxConnections, gateways), now)
		next[info.ID] = t
		if info.Leaving && !defect.On("gateway-ignore-leaving") {
			continue
		}
		svc := s.services[info.Service]
		if t.evacuated.Load() {
			svc.evacuated++
			continue
		}
		if t.remote {
			svc.remote = append(svc.remote, t)
		} else {
			svc.local = append(svc.local, t)
		}
	}
	for _, svc := range s.services {
		sortByCheckOrder(svc.local)
		sortByCheckOrder(svc.remote)
	}
	for id, old := range r.targets {
		if kept, ok := next[id]; !ok || kept.server != old.server {
			old.server.Close()
		}
	}
	r.targets = next
	r.forgetStandings(now)
	return s
}

// evacuate sets which data centres get nothing.
func (r *registry) evacuate(v discovery.View) {
	if defect.On("gateway-ignore-evacuation") {
		return
	}
	servers := make(map[string]int)
	for _, info := range v.Servers {
		servers[info.Zone]++
	}
	for dataCentre := range v.Evacuated {
		if r.evacuation(dataCentre).Swap(true) {
			continue
		}
		l := r.log.With("data_centre", dataCentre).With("servers", servers[dataCentre]).With("revision", v.Revision)
		if servers[dataCentre] == 0 {
			l.Warnf("evacuation of a data centre in which no server is listed: check its name")
			continue
		}
		l.Infof("data centre evacuated: its servers get nothing")
	}
	for dataCentre, evacuated := range r.evacuated {
		if !v.Evacuated[dataCentre] && evacuated.Swap(false) {
			r.log.With("data_centre", dataCentre).With("servers", servers[dataCentre]).With("revision", v.Revision).Infof("data centre taken back: its servers get requests")
		}
	}
	reportEvacuated(len(v.Evacuated))
}

// evacuation returns the state of a data centre, which it creates on first use.
func (r *registry) evacuation(dataCentre string) *atomic.Bool {
	e, ok := r.evacuated[dataCentre]
	if !ok {
		e = new(atomic.Bool)
		r.evacuated[dataCentre] = e
	}
	return e
}

// checkOrder returns the key by which a server is sorted into this gateway's order of
// checks. A stable order keeps most connections of one gateway on few servers. The order
// differs between gateways, and a server that joins or leaves doesn't move the others.
func (r *registry) checkOrder(id string) uint64 {
	return xxhash.Sum64String(r.options.Settings.Entry.ID + id)
}

func sortByCheckOrder(list []*target) {
	slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.checkOrder, b.checkOrder) })
}

// serviceState returns the state of a service, which it creates on first use.
func (r *registry) serviceState(name string) *serviceState {
	if s, ok := r.services[name]; ok {
		return s
	}
	b := r.options.Settings.Budgets
	s := &serviceState{crossing: placement.NewCrossing(), retryBudget: placement.NewRetryBudget(b.RetryRatio, b.RetryWindow.Duration, 1-rand.Float64(), r.options.started)}
	r.services[name] = s
	reportRemoteFirst(name, s.crossing)
	return s
}

// target returns the target for a listed server. Connections and health are kept until
// the server restarts, or its address or service changes.
func (r *registry) target(info discovery.Server, configured routing.Service, limit int, now time.Time) *target {
	old, ok := r.targets[info.ID]
	standing := r.standing(info)
	rule := r.coldRule(configured)
	if ok && old.info == info {
		old.server.SetConnectionLimit(limit)
		old.cold.setRule(rule)
		return old
	}
	same := ok && old.info.Address == info.Address && old.info.Service == info.Service && old.info.StartedMs == info.StartedMs
	t := &target{info: info, remote: info.Zone != r.options.Settings.Entry.DataCentre, evacuated: r.evacuation(info.Zone)}
	if same {
		t.server, t.health, t.checkOrder, t.cold = old.server, old.health, old.checkOrder, old.cold
		if info.Warmup != old.info.Warmup {
			t.cold.listed(info.Warmup, now)
		}
	} else {
		t.server = upstream.NewServer(upstream.Options{
			ID: info.ID, Address: info.Address, HealthPath: configured.HealthPath,
			MaxBodyBytes: maxAnswerBytes(r.options.MaxBodyBytes, r.options.Settings.VM.MemoryMB), Memory: r.answers,
			Dialect: r.options.Dialect, Standing: standing,
		})
		t.health = &health{}
		t.checkOrder = r.checkOrder(info.ID)
		t.cold = newColdServer(t.checkOrder, !t.remote, r.options.fleetSize)
		t.cold.listed(info.Warmup, now)
	}
	t.cold.setRule(rule)
	t.server.SetConnectionLimit(limit)
	return t
}
