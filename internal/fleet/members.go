// Package fleet lets gateways find each other from a few seeds and pass on what
// the platform's store says.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

const (
	// liveTimeout is how long a member counts as live without news of it: news of each
	// of 300 members reaches the others within 10 rounds, see
	// TestNewsReachesALargeFleet.
	liveTimeout = 10 * gossipInterval
	// gossipMembers and newsBeats keep a datagram within an Ethernet frame of 1,500
	// bytes: an entry has about 80, a hash and a beat 6.
	gossipMembers = 5
	gossipBeats   = 150
	// maxWanted keeps the entries that another gateway asks for within a frame.
	maxWanted = 15
	// forgetTimeout is when a silent member is dropped.
	forgetTimeout = 60 * time.Second
	// storeLostPeriod is how long a gateway that the store did not answer is passed over as
	// its reader.
	storeLostPeriod = 10 * time.Second
	// suspectPeriod is how long a member that failed is passed over as a source.
	suspectPeriod = 3 * time.Second
)

// Members is what this gateway knows of the others. It is safe for concurrent
// use.
type Members struct {
	mu   sync.Mutex
	self *fleetwire.Member
	// lostAt is when the store last failed to answer this gateway.
	lostAt time.Time
	known  map[string]*member
	// byHash holds the known members by their hashes.
	byHash map[uint32]*member
}

type member struct {
	wire      *fleetwire.Member
	hash      uint32
	heardAt   time.Time
	suspectAt time.Time
	lostAt    time.Time
}

// NewMembers returns a table that knows only this gateway.
func NewMembers(self *fleetwire.Member) *Members {
	return &Members{self: self, known: make(map[string]*member), byHash: make(map[uint32]*member)}
}

// Heartbeat returns this gateway's entry with a new beat.
func (m *Members) Heartbeat() *fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Beat++
	return m.selfEntryLocked()
}

func (m *Members) selfEntryLocked() *fleetwire.Member {
	s := m.self
	return &fleetwire.Member{Id: s.Id, Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation, Beat: s.Beat, Leaving: s.Leaving, GossipAddress: s.GossipAddress, Capacity: s.Capacity, Lost: s.Lost}
}

// Leave marks this gateway as leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
}

// Merge takes news of members.
func (m *Members) Merge(news []*fleetwire.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range news {
		if n.GetId() == m.self.Id {
			m.raiseIncarnation(n)
			continue
		}
		if n.GetId() == "" || n.GetAddress() == "" {
			continue
		}
		old, ok := m.known[n.Id]
		if ok && !newer(n, old.wire) {
			continue
		}
		fresh := &member{wire: n, hash: hash(n), heardAt: now}
		if ok && old.wire.Incarnation == n.Incarnation {
			fresh.suspectAt, fresh.lostAt = old.suspectAt, old.lostAt
		}
		if n.Lost {
			fresh.lostAt = now
		}
		if ok {
			delete(m.byHash, old.hash)
		}
		m.known[n.Id], m.byHash[fresh.hash] = fresh, fresh
	}
	for id, k := range m.known {
		if now.Sub(k.heardAt) > forgetTimeout {
			delete(m.known, id)
			delete(m.byHash, k.hash)
		}
	}
}

// raiseIncarnation takes a number above that of an earlier process of this gateway, if the
// time of day has gone back since its start.
func (m *Members) raiseIncarnation(earlier *fleetwire.Member) {
	if earlier.Incarnation > m.self.Incarnation && !m.self.Leaving {
		m.self.Incarnation = earlier.Incarnation + 1
	}
}

