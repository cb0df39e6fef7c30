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

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/tree"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// Options configures a gateway.
type Options struct {
	// Settings is the checked settings file.
	Settings *settings.Gateway
	// Reload reads the settings again.
	Reload func() (*settings.Gateway, []error)
	// Dialect names the headers.
	Dialect *upstream.Dialect
	// Store reads the platform's store, Decoder gives its items their meaning.
	Store   discovery.Store
	Decoder discovery.Decoder
	// Members is the table of gateways; Run sets it.
	Members *fleet.Members
	// MaxBodyBytes bounds bodies. Default 64 MiB.
	MaxBodyBytes int

	started time.Time
	seeds   atomic.Pointer[[]string]
}

const (
	// defaultMaxBodyBytes bounds bodies if the configuration allows larger ones or
	// is not known yet.
	defaultMaxBodyBytes = 64 << 20
	// bodyShare of the VM's memory may hold bodies; the rest is for connections
	// and the garbage collector.
	bodyShare = 0.35
	// callerIdleTimeout bounds the time between two requests of a caller if the
	// configuration allows more or is not known yet.
	callerIdleTimeout = 2 * time.Minute
	// knownFleetAfter is how long after the start the number of members is taken
	// as it is; until then the fleet is taken for at least defaultFleet.
	knownFleetAfter = 5 * time.Second
	defaultFleet    = 16
)

// minFleet returns the least number of gateways to share budgets with.
func (o *Options) minFleet() int {
	if time.Since(o.started) < knownFleetAfter {
		return defaultFleet
	}
	return 1
}

// Run runs a gateway until the context ends, then stops it gracefully. Reload
// requests come on the channel.
func Run(ctx context.Context, o *Options, reload <-chan struct{}) error {
	log := logs.For("gateway")
	o.started = time.Now()
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	s := o.Settings
	o.seeds.Store(&s.Fleet.Seeds)
	o.Members = fleet.NewMembers(&fleetwire.Member{
		Id: s.Entry.ID, Address: s.Listen.Fleet, GossipAddress: s.Listen.Gossip, Zone: s.Entry.DataCentre,
		Capacity:    uint32(s.VM.LinkMbps),        //nolint:gosec // checked when the settings were read
		Incarnation: uint64(o.started.UnixNano()), //nolint:gosec // after 1970
	})
	h := newHandler(o, newCounters())
	reg := newRegistry(o)
	follower := discovery.NewFollower(discovery.Options{
		Decoder: o.Decoder, Store: o.Store,
		Peers:   func(now time.Time) discovery.Peers { return fleet.Sources(o.Members, *o.seeds.Load(), now) },
		Contact: o.contact,
		Publish: func(v discovery.View) {
			if h.current.set(reg.build(v, time.Now())) {
				log.With("after", time.Since(o.started).Round(time.Millisecond)).Infof("ready: configuration and servers are known")
			}
		},
	})
	front := &frontService{options: httpserver.Options{
		Name: "callers", Address: s.Listen.Callers, Handler: h, MaxBodyBytes: o.MaxBodyBytes,
		MemoryBytes: int(bodyShare * float64(s.VM.MemoryMB) * (1 << 20)), IdleTimeout: callerIdleTimeout, Limits: h.limits,
	}}
	stop := &stopper{settings: s.Stop, handler: h, front: front, members: o.Members, log: log}

	root := tree.New("gateway", log)
	for _, child := range []suture.Service{
		follower, front,
		fleet.NewService(s.Listen.Fleet, o.Members, follower),
		fleet.NewGossip(o.Members, s.Listen.Gossip, o.gossipSeeds),
		small{name: "ready", address: s.Listen.Ready, path: s.Listen.ReadyPath, handle: stop.ready},
		small{name: "metrics", address: s.Listen.Metrics, path: s.Listen.MetricsPath, handle: writeMetrics},
		&reloader{options: o, requests: reload, log: log},
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

// contact tells the fleet whether the store answers this gateway.
func (o *Options) contact(answers bool, now time.Time) {
	if answers {
		o.Members.Found()
	} else {
		o.Members.Lost(o.Settings.Entry.ID, now)
	}
}

// gossipSeeds returns the seeds' gossip addresses: all gateways gossip on the
// same port.
func (o *Options) gossipSeeds() []string {
	own, err := netip.ParseAddrPort(o.Settings.Listen.Gossip)
	if err != nil {
		return nil // checked when the settings were read
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

// frontService runs the callers' listener.
type frontService struct {
	options httpserver.Options
	server  atomic.Pointer[httpserver.Server]
}

// Serve listens until the context ends.
func (f *frontService) Serve(ctx context.Context) error {
	server, err := httpserver.Start(f.options)
	if err != nil {
		return err
	}
	f.server.Store(server)
	<-ctx.Done()
	server.Stop()
	return ctx.Err()
}

// reloader takes changed settings. Only the seeds can change while a gateway
// runs.
type reloader struct {
	options  *Options
	requests <-chan struct{}
	log      logs.Logger
}

const (
	// reloadEvery is the pause between two looks at the settings file, which may
	// change without a signal.
	reloadEvery = 5 * time.Second
	// reloadUnseeded is the pause while the settings name no seeds.
	reloadUnseeded = 100 * time.Millisecond
)

// Serve reads the settings at intervals and on request.
func (r *reloader) Serve(ctx context.Context) error {
	for {
		pause := reloadEvery
		if len(*r.options.seeds.Load()) == 0 {
			pause = reloadUnseeded
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
	s, faults := r.options.Reload()
	for _, f := range faults {
		r.log.Warnf("settings refused, the last good ones stay: %v", f)
	}
	if s != nil && !slices.Equal(s.Fleet.Seeds, *r.options.seeds.Load()) {
		r.log.With("seeds", s.Fleet.Seeds).Infof("seeds changed")
		r.options.seeds.Store(&s.Fleet.Seeds)
	}
}

func (s *stopper) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.handler.current.get() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
