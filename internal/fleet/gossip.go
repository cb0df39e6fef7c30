package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/logs"
)

const (
	// gossipInterval is the mean pause between two datagrams to other members.
	gossipInterval = time.Second
	// seedInterval is the mean pause between two datagrams to seeds while no other
	// member is known.
	seedInterval = 150 * time.Millisecond
	// remoteShare is the share of datagrams sent to other data centres. It is low
	// because traffic between data centres is expensive. remotePerRound bounds the number
	// of those that all gateways of a data centre together send in a gossipInterval:
	// what reaches one of them spreads within the data centre. leaderRemoteShare is the
	// share of a gateway that ranks first among those it knows in its data centre: it may
	// be one of a few that have not found the others yet.
	remoteShare       = 0.2
	remotePerRound    = 4.0
	leaderRemoteShare = 0.7
	// seedShare is the share of datagrams sent to a seed. After a network partition, these
	// datagrams reunite two parts of a fleet that have dropped each other's members.
	// seedPerRound bounds their number like remotePerRound.
	seedShare    = 0.05
	seedPerRound = 1.0
	// maxSeedPause bounds the pause between two datagrams to a seed that does not answer. The
	// first pause is gossipInterval, and it doubles each time.
	maxSeedPause = 10 * time.Second
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
)

// Gossip keeps the membership table up to date over UDP. The next datagram makes up for
// a lost one, and there are no connections that could stall unnoticed.
type Gossip struct {
	members *Members
	address string
	seeds   func() []string
	log     logs.Logger
	// announce receives a value when the own entry is to be sent to the whole data centre.
	announce chan struct{}

	started time.Time
	// Seeds that findUnheardSeeds returns are asked at askSeedsAt, and again after
	// askSeedsPause.
	askSeedsAt    time.Time
	askSeedsPause time.Duration
}

// NewGossip returns a Gossip that listens on a UDP address. The seeds function
// returns the current gossip addresses of the seeds.
func NewGossip(members *Members, address string, seeds func() []string) *Gossip {
	return &Gossip{members: members, address: address, seeds: seeds, log: logs.For("fleet"), announce: make(chan struct{}, 1)}
}

// AnnounceLeader makes this gateway act as leader of its data centre, unless another does, and
// has all others there told at once.
func (g *Gossip) AnnounceLeader(now time.Time) {
	if !g.members.ActAsLeader(now) {
		return
	}
	select {
	case g.announce <- struct{}{}:
	default: // one is pending already
	}
}

