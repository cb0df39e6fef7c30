package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// Server is a backend server as the store lists it.
type Server struct {
	// ID names one incarnation of a server; StartedMs distinguishes two with the same
	// id.
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	// Zone is the server's data centre.
	Zone string
	// Version is that of the server's software.
	Version string
	Slots   int
	// Leaving says that the server gets no new work.
	Leaving bool
	// Warmup is how much longer the server is slow after its start, as of when
	// the entry was written.
	Warmup time.Duration
	// StartedMs is when the server started, in Unix milliseconds.
	StartedMs int64
}

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change.
	Revision uint64
	// Deleted says that the key is gone.
	Deleted bool
}

// Batch is news from a source.
type Batch struct {
	// Full says that Items is all there is.
	Full  bool
	Items []Item
	// Revision is that of the store which the batch brings the receiver to.
	Revision uint64
	// RetainsUnlisted says that the source retains servers that the store no longer
	// lists.
	RetainsUnlisted bool
	// Age is how long ago the store confirmed that there is nothing newer.
	Age time.Duration
}

// Decoder gives items their meaning.
type Decoder interface {
	// Table decodes the configuration; ok is false for another key.
	Table(item Item) (table *routing.Table, ok bool, err error)
	// Server decodes a server's entry; ok is false for another key.
	Server(item Item) (server Server, ok bool, err error)
}

// recoveryGrace is how long a missing server is kept after the store recovers. The
// platform promises that entries which expired meanwhile are back within two seconds.
const recoveryGrace = 2 * time.Second

// removalPropagation is how long RetainsUnlisted stays true after the last missing
// server was removed. It is longer than the removal takes to reach the followers.
const removalPropagation = time.Second

// State is what is believed. It is used by one goroutine.
type State struct {
	decoder  Decoder
	log      logs.Logger
	items    map[string]Item
	servers  map[string]Server
	table    *routing.Table
	listed   bool
	revision uint64
	// graceUntil is when servers that are missing after an outage are given up.
	graceUntil time.Time
	missing    map[string]struct{}
	// removalsSettledAt is removalPropagation past the moment at which a missing server
	// was last removed. sourceRetains is RetainsUnlisted of the last batch.
	removalsSettledAt time.Time
	sourceRetains     bool
}

// NewState returns a state that knows nothing.
func NewState(d Decoder) *State {
	return &State{
		decoder: d, log: logs.For("discovery"),
		items: make(map[string]Item), servers: make(map[string]Server), missing: make(map[string]struct{}),
	}
}

// StoreRecovered starts recoveryGrace: the store answers again after an outage.
func (s *State) StoreRecovered(now time.Time) { s.graceUntil = now.Add(recoveryGrace) }

// Apply takes a batch and returns what it changed, for those who follow this
// state.
func (s *State) Apply(b Batch, now time.Time) []Item {
	if b.Full && b.Revision < s.revision {
		s.log.With("revision", s.revision).With("batch", b.Revision).Infof("ignore an older snapshot")
		return nil
	}
	var changed []Item
	for _, item := range b.Items {
		if s.applyItem(item, now) {
			changed = append(changed, item)
		}
	}
	if b.Full {
		changed = append(changed, s.removeAbsent(b, now)...)
		if !s.listed {
			s.log.With("servers", len(s.servers)).With("revision", b.Revision).Infof("servers listed")
		}
		s.listed = true
	}
	s.revision = max(s.revision, b.Revision)
	s.sourceRetains = b.RetainsUnlisted
	return changed
}

func (s *State) removeAbsent(b Batch, now time.Time) []Item {
	present := make(map[string]struct{}, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = struct{}{}
	}
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := present[key]; ok {
			continue
		}
		gone := Item{Key: key, Revision: b.Revision, Deleted: true}
		if s.applyItem(gone, now) {
			changed = append(changed, gone)
		}
	}
	return changed
}

// applyItem applies one item and reports whether it changed anything.
func (s *State) applyItem(item Item, now time.Time) bool {
	old, known := s.items[item.Key]
	if known && old.Revision >= item.Revision {
		return false
	}
	if item.Deleted {
		return known && s.remove(item, now)
	}
	delete(s.missing, item.Key)
	s.items[item.Key] = item
	if table, ok, err := s.decoder.Table(item); ok {
		s.applyTable(table, err)
		return true
	}
	server, ok, err := s.decoder.Server(item)
	switch {
	case err != nil:
		s.log.With("key", item.Key).Warnf("entry of a server is not usable: %v", err)
		delete(s.servers, item.Key)
	case ok:
		s.applyServer(item.Key, server)
	}
	return true
}

func (s *State) applyTable(table *routing.Table, err error) {
	switch {
	case err != nil:
		s.log.Errorf("configuration refused, the last good one stays in force: %v", err)
	case s.table != nil && table.Version <= s.table.Version:
		s.log.With("version", table.Version).With("in_force", s.table.Version).Warnf("ignore a configuration that is not newer")
	default:
		s.log.With("version", table.Version).With("routes", table.Routes()).Infof("configuration in force")
		s.table = table
	}
}

func (s *State) applyServer(key string, server Server) {
	old, known := s.servers[key]
	s.servers[key] = server
	if known && old.Leaving == server.Leaving && old.StartedMs == server.StartedMs {
		return
	}
	line := s.log.With("server", server.ID).With("service", server.Service).With("leaving", server.Leaving)
	if s.listed {
		line.Infof("server listed")
	} else {
		line.Debugf("server listed") // the first list is told in one line, however long it is
	}
}

// remove drops an item, unless it is a server that may only have lapsed during
// an outage.
func (s *State) remove(item Item, now time.Time) bool {
	server, isServer := s.servers[item.Key]
	if isServer && !server.Leaving && now.Before(s.graceUntil) {
		s.missing[item.Key] = struct{}{}
		s.log.With("server", server.ID).Infof("server missing after an outage, kept until %s after it", recoveryGrace)
		return false
	}
	delete(s.items, item.Key)
	delete(s.servers, item.Key)
	delete(s.missing, item.Key)
	if isServer {
		s.log.With("server", server.ID).With("service", server.Service).With("revision", item.Revision).Infof("server gone")
	}
	return true
}

// Expire gives up the servers that are still missing when the grace ends.
func (s *State) Expire(now time.Time) []Item {
	if len(s.missing) == 0 || now.Before(s.graceUntil) {
		return nil
	}
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(s.missing)) {
		gone := Item{Key: key, Revision: max(s.revision, s.items[key].Revision+1), Deleted: true}
		if s.remove(gone, now) {
			changed = append(changed, gone)
		}
	}
	s.removalsSettledAt = now.Add(removalPropagation)
	return changed
}

// RetainsUnlisted reports whether the state may hold servers that the store no longer
// listed at the state's revision.
func (s *State) RetainsUnlisted(now time.Time) bool {
	return len(s.missing) > 0 || s.sourceRetains || now.Before(s.removalsSettledAt)
}

// Full returns all that is believed, for a new follower.
func (s *State) Full() Batch {
	return Batch{Full: true, Items: slices.Collect(maps.Values(s.items)), Revision: s.revision}
}

// Known reports whether both the configuration and the servers are known.
func (s *State) Known() bool { return s.table != nil && s.listed }

// Table returns the configuration in force, or nil.
func (s *State) Table() *routing.Table { return s.table }

// Revision returns the store's revision that the state has reached.
func (s *State) Revision() uint64 { return s.revision }

// Servers returns the listed servers in no order.
func (s *State) Servers() []Server {
	out := make([]Server, 0, len(s.servers))
	for _, server := range s.servers {
		out = append(out, server)
	}
	return out
}
