package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/tree"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// Options configures a gateway.
type Options struct {
	// Settings is the validated settings file.
	Settings *settings.Gateway
	// Reload reads the settings file again. It returns nil settings, with the errors
	// found, if the file is not valid.
	Reload func() (*settings.Gateway, []error)
	// Dialect holds the names of the headers that servers read and write.
	Dialect *upstream.Dialect
	// Timing holds the timeouts between the store and this gateway. The default is that of
	// discovery.DefaultChangeBound.
	Timing discovery.Timing
	// Store reads the platform's store.
	Store discovery.Store
	// Decoder decodes the items of the store.
	Decoder discovery.Decoder
	// Members is the table of the fleet's gateways. Run sets it.
	Members *fleet.Members
	// MaxBodyBytes bounds request and response bodies. The default is 64 MiB; answers of
	// servers are bounded by the VM's memory as well.
	MaxBodyBytes int

	started time.Time
	seeds   atomic.Pointer[[]string]
}

const (
	// defaultMaxBodyBytes is the default of Options.MaxBodyBytes. The configuration can
	// lower the limit on request bodies, but not raise it.
	defaultMaxBodyBytes = 64 << 20
	// bodyMemoryShare is the share of the VM's memory that requests may use, an eighth of it
	// more for small ones; the rest is for answers, connections and the garbage collector. One
	// request with a body of defaultMaxBodyBytes fits into it on a VM of 184 MB.
	bodyMemoryShare = 0.35
	// callerIdleTimeout bounds the time between two requests on a caller's connection
	// if the configuration allows more or has not been received yet.
	callerIdleTimeout = 2 * time.Minute
)

// Run runs a gateway until the context ends and then stops it gracefully. It reads the
// settings again when the reload channel receives a value. It returns an error if the
// supervisor tree fails.
func Run(ctx context.Context, o *Options, reload <-chan struct{}) error {
	log := logs.For("gateway")
	o.started = time.Now()
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.Timing == (discovery.Timing{}) {
		o.Timing = discovery.NewTiming(discovery.DefaultChangeBound)
	}
	s := o.Settings
	o.seeds.Store(&s.Fleet.Seeds)
	o.Members = fleet.NewMembers(&fleetwire.Member{
		Id: s.Entry.ID, Address: s.Listen.Fleet, GossipAddress: s.Listen.Gossip, Zone: s.Entry.DataCentre,
		Capacity:    uint32(s.VM.LinkMbps),        //nolint:gosec // validated with the settings
		Incarnation: uint64(o.started.UnixNano()), //nolint:gosec // after 1970
	})
	h := newHandler(o, newCounters())
	gossip := fleet.NewGossip(o.Members, s.Listen.Gossip, o.gossipSeeds)
	follower := o.newFollower(h, gossip)
	callers := &callersListener{options: httpserver.Options{
		Name: "callers", Address: s.Listen.Callers, Handler: h, MaxBodyBytes: o.MaxBodyBytes,
		MemoryBytes: requestMemoryBytes(s.VM.MemoryMB), IdleTimeout: callerIdleTimeout, Limits: h.limits,
		MaxConnections: maxCallerConnections(s.VM.MaxFDs), MinBodyRate: s.VM.MinBodyRate, IDHeader: o.Dialect.CallID,
	}}
	reportHeldBytes(callers)
	stop := &stopper{settings: s.Stop, stop: &h.dispatcher.stop, current: h.current, callers: callers, members: o.Members, log: log}

	root := tree.New("gateway", log)
	for _, child := range []suture.Service{
		follower, callers,
		fleet.NewService(s.Listen.Fleet, o.Members, follower, o.Timing),
		gossip,
		auxListener{name: "ready", address: s.Listen.Ready, path: s.Listen.ReadyPath, handle: stop.ready},
		auxListener{name: "metrics", address: s.Listen.Metrics, path: s.Listen.MetricsPath, handle: writeMetrics},
		&reloader{options: o, requests: reload, log: log},
		&connectionLimiter{options: o, current: h.current},
	} {
		root.Add(child)
	}
	log.With("id", s.Entry.ID).With("data_centre", s.Entry.DataCentre).With("listen", s.Listen.Callers).Infof("start")
	treeCtx, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	done := root.ServeBackground(treeCtx)
	<-ctx.Done()
	stop.run()
	stopTree()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "stop")
	}
	log.Infof("stopped")
	return nil
}

// newFollower returns the follower that keeps h's snapshot of the configuration and the servers
// up to date.
func (o *Options) newFollower(h *handler, gossip *fleet.Gossip) *discovery.Follower {
	reg := newRegistry(o)
	return discovery.NewFollower(discovery.Options{
		Decoder: o.Decoder, Store: o.Store, Timing: o.Timing,
		Roles: func(now time.Time) discovery.Roles {
			return fleet.Sources(o.Members, *o.seeds.Load(), o.Timing, now)
		},
		SetStoreReachable: o.setStoreReachable,
		ActAsLeader:       gossip.AnnounceLeader,
		Publish: func(v discovery.View) {
			if h.current.set(reg.build(v, time.Now())) {
				logs.For("gateway").With("after", time.Since(o.started).Round(time.Millisecond)).Infof("ready: configuration and servers are known")
			}
		},
	})
}