// Serve exchanges gossip until the context ends and returns the context's error. It
// fails if it can't listen on its address.
func (g *Gossip) Serve(ctx context.Context) error {
	socket, err := net.ListenPacket("udp", g.address)
	if err != nil {
		return errors.Wrapf(err, "listen for gossip on %s", g.address)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	defer func() { _ = socket.Close() }()
	go g.receive(socket)
	g.started = time.Now()
	seen := 0
	for {
		pause := g.round(socket)
		for _, address := range g.seedsToAsk(time.Now()) {
			g.send(socket, address, g.members.ZoneOf(address), &fleetwire.Gossip{ReplyTo: g.address})
		}
		if n := g.members.LiveCount(time.Now()); n != seen {
			g.log.With("live", n).With("before", seen).Infof("members changed")
			seen = n
		}
		select {
		case <-time.After(pause):
		case <-g.announce:
			g.sendToDataCentre(socket)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendToDataCentre sends this gateway's entry to all others of its data centre.
func (g *Gossip) sendToDataCentre(socket net.PacketConn) {
	self := g.members.Heartbeat()
	for _, w := range g.members.liveMembers(time.Now(), func(k *member) bool { return k.wire.Zone == self.Zone }) {
		g.send(socket, w.GossipAddress, w.Zone, &fleetwire.Gossip{Members: []*fleetwire.Member{self}})
	}
}

// round sends one datagram and returns the pause until the next, with a jitter of
// 25% either way.
func (g *Gossip) round(socket net.PacketConn) time.Duration {
	address, pause := g.choosePeer(time.Now())
	if address != "" {
		g.send(socket, address, g.members.ZoneOf(address), &fleetwire.Gossip{ReplyTo: g.address})
	}
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

// choosePeer returns the address to send gossip to, which is empty if there is none,
// and the mean pause after it.
func (g *Gossip) choosePeer(now time.Time) (string, time.Duration) {
	zone := g.members.self.Zone
	near := g.members.liveMembers(now, func(k *member) bool { return k.wire.Zone == zone })
	far := g.members.liveMembers(now, func(k *member) bool { return k.wire.Zone != zone })
	if len(near)+len(far) == 0 {
		return g.chooseSeed(), seedInterval
	}
	size := float64(len(near) + 1)
	toSeed, remote := min(seedShare, seedPerRound/size), min(remoteShare, remotePerRound/size)
	if !slices.ContainsFunc(near, func(w *fleetwire.Member) bool { return compareRank(w, g.members.self) < 0 }) {
		remote = leaderRemoteShare
	}
	draw := rand.Float64()
	switch {
	case draw < toSeed:
		return g.chooseSeed(), gossipInterval
	case len(near) == 0 || (len(far) > 0 && draw < toSeed+remote):
		return far[rand.IntN(len(far))].GossipAddress, gossipInterval
	default:
		return near[rand.IntN(len(near))].GossipAddress, gossipInterval
	}
}

// seedsToAsk returns the seeds to ask now because they were not heard yet. It waits longer
// after each time, up to maxSeedPause.
func (g *Gossip) seedsToAsk(now time.Time) []string {
	unheard := g.members.findUnheardSeeds(g.seeds(), g.started, now)
	switch {
	case len(unheard) == 0:
		g.askSeedsPause = 0
		return nil
	case now.Before(g.askSeedsAt):
		return nil
	}
	g.askSeedsPause = min(max(2*g.askSeedsPause, gossipInterval), maxSeedPause)
	g.askSeedsAt = now.Add(g.askSeedsPause)
	return unheard
}

// chooseSeed returns the address of a random seed. It is empty if there is no seed or
// the draw fell on this gateway.
func (g *Gossip) chooseSeed() string {
	seeds := g.seeds()
	if len(seeds) == 0 {
		return ""
	}
	if s := seeds[rand.IntN(len(seeds))]; s != g.address {
		return s
	}
	return ""
}

// send sends a message to a gateway in the given data centre, empty if it is not known.
// It adds this gateway's gossip unless the message carries members already.
func (g *Gossip) send(socket net.PacketConn, address, zone string, message *fleetwire.Gossip) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		g.log.With("peer", address).Warnf("peer's gossip address is not an IP address and port: %v", err)
		return
	}
	if len(message.Members) == 0 {
		proto.Merge(message, g.members.BuildGossip(zone, time.Now()))
	}
	data, err := proto.Marshal(message)
	if err != nil {
		g.log.Errorf("encode gossip: %v", err)
		return
	}
	if _, err := socket.WriteTo(data, to); err != nil {
		g.log.With("peer", address).Debugf("send gossip: %v", err)
	}
}

// receive handles incoming datagrams until the socket is closed.
func (g *Gossip) receive(socket net.PacketConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debugf("receive gossip: %v", err)
			time.Sleep(seedInterval) // don't spin if the socket keeps failing
			continue
		}
		var received fleetwire.Gossip
		if err := proto.Unmarshal(buf[:n], &received); err != nil {
			g.log.With("peer", from).Warnf("gossip can't be decoded, datagram dropped: %v", err)
			continue
		}
		g.handle(socket, &received, from.String())
	}
}

// handle merges the gossip of a datagram, sends the entries that its sender asks for
// and a reply if one is requested, and asks for the entries of unknown gateways.
func (g *Gossip) handle(socket net.PacketConn, received *fleetwire.Gossip, from string) {
	wanted := g.members.MergeGossip(received, time.Now())
	if known := g.members.Lookup(received.GetWanted()); len(known) > 0 {
		g.send(socket, from, "", &fleetwire.Gossip{Members: known})
	}
	zone := ""
	if len(received.GetMembers()) > 0 {
		zone = received.GetMembers()[0].GetZone()
	}
	switch {
	case received.GetReplyTo() != "":
		g.send(socket, received.GetReplyTo(), zone, &fleetwire.Gossip{Wanted: wanted})
	case len(wanted) > 0:
		g.send(socket, from, zone, &fleetwire.Gossip{Wanted: wanted})
	}
}
