package discovery

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// Server is a backend server as the store lists it.
type Server struct {
	// ID identifies one run of a server; StartedMs tells apart two with the same id.
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	// Zone is the server's data centre.
	Zone string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving says that the server gets no new work.
	Leaving bool
	// Warmup is the warm-up time that was left when the record was written. A server is
	// slow while it warms up after its start.
	Warmup time.Duration
	// StartedMs is when the server started, in Unix milliseconds.
	StartedMs int64
	// Sequence rises with each record that one run of a server writes.
	Sequence int
}

// writtenAfter reports whether a record of a server is newer than another with the same id.
func (s Server) writtenAfter(other Server) bool {
	switch {
	case s.StartedMs != other.StartedMs:
		return s.StartedMs > other.StartedMs
	case s.Sequence != other.Sequence:
		return s.Sequence > other.Sequence
	default:
		return s.Leaving && !other.Leaving // a server that leaves goes on leaving
	}
}

// Item is a key of the store with its value, or its deletion.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the key's last change.
	Revision Revision
	// Deleted says that the key was deleted.
	Deleted bool
}

// Batch is an update from a source.
type Batch struct {
	// Full says that Items holds all keys, rather than changes.
	Full  bool
	Items []Item
	// Revision is the store's revision that the receiver reaches by applying the batch. Its
	// number is 0 if the batch changes nothing; its era always holds.
	Revision Revision
	// RetainsUnlisted says that the source may hold items that the store no longer lists, or
	// withhold some that it lists.
	RetainsUnlisted bool
	// Age is how long ago the store confirmed that there is nothing newer.
	Age time.Duration
}

// Decoder decodes the values of the store.
type Decoder interface {
	// Table decodes the configuration; ok is false if the item is something else.
	Table(item Item) (table *routing.Table, ok bool, err error)
	// Server decodes a server's record; ok is false if the item is something else.
	Server(item Item) (server Server, ok bool, err error)
	// Evacuation decodes a request that the servers of a data centre get nothing, which
	// holds until the item is deleted; ok is false if the item is something else.
	Evacuation(item Item) (dataCentre string, ok bool, err error)
}

// recoveryGrace is how long a missing server is kept after the store recovers. The
// platform promises that records which expired meanwhile are back within two seconds.
const recoveryGrace = 2 * time.Second

// rewriteGrace is how long what the store lacks, or has in an older form, is kept after the store
// has come back from a copy, so that it can be written again. It is longer than the three
// heartbeats after which the store removes the record of a silent server.
const rewriteGrace = 10 * time.Second

// removalMemory is how long a removed server or evacuation is remembered at least. It is longer
// than the age of a copy that the store may come back from.
const removalMemory = time.Minute

// removalPropagation is how long RetainsUnlisted stays true after the last missing item was
// removed or withheld one taken over. It is longer than that takes to reach the followers.
const removalPropagation = time.Second

// State is a gateway's copy of the store. It is not safe for concurrent use.
type State struct {
	decoder Decoder
	log     logs.Logger
	items   map[string]Item
	servers map[string]Server
	// evacuations holds the data centres to evacuate by the keys of the requests.
	evacuations  map[string]string
	table        *routing.Table
	tableKey     string // of the item that table was decoded from
	listReceived bool   // a full batch was applied
	revision     Revision
	// graceUntil is recoveryGrace after the latest recovery of the store, and rewriteUntil is
	// rewriteGrace after its latest return from a copy. missing holds the keys that the store
	// doesn't have and that are kept, with the time until when.
	graceUntil, rewriteUntil time.Time
	missing                  map[string]time.Time
	// removed holds the servers and evacuations that were removed within removalMemory; it was
	// cleared of older ones at removedClearedAt.
	removed          map[string]removal
	removedClearedAt time.Time
	// withheld holds what the store listed at the start of an era and the state has not taken
	// over until rewriteUntil, because something newer was known.
	withheld map[string]Item
	// removalsSettledAt is removalPropagation after missing items were last removed, or
	// withheld ones taken over.
	removalsSettledAt time.Time
	// sourceRetains is RetainsUnlisted of the last batch.
	sourceRetains bool
}

// removal is the removal of a server or an evacuation.
type removal struct {
	time time.Time
	// at is the revision of the removal, last that of the item before.
	at, last Revision
	// server is the last record, if it was a server.
	server Server
}

