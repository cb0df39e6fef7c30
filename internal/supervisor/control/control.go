// Package control owns all control state of an entry in one goroutine. It takes
// typed events and publishes immutable snapshots.
package control

import (
	"context"
	"sync/atomic"

	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/policy/adopt"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Event is something that changes control state.
type Event interface{ apply(*Control) }

// StopRequested says that the entry takes no new calls from now on.
type StopRequested struct{}

// PeersAsked says that a new entry has asked its peers for newer lists, or that
// the time for it is over. From then on lists of the configuration service apply.
type PeersAsked struct {
	// Answered is the number of peers that answered with lists.
	Answered int
}

const queueLength = 256

// Control is the control goroutine's state.
type Control struct {
	self     string
	events   chan Event
	dropped  atomic.Uint64
	holder   *view.Holder
	registry *servers.Registry
	journal  *journal.Journal
	log      logs.Logger

	operators adopt.OperatorLists
	platform  platform
	seen      map[lists.Name]uint64
	invalid   map[lists.Name]view.Refusal
	reported  map[lists.Name]view.Refusal
	source    map[lists.Name]uint64
	early     map[lists.Name]ListArrived
	asked     bool
	leaving   bool
	// awaitShares is true until the shares of the allowances can be used.
	awaitShares bool
}

// New returns a control for the entry with the given peer address.
func New(self string, holder *view.Holder, registry *servers.Registry, j *journal.Journal) *Control {
	return &Control{
		self: self, holder: holder, registry: registry, journal: j, log: logs.For("control"),
		events:   make(chan Event, queueLength),
		platform: newPlatform(),
		seen:     make(map[lists.Name]uint64),
		invalid:  make(map[lists.Name]view.Refusal),
		reported: make(map[lists.Name]view.Refusal),
		source:   make(map[lists.Name]uint64),
		early:    make(map[lists.Name]ListArrived),
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

func (e PeersAsked) apply(c *Control) {
	if c.asked {
		return
	}
	c.asked = true
	c.log.Infof("%d peers answered with lists", e.Answered)
	early := c.early
	c.early = nil
	for _, name := range lists.Names() {
		if list, held := early[name]; held {
			list.apply(c)
		}
	}
	c.publish()
}