func newer(a, b *fleetwire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// BuildGossip returns this gateway's entry, those of a few members, and the beats of more,
// as much as fits into a datagram.
func (m *Members) BuildGossip(now time.Time) *fleetwire.Gossip {
	g := &fleetwire.Gossip{Members: []*fleetwire.Member{m.Heartbeat()}}
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := make([]*member, 0, len(m.known))
	for _, k := range m.known {
		if now.Sub(k.heardAt) < liveTimeout {
			recent = append(recent, k)
		}
	}
	rand.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	for i, k := range recent[:min(len(recent), gossipMembers+gossipBeats)] {
		if i < gossipMembers {
			g.Members = append(g.Members, k.wire)
			continue
		}
		g.Heard = append(g.Heard, hash(k.wire))
		g.Beats = append(g.Beats, k.wire.Beat)
	}
	return g
}

// hash identifies one process of a member. If two of a fleet share a hash, a beat
// of one may count for the other.
func hash(w *fleetwire.Member) uint32 {
	return uint32(xxhash.Sum64String(w.Id + " " + strconv.FormatUint(w.Incarnation, 36))) //nolint:gosec // any 32 bits do
}

// MergeGossip takes the news of a datagram and returns the hashes of gateways that
// are not known.
func (m *Members) MergeGossip(g *fleetwire.Gossip, now time.Time) (unknown []uint32) {
	m.Merge(g.GetMembers(), now)
	if len(g.GetHeard()) != len(g.GetBeats()) {
		return nil // of a later version of the program
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own := hash(m.self)
	for i, h := range g.GetHeard() {
		k, ok := m.byHash[h]
		switch {
		case !ok && h != own && len(unknown) < maxWanted:
			unknown = append(unknown, h)
		case ok && g.Beats[i] > k.wire.Beat:
			k.wire = proto.CloneOf(k.wire)
			k.wire.Beat = g.Beats[i]
			k.heardAt = now
		}
	}
	return unknown
}

// Lookup returns the entries of gateways that another asks for.
func (m *Members) Lookup(hashes []uint32) []*fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*fleetwire.Member
	for _, h := range hashes[:min(len(hashes), maxWanted)] {
		if k, ok := m.byHash[h]; ok {
			out = append(out, k.wire)
		}
	}
	return out
}

// Suspect passes over a member as a source for a while.
func (m *Members) Suspect(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.known[id]; ok {
		k.suspectAt = now
	}
}

// MarkStoreLost passes over a gateway that the store does not answer as its reader.
func (m *Members) MarkStoreLost(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.Id {
		m.self.Lost, m.lostAt = true, now
	} else if k, ok := m.known[id]; ok {
		k.lostAt = now
	}
}

// ClearStoreLost ends that for this gateway.
func (m *Members) ClearStoreLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Lost, m.lostAt = false, time.Time{}
}

// isStoreLost reports whether the store has lately failed to answer a gateway.
func (m *Members) isStoreLost(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.lostAt
	if k, ok := m.known[id]; ok {
		at = k.lostAt
	}
	return !at.IsZero() && now.Sub(at) < storeLostPeriod
}

// LiveCount returns the number of live gateways, this one included.
func (m *Members) LiveCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1
	for _, k := range m.known {
		if k.live(now) {
			count++
		}
	}
	return count
}

func (k *member) live(now time.Time) bool {
	return now.Sub(k.heardAt) < liveTimeout && !k.wire.Leaving
}

func (m *Members) liveMembers(now time.Time, keep func(*member) bool) []*fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*fleetwire.Member
	for _, k := range m.known {
		if k.live(now) && (keep == nil || keep(k)) {
			out = append(out, k.wire)
		}
	}
	slices.SortFunc(out, func(a, b *fleetwire.Member) int { return cmp.Compare(a.Id, b.Id) })
	return out
}

// Roles is whom a gateway hears from.
type Roles struct {
	// Reader says that this gateway reads the store for the whole fleet, Leader
	// that it is the first of its data centre.
	Reader, Leader bool
	// Sources are the gateways to follow, the best first.
	Sources []*fleetwire.Member
}

// Roles ranks the live gateways by what they can pass on. The first of all that
// the store answers reads it; the first of each data centre follows the reader, and
// the others follow the first of theirs, so that news crosses between data centres
// once.
func (m *Members) Roles(now time.Time) Roles {
	ranked := append(m.liveMembers(now, func(k *member) bool {
		return k.suspectAt.IsZero() || now.Sub(k.suspectAt) > suspectPeriod
	}), m.selfEntry())
	slices.SortFunc(ranked, compareRank)
	first := slices.IndexFunc(ranked, func(w *fleetwire.Member) bool { return !m.isStoreLost(w.Id, now) })
	reader := ranked[max(first, 0)]
	leader := ranked[slices.IndexFunc(ranked, func(w *fleetwire.Member) bool { return w.Zone == m.self.Zone })]
	r := Roles{Reader: reader.Id == m.self.Id, Leader: leader.Id == m.self.Id}
	if !r.Leader && !r.Reader {
		r.Sources = append(r.Sources, leader)
	}
	if !r.Reader && reader.Id != leader.Id {
		r.Sources = append(r.Sources, reader)
	}
	for _, w := range ranked {
		if len(r.Sources) == maxSources {
			break
		}
		if w.Id != m.self.Id && !slices.Contains(r.Sources, w) {
			r.Sources = append(r.Sources, w)
		}
	}
	return r
}

// maxSources bounds the gateways that are tried as sources.
const maxSources = 4

func (m *Members) selfEntry() *fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfEntryLocked()
}

// compareRank ranks by capacity, and then in an order that is the same everywhere.
func compareRank(a, b *fleetwire.Member) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.Id), xxhash.Sum64String(b.Id)),
		cmp.Compare(a.Id, b.Id),
	)
}