// NewState returns an empty state.
func NewState(d Decoder) *State {
	return &State{
		decoder: d, log: logs.For("discovery"),
		items: make(map[string]Item), servers: make(map[string]Server), evacuations: make(map[string]string), missing: make(map[string]time.Time),
		removed: make(map[string]removal), withheld: make(map[string]Item),
	}
}

// StoreRecovered starts recoveryGrace; it is called when the store answers again after
// an outage.
func (s *State) StoreRecovered(now time.Time) { s.graceUntil = now.Add(recoveryGrace) }

// checkEra returns an error if a batch doesn't fit the state's era: it is of an older one, or holds
// changes since a newer one began, which the state has not listed.
func (s *State) checkEra(b Batch) error {
	switch known := s.revision.Era; {
	case b.Revision.Era < known:
		return errors.Errorf("its data are of era %d, and era %d is known (0: none is told)", b.Revision.Era, known)
	case b.Revision.Era > known && !b.Full:
		return errors.Errorf("it sent changes of era %d before all items of that era, and era %d is known", b.Revision.Era, known)
	default:
		return nil
	}
}

// Apply applies a batch and returns the changes to pass on to followers. It ignores a batch that
// doesn't fit the state's era, and a full batch that is older than the state.
func (s *State) Apply(b Batch, now time.Time) []Item {
	if err := s.checkEra(b); err != nil {
		s.log.With("revision", s.revision).With("batch", b.Revision).Warnf("ignored a batch: %v", err)
		return nil
	}
	if b.Full && b.Revision.Before(s.revision) {
		s.log.With("revision", s.revision).With("batch", b.Revision).Infof("ignored a full batch older than the state")
		return nil
	}
	newEra := s.revision.Era > 0 && s.revision.Era < b.Revision.Era
	if newEra {
		s.log.With("known", s.revision).With("revision", b.Revision).Warnf("new era: the store has come back from a copy")
		s.graceUntil, s.rewriteUntil = now.Add(recoveryGrace), now.Add(rewriteGrace)
		clear(s.withheld)
	}
	var changed []Item
	for _, item := range b.Items {
		if b.Full && s.withholds(item, b, newEra) {
			continue
		}
		if s.applyItem(item, now) {
			changed = append(changed, item)
		}
	}
	if b.Full {
		changed = append(changed, s.removeAbsent(b, now)...)
		if !s.listReceived {
			s.log.With("servers", len(s.servers)).With("revision", b.Revision).Infof("servers listed")
		}
		s.listReceived = true
	}
	s.revision = latest(s.revision, b.Revision)
	s.sourceRetains = b.RetainsUnlisted
	return changed
}

// withholds reports whether an item of a full batch is not taken over for now. That is so for an item
// of the batch that begins an era, if something newer is known from before, and for the same item
// in later batches.
func (s *State) withholds(item Item, b Batch, newEra bool) bool {
	if held, ok := s.withheld[item.Key]; ok {
		return held.Revision == item.Revision
	}
	if !newEra || item.Revision.Era < b.Revision.Era || !s.predates(item) {
		return false
	}
	s.withheld[item.Key] = item
	s.log.With("key", item.Key).With("revision", item.Revision).Infof("the store's copy is older than what is known, which holds until %s after the store's return", rewriteGrace)
	return true
}

// predates reports whether an item of a copy is older than what is known of its key, or than its
// removal. Servers number their records. The value of an evacuation is always the same, so it is
// the one that was removed if the copy has it at the same or a lower number.
func (s *State) predates(item Item) bool {
	known, listed := s.items[item.Key]
	gone, removed := s.removed[item.Key]
	if listed && bytes.Equal(known.Value, item.Value) || !listed && !removed {
		return false
	}
	server, isServer, err := s.decoder.Server(item)
	switch {
	case isServer && listed:
		return err == nil && s.servers[item.Key].writtenAfter(server)
	case isServer:
		return err == nil && !server.writtenAfter(gone.server)
	default:
		return removed && item.Revision.Number <= gone.last.Number
	}
}

