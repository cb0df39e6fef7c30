// Package control owns all control state of an entry in one goroutine. It takes
// typed events and publishes immutable snapshots.
package control

import (
	"context"
	"sync/atomic"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Event is something that changes control state.
type Event interface{ apply(*Control) }

// ListArrived says that a list came from the configuration service or a peer.
type ListArrived struct {
	// Name and Version identify the list.
	Name    lists.Name
	Version uint64
	// Body is the list's text.
	Body []byte
	// Source says where it came from, for the log.
	Source string
}

// StopRequested says that the entry takes no new calls from now on.
type StopRequested struct{}

const queueLength = 256

// Control is the control goroutine's state.
type Control struct {
	self     string
	events   chan Event
	dropped  atomic.Uint64
	holder   *view.Holder
	registry *servers.Registry
	log      logs.Logger

	inForce    map[lists.Name]view.List
	refused    map[lists.Name]uint64
	plans      *lists.Plans
	allowances *lists.Allowances
	servers    *lists.Servers
	vms        *lists.VMs
	leaving    bool
	// awaitShares is true until the shares of the allowances can be used.
	awaitShares bool
}

// New returns a control for the entry with the given peer address.
func New(self string, holder *view.Holder, registry *servers.Registry) *Control {
	return &Control{
		self: self, holder: holder, registry: registry, log: logs.For("control"),
		events:  make(chan Event, queueLength),
		inForce: make(map[lists.Name]view.List),
		refused: make(map[lists.Name]uint64),
	}
}

// Send queues an event without blocking. A full queue drops and counts it.
func (c *Control) Send(e Event) bool {
	select {
	case c.events <- e:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of events dropped so far.
func (c *Control) Dropped() uint64 { return c.dropped.Load() }

// Serve runs the control goroutine until the context ends.
func (c *Control) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			e.apply(c)
		}
	}
}

func (StopRequested) apply(c *Control) {
	c.leaving = true
	c.log.Infof("stop taking new calls")
	c.publish()
}

func (e ListArrived) apply(c *Control) {
	if e.Version <= c.inForce[e.Name].Version || e.Version <= c.refused[e.Name] {
		return
	}
	if faults := c.accept(e); len(faults) > 0 {
		c.refused[e.Name] = e.Version
		for _, f := range faults {
			c.log.Errorf("refused %s version %d from %s: %v", e.Name, e.Version, e.Source, f)
		}
		return
	}
	c.inForce[e.Name] = view.List{Version: e.Version, Body: e.Body}
	c.log.Infof("%s version %d from %s is in force", e.Name, e.Version, e.Source)
	c.publish()
}

// accept parses a list and keeps it if it has no fault.
func (c *Control) accept(e ListArrived) []error {
	file := string(e.Name)
	var faults []error
	switch e.Name {
	case lists.PlansName:
		var list *lists.Plans
		if list, faults = lists.ParsePlans(file, e.Body); len(faults) == 0 {
			c.plans = list
		}
	case lists.AllowancesName:
		var list *lists.Allowances
		if list, faults = lists.ParseAllowances(file, e.Body); len(faults) == 0 {
			c.allowances = list
		}
	case lists.ServersName:
		var list *lists.Servers
		if list, faults = lists.ParseServers(file, e.Body); len(faults) == 0 {
			c.servers = list
		}
	case lists.VMsName:
		var list *lists.VMs
		if list, faults = lists.ParseVMs(file, e.Body); len(faults) == 0 {
			c.vms = list
		}
	}
	return faults
}

func (c *Control) publish() {
	s := &view.Snapshot{Plans: c.plans, Allowances: c.allowances, Leaving: c.leaving, Lists: make(map[lists.Name]view.List)}
	for name, list := range c.inForce {
		s.Lists[name] = list
	}
	if c.servers != nil && c.allowances != nil {
		s.Services = c.registry.Apply(c.servers, c.allowances)
	}
	if c.vms != nil {
		s.Peers = c.peers()
	}
	s.Ready = !c.leaving && !c.awaitShares && c.plans != nil && s.Services != nil && c.vms != nil
	c.holder.Store(s)
}

func (c *Control) peers() []lists.VM {
	var peers []lists.VM
	for _, vm := range c.vms.VMs {
		if vm.Address != c.self {
			peers = append(peers, vm)
		}
	}
	return peers
}
