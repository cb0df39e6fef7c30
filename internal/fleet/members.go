// Package fleet implements gossip membership among gateways, starting from a few
// seeds, and the distribution of the platform store's content from the gateway
// that reads the store to all others.
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
	"github.com/baobabstack/baobabstack/internal/logs"
)

const (
	// liveTimeout is how long a member counts as live without a new beat. In a fleet
	// of 300 members, beats reach nearly all others within 10 rounds, see
	// TestNewsReachesALargeFleet.
	liveTimeout = 10 * gossipInterval
	// gossipMembers and gossipBeats bound the entries and beats of a datagram so that
	// it fits into an Ethernet frame of 1,500 bytes: an entry takes about 80 bytes, a
	// hash with its beat 6. The leader of each data centre is among the entries, for up
	// to gossipLeaders data centres.
	gossipMembers = 8
	gossipLeaders = 5
	gossipBeats   = 120
	// maxFollowers is the most followers, and gateways sharing limits, that an entry may
	// claim, far above any data centre's.
	maxFollowers = 100_000
	// maxWanted bounds the entries that are requested at once, so that the reply fits
	// into a frame.
	maxWanted = 15
	// forgetTimeout is the time without a new beat after which a member is removed. Until
	// then it may be cut off from this gateway and share the fleet's limits.
	forgetTimeout = 10 * time.Minute
	// storeUnreachablePeriod is how long a gateway is not chosen as reader after the store
	// failed to answer it.
	storeUnreachablePeriod = 10 * time.Second
	// suspectPeriod is how long a member that failed is not used as a source.
	suspectPeriod = 3 * time.Second
)

// Members is this gateway's membership table: its own entry and those of the other
// gateways it knows. It is safe for concurrent use.
type Members struct {
	log  logs.Logger
	mu   sync.Mutex
	self *fleetwire.Member
	// storeUnreachableAt is when the store last failed to answer this gateway.
	storeUnreachableAt time.Time
	// terms counts how often this gateway has begun to act as leader, last at actingSince.
	terms       uint32
	actingSince time.Time
	size        sizeState
	// known holds the other gateways by their ids.
	known map[string]*member
	// byHash holds the same members by their hashes.
	byHash map[uint32]*member
}

// member is another gateway in the table. heardAt is when its last new beat arrived,
// suspectAt when it last failed as a source, storeUnreachableAt when it last
// reported that the store does not answer it, and actingSince when it was first heard
// to act as leader in its present term.
type member struct {
	wire               *fleetwire.Member
	hash               uint32
	heardAt            time.Time
	suspectAt          time.Time
	storeUnreachableAt time.Time
	actingSince        time.Time
}

// NewMembers returns a table that holds only this gateway's entry.
func NewMembers(self *fleetwire.Member) *Members {
	return &Members{log: logs.For("fleet"), self: self, known: make(map[string]*member), byHash: make(map[uint32]*member)}
}

// Heartbeat increments this gateway's beat and returns a copy of its entry.
func (m *Members) Heartbeat() *fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Beat++
	return m.selfEntryLocked()
}

// selfEntryLocked returns a copy of this gateway's entry. The caller holds m.mu.
func (m *Members) selfEntryLocked() *fleetwire.Member {
	s := m.self
	return &fleetwire.Member{Id: s.Id, Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation, Beat: s.Beat, Leaving: s.Leaving, GossipAddress: s.GossipAddress, Capacity: s.Capacity, Lost: s.Lost, Followers: s.Followers, Sharing: s.Sharing, ActingTerm: s.ActingTerm}
}

// Leave marks this gateway as leaving, which other gateways learn by gossip.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
}

// AddFollowers changes the number of gateways of the data centre that follow this one.
func (m *Members) AddFollowers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Followers = uint32(int(m.self.Followers) + n) //nolint:gosec // a count of connections
}

