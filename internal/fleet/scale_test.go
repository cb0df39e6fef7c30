package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

// gossipSimulation runs the gossip of a whole fleet in rounds of gossipInterval, without
// network, and counts the bytes of its datagrams.
type gossipSimulation struct {
	t        *testing.T
	gateways []*Gossip
	byAddr   map[string]*Gossip
	down     map[*Gossip]bool
	// cut reports whether two data centres can't reach each other; nil: all can.
	cut   func(a, b string) bool
	clock time.Time
	// near and far are the bytes sent within and between data centres.
	near, far int
}

// newGossipSimulation returns a fleet that has just started: each gateway knows the
// addresses of three seeds only.
func newGossipSimulation(t *testing.T, size, zones int) *gossipSimulation {
	t.Helper()
	s := &gossipSimulation{t: t, byAddr: make(map[string]*Gossip), down: make(map[*Gossip]bool), clock: now}
	seeds := func() []string { return []string{"m0:2", "m1:2", "m2:2"} }
	for i := range size {
		capacity := uint32(20)
		if i%30 == 0 {
			capacity = 200
		}
		w := testMember(fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%zones), capacity)
		g := NewGossip(NewMembers(w), w.GossipAddress, seeds)
		g.started = now
		s.gateways, s.byAddr[w.GossipAddress] = append(s.gateways, g), g
	}
	return s
}

// deliver sends a datagram and handles the answers to it.
func (s *gossipSimulation) deliver(from *Gossip, to string, message *fleetwire.Gossip) {
	zone := ""
	if receiver, ok := s.byAddr[to]; ok && (message.ReplyTo == "" || from.members.ZoneOf(to) != "") {
		zone = receiver.members.self.Zone
	}
	if len(message.Members) == 0 {
		proto.Merge(message, from.members.BuildGossip(zone, s.clock))
	}
	receiver, ok := s.byAddr[to]
	if bytes := proto.Size(message); ok && receiver.members.self.Zone != from.members.self.Zone {
		s.far += bytes
	} else {
		s.near += bytes
	}
	if !ok || s.down[receiver] || s.isCut(from, receiver) {
		return
	}
	wanted := receiver.members.MergeGossip(message, s.clock)
	if known := receiver.members.Lookup(message.GetWanted()); len(known) > 0 {
		s.deliver(receiver, from.address, &fleetwire.Gossip{Members: known})
	}
	switch {
	case message.GetReplyTo() != "":
		s.deliver(receiver, from.address, &fleetwire.Gossip{Wanted: wanted})
	case len(wanted) > 0:
		s.deliver(receiver, from.address, &fleetwire.Gossip{Wanted: wanted})
	}
}

func (s *gossipSimulation) isCut(a, b *Gossip) bool {
	return s.cut != nil && s.cut(a.members.self.Zone, b.members.self.Zone)
}

// round sends the datagrams of each gateway in a gossipInterval and then lets it follow the gateway that its
// roles name, or suspect that gateway if it is down.
func (s *gossipSimulation) round() {
	s.clock = s.clock.Add(gossipInterval)
	for _, g := range s.gateways {
		if s.down[g] {
			continue
		}
		for left := gossipInterval; left > 0; {
			address, pause := g.choosePeer(s.clock)
			if address != "" {
				s.deliver(g, address, &fleetwire.Gossip{ReplyTo: g.address})
			}
			left -= pause
		}
		for _, address := range g.seedsToAsk(s.clock) {
			s.deliver(g, address, &fleetwire.Gossip{ReplyTo: g.address})
		}
	}
	for _, g := range s.gateways {
		g.members.self.Followers = 0
	}
	for _, g := range s.gateways {
		roles := g.members.Roles(s.clock)
		if s.down[g] || roles.ReadsStore || len(roles.Sources) == 0 {
			continue
		}
		source := s.byAddr[roles.Sources[0].GossipAddress]
		switch {
		case s.down[source], s.isCut(g, source):
			g.members.Suspect(source.members.self.Id, s.clock)
		case source.members.self.Zone == g.members.self.Zone:
			source.members.AddFollowers(1)
		}
	}
}

// countError returns the largest relative error of a gateway's count of the fleet.
func (s *gossipSimulation) countError() (worst float64) {
	live := len(s.gateways) - len(s.down)
	for _, g := range s.gateways {
		if !s.down[g] {
			worst = max(worst, math.Abs(float64(g.members.LiveCount(s.clock))/float64(live)-1))
		}
	}
	return worst
}

// What a gateway sends to other data centres costs the most. All gateways of a data centre
// together need to send no more of it when the data centre grows.
func TestGossipBetweenDataCentresDoesNotGrowWithTheFleet(t *testing.T) {
	const settle, rounds, zones = 12, 15, 5
	perRound := make(map[int]int)
	for _, size := range []int{100, 472} {
		s := newGossipSimulation(t, size, zones)
		for range settle {
			s.round()
		}
		s.near, s.far = 0, 0
		for range rounds {
			s.round()
		}
		perRound[size] = s.far / rounds
		t.Logf("%d gateways: %d bytes a round between data centres, %d a gateway within", size, s.far/rounds, s.near/rounds/size)
		assert.Assert(t, s.countError() < 0.05)
	}
	assert.Assert(t, float64(perRound[472]) < 1.3*float64(perRound[100]))
}

// Two parts of a fleet that could not reach each other for longer than members are
// remembered must find each other again through the seeds.
func TestFleetIsCountedWholeAfterAPartition(t *testing.T) {
	s := newGossipSimulation(t, 100, 5)
	run := func(rounds int) {
		for range rounds {
			s.round()
		}
	}
	run(15)
	assert.Assert(t, s.countError() < 0.05)
	s.cut = func(a, b string) bool { return (a < "z2") != (b < "z2") }
	run(int(forgetTimeout/gossipInterval) + 10)
	for _, g := range s.gateways {
		part := 60
		if g.members.self.Zone < "z2" {
			part = 40
		}
		assert.Equal(t, g.members.LiveCount(s.clock), part)
	}
	s.cut = nil
	run(20)
	assert.Assert(t, s.countError() < 0.05, "%.3f", s.countError())
}

// The leader of another data centre tells how many follow it, which counts for the members
// that this gateway doesn't know.
func TestFollowersOfALeaderAreCounted(t *testing.T) {
	far := testMember("c", "y", 9)
	far.Followers = 40
	m := newTestMembers(testMember("a", "x", 1), testMember("b", "x", 1), far)
	assert.Equal(t, m.LiveCount(now), 2+41)
	old := testMember("d", "y", 8)
	old.Followers = 39 // it led before
	m.Merge([]*fleetwire.Member{old}, now)
	assert.Equal(t, m.LiveCount(now), 2+41)
}