// removeAbsent removes the keys that a full batch does not hold, but for those that are kept.
func (s *State) removeAbsent(b Batch, now time.Time) []Item {
	present := make(map[string]Revision, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = item.Revision
	}
	maps.DeleteFunc(s.withheld, func(key string, held Item) bool {
		return present[key].Before(held.Revision) // what a source keeps is older, so the store has lost it
	})
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := present[key]; ok {
			continue
		}
		gone := Item{Key: key, Revision: b.Revision, Deleted: true}
		if s.items[key].Revision.Before(b.Revision) && s.remove(gone, true, now) {
			changed = append(changed, gone)
		}
	}
	return changed
}

// applyItem applies one item and reports whether it changed anything.
func (s *State) applyItem(item Item, now time.Time) bool {
	old, known := s.items[item.Key]
	switch {
	case known && !old.Revision.Before(item.Revision),
		item.Revision.Before(s.removed[item.Key].at),
		item.Revision.Before(s.withheld[item.Key].Revision):
		return false
	}
	delete(s.withheld, item.Key)
	if item.Deleted {
		return known && s.remove(item, false, now)
	}
	delete(s.removed, item.Key)
	if known && bytes.Equal(old.Value, item.Value) {
		delete(s.missing, item.Key)
		s.items[item.Key] = item
		return true
	}
	if table, ok, err := s.decoder.Table(item); ok {
		return s.applyTable(item, table, err)
	}
	delete(s.missing, item.Key)
	s.items[item.Key] = item
	if dataCentre, ok, err := s.decoder.Evacuation(item); ok {
		s.applyEvacuation(item, dataCentre, err)
		return true
	}
	server, ok, err := s.decoder.Server(item)
	switch {
	case err != nil:
		s.log.With("key", item.Key).Warnf("invalid server record, server not used: %v", err)
		delete(s.servers, item.Key)
	case ok:
		s.applyServer(item.Key, server)
	}
	return true
}

// applyTable puts a configuration in force unless it is invalid or not newer, and reports whether
// it took the item over. The item of the configuration in force stays, for followers that start.
func (s *State) applyTable(item Item, table *routing.Table, err error) bool {
	switch {
	case err != nil:
		s.log.Errorf("configuration refused, the previous one stays in force: %v", err)
		return false
	case s.table != nil && table.Version < s.table.Version:
		s.log.With("version", table.Version).With("in_force", s.table.Version).With("revision", item.Revision).Warnf("ignored a configuration that is not newer")
		return false
	case s.table != nil && table.Version == s.table.Version:
		s.log.With("version", table.Version).With("revision", item.Revision).Infof("configuration written again")
	default:
		s.log.With("version", table.Version).With("routes", table.Routes()).With("revision", item.Revision).Infof("configuration in force")
		s.table = table
	}
	delete(s.missing, item.Key)
	s.items[item.Key], s.tableKey = item, item.Key
	return true
}

func (s *State) applyEvacuation(item Item, dataCentre string, err error) {
	if err != nil {
		s.log.With("key", item.Key).Errorf("invalid request to evacuate a data centre, ignored: %v", err)
		return
	}
	if _, known := s.evacuations[item.Key]; !known {
		s.log.With("data_centre", dataCentre).With("revision", item.Revision).Infof("evacuation begins: the servers of the data centre get nothing")
	}
	s.evacuations[item.Key] = dataCentre
}

func (s *State) applyServer(key string, server Server) {
	old, known := s.servers[key]
	s.servers[key] = server
	if known && old.Leaving == server.Leaving && old.StartedMs == server.StartedMs {
		return
	}
	line := s.log.With("server", server.ID).With("service", server.Service).With("leaving", server.Leaving)
	if s.listReceived {
		line.Infof("server listed")
	} else {
		line.Debugf("server listed") // Apply logs the first list in one line, as it may be long
	}
}

// keepUntil returns until when an item is kept that was deleted, or that a listing lacks; the
// zero time if it goes at once. Servers that are not leaving are kept during recoveryGrace: their
// records may only have expired in the outage. In a new era, an evacuation and the configuration
// are kept during rewriteGrace if the store lacks them: it may have lost them.
func (s *State) keepUntil(gone Item, unlisted bool) time.Time {
	server, isServer := s.servers[gone.Key]
	_, evacuates := s.evacuations[gone.Key]
	switch {
	case isServer && !server.Leaving:
		return s.graceUntil
	case unlisted && s.items[gone.Key].Revision.Era < gone.Revision.Era && (evacuates || gone.Key == s.tableKey):
		return s.rewriteUntil
	default:
		return time.Time{}
	}
}

