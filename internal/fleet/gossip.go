package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/logs"
)

const (
	// gossipInterval is the pause between two datagrams to other members.
	gossipInterval = time.Second
	// seedInterval is the pause between two datagrams to seeds while no other member
	// is known.
	seedInterval = 150 * time.Millisecond
	// remoteShare is the share of datagrams that leave the data centre: bytes between
	// data centres are dear.
	remoteShare = 0.2
	// seedShare is the share of datagrams to a seed, which joins two parts of a
	// fleet that have forgotten each other.
	seedShare = 0.05
	// maxDatagramBytes bounds a datagram that is read.
	maxDatagramBytes = 64 << 10
)

// Gossip keeps the table of members up to date by datagrams: a lost one is made
// good by the next, and no connection can fall silent.
type Gossip struct {
	members *Members
	address string
	seeds   func() []string
	log     logs.Logger
}

// NewGossip returns a gossip that listens on an address and starts from the
// seeds' gossip addresses, which may change.
func NewGossip(members *Members, address string, seeds func() []string) *Gossip {
	return &Gossip{members: members, address: address, seeds: seeds, log: logs.For("fleet")}
}

// Serve exchanges news until the context ends.
func (g *Gossip) Serve(ctx context.Context) error {
	socket, err := net.ListenPacket("udp", g.address)
	if err != nil {
		return errors.Wrapf(err, "listen for gossip on %s", g.address)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	defer func() { _ = socket.Close() }()
	go g.receive(socket)
	seen := 0
	for {
		pause := g.round(socket)
		if n := g.members.LiveCount(time.Now()); n != seen {
			g.log.With("live", n).With("before", seen).Infof("members changed")
			seen = n
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// round sends one datagram and returns the pause until the next.
func (g *Gossip) round(socket net.PacketConn) time.Duration {
	address, pause := g.choosePeer(time.Now())
	if address != "" {
		g.send(socket, address, &fleetwire.Gossip{ReplyTo: g.address})
	}
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

// choosePeer chooses whom to send news to, and the pause after it.
func (g *Gossip) choosePeer(now time.Time) (string, time.Duration) {
	zone := g.members.self.Zone
	near := g.members.liveMembers(now, func(k *member) bool { return k.wire.Zone == zone })
	far := g.members.liveMembers(now, func(k *member) bool { return k.wire.Zone != zone })
	if len(near)+len(far) == 0 {
		return g.chooseSeed(), seedInterval
	}
	draw := rand.Float64()
	switch {
	case draw < seedShare:
		return g.chooseSeed(), gossipInterval
	case len(near) == 0 || (len(far) > 0 && draw < seedShare+remoteShare):
		return far[rand.IntN(len(far))].GossipAddress, gossipInterval
	default:
		return near[rand.IntN(len(near))].GossipAddress, gossipInterval
	}
}

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

// send adds this gateway's news to a message and sends it.
func (g *Gossip) send(socket net.PacketConn, address string, message *fleetwire.Gossip) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		g.log.With("peer", address).Warnf("not an IP address and port: %v", err)
		return
	}
	if len(message.Members) == 0 {
		proto.Merge(message, g.members.BuildGossip(time.Now()))
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

// receive takes news until the socket is closed.
func (g *Gossip) receive(socket net.PacketConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debugf("receive gossip: %v", err)
			time.Sleep(seedInterval) // a failing socket must not use up the processor
			continue
		}
		var news fleetwire.Gossip
		if err := proto.Unmarshal(buf[:n], &news); err != nil {
			g.log.With("peer", from).Warnf("gossip can't be decoded, datagram dropped: %v", err)
			continue
		}
		g.handle(socket, &news, from.String())
	}
}

// handle takes the news of a datagram, sends own news if asked to, and asks for
// gateways that are not known.
func (g *Gossip) handle(socket net.PacketConn, news *fleetwire.Gossip, from string) {
	wanted := g.members.MergeGossip(news, time.Now())
	if known := g.members.Lookup(news.GetWanted()); len(known) > 0 {
		g.send(socket, from, &fleetwire.Gossip{Members: known})
	}
	switch {
	case news.GetReplyTo() != "":
		g.send(socket, news.GetReplyTo(), &fleetwire.Gossip{Wanted: wanted})
	case len(wanted) > 0:
		g.send(socket, from, &fleetwire.Gossip{Wanted: wanted})
	}
}