const (
	// callerDescriptorShare is the share of the VM's descriptors that callers' connections may
	// use. The rest is for servers, other gateways and the store.
	callerDescriptorShare = 0.5
	// reservedDescriptors is the number of descriptors that a gateway uses for itself: its
	// listeners, their pollers and files.
	reservedDescriptors = 64
)

// maxCallerConnections returns the most connections of callers on a VM with a number of
// descriptors; 0 stands for the default.
func maxCallerConnections(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(int(callerDescriptorShare*float64(descriptors-reservedDescriptors)), 1)
}

// reportHeldBytes serves metrics of what requests hold.
func reportHeldBytes(l *callersListener) {
	held := func(pick func(now, peak, givenUp int) int) func() float64 {
		return func() float64 {
			server := l.server.Load()
			if server == nil {
				return 0
			}
			return float64(pick(server.HeldBytes()))
		}
	}
	metrics.GetOrCreateGauge("baobabstack_gateway_request_bytes", held(func(now, _, _ int) int { return now }))
	metrics.GetOrCreateGauge("baobabstack_gateway_request_peak_bytes", held(func(_, peak, _ int) int { return peak }))
	metrics.GetOrCreateGauge("baobabstack_gateway_requests_given_up_for_memory", held(func(_, _, givenUp int) int { return givenUp }))
}

// Bounds returns the bounds of a gateway on a VM with the given MB, 0 if that is not known.
func Bounds(vmMB int) routing.Bounds {
	return routing.Bounds{
		HeadBytes: httpserver.MaxHeadBytes, BodyBytes: defaultMaxBodyBytes, RequestBytes: requestMemoryBytes(vmMB),
		RequestTimeout: httpserver.DefaultRequestTimeout, IdleTimeout: callerIdleTimeout,
	}
}

// requestMemoryBytes returns the memory for requests on a VM with the given MB.
func requestMemoryBytes(vmMB int) int { return int(bodyMemoryShare * float64(vmMB) * (1 << 20)) }

// fleetSize returns the number of gateways that share the fleet's budgets.
func (o *Options) fleetSize(now time.Time) fleet.Size {
	return o.Members.Size(o.Settings.Budgets.RetryWindow.Duration, now)
}

// setStoreReachable records in the member table whether the store answers this gateway.
func (o *Options) setStoreReachable(reachable bool, now time.Time) {
	if reachable {
		o.Members.ClearStoreUnreachable()
	} else {
		o.Members.MarkStoreUnreachable(o.Settings.Entry.ID, now)
	}
}

// gossipSeeds returns the gossip addresses of the seeds, with this gateway's own gossip
// port, because all gateways use the same one.
func (o *Options) gossipSeeds() []string {
	own, err := netip.ParseAddrPort(o.Settings.Listen.Gossip)
	if err != nil {
		return nil // can't happen: the address was validated with the settings
	}
	var out []string
	for _, seed := range *o.seeds.Load() {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(int(own.Port()))))
		}
	}
	return out
}

// callersListener serves callers' requests.
type callersListener struct {
	options httpserver.Options
	server  atomic.Pointer[httpserver.Server]
}

// Serve serves requests until the context ends. It returns an error if it can't listen
// on the address.
func (l *callersListener) Serve(ctx context.Context) error {
	server, err := httpserver.Start(l.options)
	if err != nil {
		return err
	}
	l.server.Store(server)
	<-ctx.Done()
	l.server.Store(nil)
	server.Stop()
	return ctx.Err()
}

// reloader applies changed settings. Only the seeds can change while a gateway runs.
type reloader struct {
	options  *Options
	requests <-chan struct{}
	log      logs.Logger
}

const (
	// reloadInterval is the interval at which the settings file is read again, since it
	// may change without a signal.
	reloadInterval = 5 * time.Second
	// reloadIntervalWithoutSeeds is the interval while the settings name no seeds.
	reloadIntervalWithoutSeeds = 100 * time.Millisecond
)

// Serve reads the settings at intervals and on request, until the context ends.
func (r *reloader) Serve(ctx context.Context) error {
	for {
		pause := reloadInterval
		if len(*r.options.seeds.Load()) == 0 {
			pause = reloadIntervalWithoutSeeds
		}
		select {
		case <-r.requests:
			r.log.Infof("reload requested")
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	s, errs := r.options.Reload()
	for _, err := range errs {
		r.log.Warnf("settings rejected, keeping the current ones: %v", err)
	}
	if s != nil && !slices.Equal(s.Fleet.Seeds, *r.options.seeds.Load()) {
		r.log.With("seeds", s.Fleet.Seeds).Infof("seeds changed")
		r.options.seeds.Store(&s.Fleet.Seeds)
	}
}

// ready answers 200 while the gateway accepts callers' connections, has a configuration
// and is not stopping, else 503.
func (s *stopper) ready(w http.ResponseWriter, _ *http.Request) {
	if _, stopping := s.stop.since(time.Now()); stopping || s.callers.server.Load() == nil || s.current.get() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
