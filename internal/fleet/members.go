// Package fleet lets gateways find each other from a few seeds and pass on what
// the platform's store says.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

const (
	// liveFor is how long a member counts as live without news of it: news of each
	// of 124 members reached all within 6 rounds in TestNewsReachesALargeFleet.
	liveFor = 10 * gossipEvery
	// newsMembers keeps a datagram within an Ethernet frame of 1,500 bytes; an entry
	// has about 60.
	newsMembers = 16
	// forgetAfter is when a silent member is dropped.
	forgetAfter = 60 * time.Second
	// suspectFor is how long a member that failed is passed over as a source.
	suspectFor = 3 * time.Second
)

// Members is what this gateway knows of the others. It is safe for concurrent
// use.
type Members struct {
	mu    sync.Mutex
	self  *fleetwire.Member
	known map[string]*member
}

type member struct {
	wire      *fleetwire.Member
	heardAt   time.Time
	suspectAt time.Time
}

// NewMembers returns a table that knows only this gateway.
func NewMembers(self *fleetwire.Member) *Members {
	return &Members{self: self, known: make(map[string]*member)}
}

// Self returns this gateway's entry with a new beat.
func (m *Members) Self() *fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Beat++
	return m.selfCopy()
}

func (m *Members) selfCopy() *fleetwire.Member {
	s := m.self
	return &fleetwire.Member{Id: s.Id, Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation, Beat: s.Beat, Leaving: s.Leaving, GossipAddress: s.GossipAddress}
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
		if n.GetId() == m.self.Id || n.GetId() == "" || n.GetAddress() == "" {
			continue
		}
		old, ok := m.known[n.Id]
		if ok && !newer(n, old.wire) {
			continue
		}
		fresh := &member{wire: n, heardAt: now}
		if ok && old.wire.Incarnation == n.Incarnation {
			fresh.suspectAt = old.suspectAt
		}
		m.known[n.Id] = fresh
	}
	for id, k := range m.known {
		if now.Sub(k.heardAt) > forgetAfter {
			delete(m.known, id)
		}
	}
}

func newer(a, b *fleetwire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Beat > b.Beat
}

// News returns this gateway's entry and those of the members heard of last, as
// many as fit into a datagram.
func (m *Members) News(now time.Time) []*fleetwire.Member {
	out := []*fleetwire.Member{m.Self()}
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := make([]*member, 0, len(m.known))
	for _, k := range m.known {
		if now.Sub(k.heardAt) < liveFor/2 {
			recent = append(recent, k)
		}
	}
	rand.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	for _, k := range recent[:min(len(recent), newsMembers)] {
		out = append(out, k.wire)
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

// Live returns the number of live gateways, this one included.
func (m *Members) Live(now time.Time) int { return len(m.live(now, nil)) + 1 }

func (m *Members) live(now time.Time, keep func(*member) bool) []*fleetwire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*fleetwire.Member
	for _, k := range m.known {
		if now.Sub(k.heardAt) < liveFor && !k.wire.Leaving && (keep == nil || keep(k)) {
			out = append(out, k.wire)
		}
	}
	slices.SortFunc(out, func(a, b *fleetwire.Member) int { return cmp.Compare(a.Id, b.Id) })
	return out
}

// Sources ranks the gateways that this one may follow, the reader of its data
// centre first, then the readers of the others. Reader says that this gateway
// itself comes before all of its data centre.
func (m *Members) Sources(now time.Time) (sources []*fleetwire.Member, reader bool) {
	usable := m.live(now, func(k *member) bool {
		return k.suspectAt.IsZero() || now.Sub(k.suspectAt) > suspectFor
	})
	best := make(map[string]*fleetwire.Member)
	for _, w := range usable {
		if b, ok := best[w.Zone]; !ok || rank(w.Id) < rank(b.Id) {
			best[w.Zone] = w
		}
	}
	first, ok := best[m.self.Zone]
	reader = !ok || rank(m.self.Id) < rank(first.Id)
	for zone, w := range best {
		if zone != m.self.Zone {
			sources = append(sources, w)
		}
	}
	slices.SortFunc(sources, func(a, b *fleetwire.Member) int { return cmp.Compare(rank(a.Id+m.self.Id), rank(b.Id+m.self.Id)) })
	if !reader {
		sources = append([]*fleetwire.Member{first}, sources...)
	}
	return sources, reader
}

func rank(id string) uint64 { return xxhash.Sum64String(id) }