// remove removes an item that was deleted, or that a listing lacks, and reports whether it did. It
// keeps the item for a time if keepUntil says so.
func (s *State) remove(gone Item, unlisted bool, now time.Time) bool {
	server, isServer := s.servers[gone.Key]
	if until := s.keepUntil(gone, unlisted); now.Before(until) {
		s.missing[gone.Key] = until
		if isServer {
			s.log.With("server", server.ID).Infof("server missing after an outage, kept until %s after the store's recovery", recoveryGrace)
		} else {
			s.log.With("key", gone.Key).With("revision", gone.Revision).Infof("missing from the store's copy, kept until %s after the store's return", rewriteGrace)
		}
		return false
	}
	dataCentre, evacuates := s.evacuations[gone.Key]
	if isServer || evacuates {
		s.removed[gone.Key] = removal{time: now, at: gone.Revision, last: s.items[gone.Key].Revision, server: server}
	}
	delete(s.items, gone.Key)
	delete(s.servers, gone.Key)
	delete(s.missing, gone.Key)
	if evacuates {
		delete(s.evacuations, gone.Key)
		s.log.With("data_centre", dataCentre).With("revision", gone.Revision).Infof("evacuation ends: the servers of the data centre get requests again")
	}
	if isServer {
		s.log.With("server", server.ID).With("service", server.Service).With("revision", gone.Revision).Infof("server gone")
	}
	return true
}

// Expire removes the items that are still missing at the end of their time, takes over what is
// withheld at the end of rewriteGrace, and returns the changes to pass on to followers.
func (s *State) Expire(now time.Time) []Item {
	if now.Sub(s.removedClearedAt) > removalMemory {
		maps.DeleteFunc(s.removed, func(_ string, r removal) bool { return now.Sub(r.time) > removalMemory })
		s.removedClearedAt = now
	}
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(s.missing)) {
		if now.Before(s.missing[key]) {
			continue
		}
		gone := Item{Key: key, Revision: s.afterItem(key), Deleted: true}
		if s.remove(gone, true, now) {
			changed = append(changed, gone)
		}
	}
	if !now.Before(s.rewriteUntil) {
		for _, key := range slices.Sorted(maps.Keys(s.withheld)) {
			item := s.withheld[key]
			delete(s.withheld, key)
			item.Revision = latest(item.Revision, s.revision) // followers may have removed it since
			s.log.With("key", key).With("revision", item.Revision).Infof("the store's item holds: it was not written again")
			if s.applyItem(item, now) {
				changed = append(changed, item)
			}
		}
	}
	if len(changed) > 0 {
		s.removalsSettledAt = now.Add(removalPropagation)
	}
	return changed
}

// afterItem returns the state's revision, or a later one if that of the item is not older.
func (s *State) afterItem(key string) Revision {
	next := s.items[key].Revision
	next.Number++
	return latest(s.revision, next)
}

// RetainsUnlisted reports whether the state, or the state of a gateway that follows this
// one, may hold items that the store no longer listed at the state's revision, or withholds
// some that it listed. A watch from that revision would not report these.
func (s *State) RetainsUnlisted(now time.Time) bool {
	return len(s.missing)+len(s.withheld) > 0 || s.sourceRetains || now.Before(s.removalsSettledAt)
}

// Full returns the state as a full batch, for a new follower.
func (s *State) Full() Batch {
	return Batch{Full: true, Items: slices.Collect(maps.Values(s.items)), Revision: s.revision}
}

// Known reports whether both the configuration and the servers are known.
func (s *State) Known() bool { return s.table != nil && s.listReceived }

// Table returns the configuration in force, or nil.
func (s *State) Table() *routing.Table { return s.table }

// Revision returns the store's revision up to which the state is current.
func (s *State) Revision() Revision { return s.revision }

// Evacuated returns the data centres whose servers are to get nothing.
func (s *State) Evacuated() map[string]bool {
	out := make(map[string]bool, len(s.evacuations))
	for _, dataCentre := range s.evacuations {
		out[dataCentre] = true
	}
	return out
}

// Servers returns the servers in no particular order.
func (s *State) Servers() []Server {
	out := make([]Server, 0, len(s.servers))
	for _, server := range s.servers {
		out = append(out, server)
	}
	return out
}