// Merge takes over entries that are newer than the known ones, and removes members
// whose last beat is older than forgetTimeout. Entries without an id or address are
// ignored, and so are those that claim more gateways than maxFollowers.
func (m *Members) Merge(entries []*fleetwire.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range entries {
		if n.GetId() == m.self.Id {
			m.raiseIncarnation(n)
			continue
		}
		if n.GetId() == "" || n.GetAddress() == "" || n.GetFollowers() > maxFollowers || n.GetSharing() > maxFollowers {
			m.log.With("id", n.GetId()).With("address", n.GetAddress()).With("followers", n.GetFollowers()).Warnf("ignored an invalid entry of a member")
			continue
		}
		old, ok := m.known[n.Id]
		if ok && !newer(n, old.wire) {
			continue
		}
		fresh := newMember(n, old, now)
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

// newMember returns the member for an entry that was heard now, and that supersedes old, which is
// nil if the gateway was not known.
func newMember(n *fleetwire.Member, old *member, now time.Time) *member {
	fresh := &member{wire: n, hash: hash(n), heardAt: now}
	if n.Lost {
		fresh.storeUnreachableAt = now
	}
	if n.ActingTerm > 0 {
		fresh.actingSince = now
	}
	if old != nil && old.wire.Incarnation == n.Incarnation {
		fresh.suspectAt = old.suspectAt // storeUnreachableAt follows from the newer entry
		if n.ActingTerm == old.wire.ActingTerm {
			fresh.actingSince = old.actingSince
		}
	}
	return fresh
}

// raiseIncarnation raises this process's incarnation above that of an earlier process
// of the same gateway. The earlier incarnation is higher if the system clock was set
// back since that process started; the other gateways would then ignore this process.
func (m *Members) raiseIncarnation(earlier *fleetwire.Member) {
	if earlier.Incarnation > m.self.Incarnation && !m.self.Leaving {
		m.self.Incarnation = earlier.Incarnation + 1
	}
}

// newer reports whether entry a of a gateway supersedes its entry b.
func newer(a, b *fleetwire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// BuildGossip returns the content of a datagram to a gateway in the given data centre,
// empty if it is not known: this gateway's entry with a new beat and the entries of the
// leaders of data centres. A receiver in the own data centre gets the entries of random
// members of it as well, gossipMembers in all, and the beats of up to gossipBeats more.
// Other data centres learn from the leaders' entries how many members there are, so that
// the bytes sent there don't grow with the fleet.
func (m *Members) BuildGossip(receiverZone string, now time.Time) *fleetwire.Gossip {
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
	leaders := m.leadersLocked(recent, now)
	for _, k := range leaders[:min(len(leaders), gossipLeaders)] {
		g.Members = append(g.Members, k.wire)
	}
	for _, k := range recent {
		switch {
		case receiverZone != m.self.Zone || k.wire.Zone != m.self.Zone || slices.Contains(leaders, k):
		case len(g.Members) < gossipMembers:
			g.Members = append(g.Members, k.wire)
		case len(g.Heard) < gossipBeats:
			g.Heard = append(g.Heard, k.hash)
			g.Beats = append(g.Beats, k.wire.Beat)
		}
	}
	return g
}

// leadersLocked returns the live member that ranks first in each data centre, without
// this gateway's own where it ranks first itself. The caller holds m.mu.
func (m *Members) leadersLocked(list []*member, now time.Time) []*member {
	first := make(map[string]*member)
	for _, k := range list {
		best, ok := first[k.wire.Zone]
		if k.live(now) && (!ok || compareRank(k.wire, best.wire) < 0) {
			first[k.wire.Zone] = k
		}
	}
	leaders := make([]*member, 0, len(first))
	for zone, k := range first {
		if zone != m.self.Zone || compareRank(k.wire, m.self) < 0 {
			leaders = append(leaders, k)
		}
	}
	return leaders
}

// hash identifies one incarnation of a member. If two hashes in a fleet collide, a
// beat of one member may count for the other.
func hash(w *fleetwire.Member) uint32 {
	return uint32(xxhash.Sum64String(w.Id + " " + strconv.FormatUint(w.Incarnation, 36))) //nolint:gosec // any 32 bits do
}

// MergeGossip merges the entries and beats of a datagram. It returns the hashes of
// unknown gateways, at most maxWanted, for the caller to ask for.
func (m *Members) MergeGossip(g *fleetwire.Gossip, now time.Time) (unknown []uint32) {
	m.Merge(g.GetMembers(), now)
	if len(g.GetHeard()) != len(g.GetBeats()) {
		return nil // sent by a later version of the program
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

// ZoneOf returns the data centre of the member with a gossip address, or "".
func (m *Members) ZoneOf(gossipAddress string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.wire.GossipAddress == gossipAddress {
			return k.wire.Zone
		}
	}
	return ""
}

// Lookup returns the entries of known members for the first maxWanted hashes.
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

// Suspect excludes a member as a source for suspectPeriod.
func (m *Members) Suspect(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.known[id]; ok {
		k.suspectAt = now
	}
}

// MarkStoreUnreachable records that the store does not answer a gateway, which may be
// this one. For storeUnreachablePeriod that gateway is not chosen as reader.
func (m *Members) MarkStoreUnreachable(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.Id {
		m.self.Lost, m.storeUnreachableAt = true, now
	} else if k, ok := m.known[id]; ok {
		k.storeUnreachableAt = now
	}
}

// ClearStoreUnreachable undoes MarkStoreUnreachable for this gateway.
func (m *Members) ClearStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Lost, m.storeUnreachableAt = false, time.Time{}
}

// expireStoreUnreachable undoes MarkStoreUnreachable for this gateway after
// storeUnreachablePeriod, so that others consider it as reader again as well.
func (m *Members) expireStoreUnreachable(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Lost && now.Sub(m.storeUnreachableAt) >= storeUnreachablePeriod {
		m.self.Lost = false
	}
}

// isStoreUnreachable reports whether the store failed to answer a gateway within the last
// storeUnreachablePeriod. Any id that is not in the table stands for this gateway.
func (m *Members) isStoreUnreachable(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.storeUnreachableAt
	if k, ok := m.known[id]; ok {
		at = k.storeUnreachableAt
	}
	return !at.IsZero() && now.Sub(at) < storeUnreachablePeriod
}

func (k *member) live(now time.Time) bool {
	return now.Sub(k.heardAt) < liveTimeout && !k.wire.Leaving
}

// liveMembers returns the live members for which keep is true, sorted by id. A nil
// keep selects all. This gateway is not included.
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

// Roles says whether a gateway reads the store, and which gateways it follows.
type Roles struct {
	// ReadsStore is true if this gateway reads the store for the whole fleet, Leader if
	// it leads its data centre.
	ReadsStore, Leader bool
	// LeaderConfirmedAt is when the store had answered the leader, if it acts in place of the
	// first in rank, otherwise the zero time.
	LeaderConfirmedAt time.Time
	// Turn is this gateway's place in rank, from 0 on, among the Turns of its data centre that
	// don't lead it, as far as they are known.
	Turn, Turns int
	// Sources are the gateways to follow, in order of preference.
	Sources []*fleetwire.Member
}

// Roles ranks the live gateways by capacity and returns this gateway's roles. The
// reader is the first gateway in this order that the store answers, or the first of all
// if the store answers none. The leader of each data centre, the first in rank or one that acts
// in its place, follows the reader, and the other gateways follow their leader, so that an
// update is sent only once to each data centre other than the reader's.
func (m *Members) Roles(now time.Time) Roles {
	m.expireStoreUnreachable(now)
	m.expireActing(now)
	ranked := append(m.liveMembers(now, func(k *member) bool {
		return k.suspectAt.IsZero() || now.Sub(k.suspectAt) > suspectPeriod
	}), m.selfEntry())
	slices.SortFunc(ranked, compareRank)
	first := slices.IndexFunc(ranked, func(w *fleetwire.Member) bool { return !m.isStoreUnreachable(w.Id, now) })
	reader := ranked[max(first, 0)]
	leader, actingSince := m.leader(ranked, now)
	r := Roles{ReadsStore: reader.Id == m.self.Id, Leader: leader.Id == m.self.Id, LeaderConfirmedAt: actingSince}
	r.Turn, r.Turns = m.turn(ranked, leader)
	if !r.Leader && !r.ReadsStore {
		r.Sources = append(r.Sources, leader)
	}
	if !r.ReadsStore && reader.Id != leader.Id {
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

// maxSources bounds the number of gateways in Roles.Sources.
const maxSources = 4

// selfEntry returns a copy of this gateway's entry without a new beat.
func (m *Members) selfEntry() *fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfEntryLocked()
}

// compareRank orders entries by descending capacity. Ties are broken by the hash of
// the id, so that every gateway computes the same order.
func compareRank(a, b *fleetwire.Member) int {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.Id), xxhash.Sum64String(b.Id)),
		cmp.Compare(a.Id, b.Id),
	)
}
