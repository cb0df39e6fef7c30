package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/logs"
)

// bufferBytes is the size of a connection's read and write buffers. It is small
// because a connection carries only a few small messages a second.
const bufferBytes = 4 << 10

// Feed provides the store data that a Service sends to followers. Its methods are
// safe for concurrent use.
type Feed interface {
	// Subscribe returns a snapshot of the known data and a channel of later changes,
	// which is closed if the subscriber reads too slowly. Cancel ends the
	// subscription.
	Subscribe() (full discovery.Batch, changes <-chan discovery.Batch, cancel func())
	// Age returns the time since the store confirmed that there is nothing newer; ok is
	// false if there is no store data yet.
	Age() (age time.Duration, ok bool)
	// RetainsUnlisted reports whether items that the store no longer lists are kept, or some that
	// it lists withheld.
	RetainsUnlisted() bool
	// StoreUnreachable reports whether this gateway reads the store but the store does
	// not answer.
	StoreUnreachable() bool
}

// Service streams this gateway's copy of the store data to other gateways.
type Service struct {
	fleetwire.UnimplementedFleetServer
	address string
	members *Members
	feed    Feed
	timing  discovery.Timing
	packer  packer
}

// NewService returns a service that listens on a TCP address.
func NewService(address string, members *Members, feed Feed, timing discovery.Timing) *Service {
	return &Service{address: address, members: members, feed: feed, timing: timing, packer: packer{log: logs.For("fleet")}}
}

// Serve serves followers until the context ends and returns the context's error. It
// fails if it can't listen on its address.
func (s *Service) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen for followers on %s", s.address)
	}
	server := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.ConnectionTimeout(s.timing.UpdateTimeout))
	fleetwire.RegisterFleetServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve followers")
	}
	return ctx.Err()
}

// Follow implements fleetwire.FleetServer.
func (s *Service) Follow(req *fleetwire.FollowRequest, stream fleetwire.Fleet_FollowServer) error {
	s.members.Merge([]*fleetwire.Member{req.GetSelf()}, time.Now())
	if req.GetSelf().GetZone() == s.members.self.Zone {
		s.members.AddFollowers(1)
		defer s.members.AddFollowers(-1)
	}
	heartbeat := time.NewTimer(s.timing.Heartbeat)
	defer heartbeat.Stop()
	full, changes, cancel, err := s.subscribeWhenKnown(stream, heartbeat)
	defer cancel()
	if err != nil {
		return err
	}
	if err := stream.Send(s.update(full)); err != nil {
		return err
	}
	era := full.Revision.Era // of what the follower has been sent
	for {
		b := discovery.Batch{Revision: discovery.Revision{Era: era}}
		select {
		case next, ok := <-changes:
			if !ok {
				return errors.New("the follower is too slow")
			}
			b = next
		case <-heartbeat.C:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
		heartbeat.Reset(s.timing.Heartbeat)
		if err := stream.Send(s.update(b)); err != nil {
			return err
		}
		era = b.Revision.Era
	}
}

// subscribeWhenKnown waits until there is store data, sends heartbeats meanwhile, and
// returns a subscription. If followers were refused instead, those of a fleet that starts
// all at once would reconnect in a loop and slow down the gateways that they wait for.
func (s *Service) subscribeWhenKnown(stream fleetwire.Fleet_FollowServer, heartbeat *time.Timer) (full discovery.Batch, changes <-chan discovery.Batch, cancel func(), err error) {
	for {
		full, changes, cancel = s.feed.Subscribe()
		if full.Full {
			return full, changes, cancel, nil
		}
		if err := stream.Send(s.update(full)); err != nil {
			return full, changes, cancel, err
		}
		heartbeat.Reset(s.timing.Heartbeat)
		select {
		case <-changes:
		case <-heartbeat.C:
		case <-stream.Context().Done():
			return full, changes, cancel, stream.Context().Err()
		}
		cancel()
	}
}

// update returns the message for a batch. An empty batch makes a heartbeat.
func (s *Service) update(b discovery.Batch) *fleetwire.Update {
	age, known := s.feed.Age()
	u := &fleetwire.Update{Full: b.Full && known, Era: b.Revision.Era, Revision: b.Revision.Number, AgeMs: millis(age), Known: known, Lost: s.feed.StoreUnreachable(), Withholds: s.feed.RetainsUnlisted()}
	u.Items, u.Packed = s.packer.pack(b)
	return u
}

func millis(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<31)) } //nolint:gosec // bounded

// Peer is a discovery.Source that follows another gateway.
type Peer struct {
	members *Members
	target  *fleetwire.Member
	timing  discovery.Timing
}

// Name returns the followed gateway's id.
func (p Peer) Name() string { return p.target.Id }

// Direct returns false: the data come from another gateway, not from the store.
func (p Peer) Direct() bool { return false }

var errNoStoreData = errors.New("gateway has no store data yet")

// Run delivers batches until the context ends, the stream fails or no update arrives
// in time. If the stream fails or an update is late, Run marks the gateway as suspect,
// but not if the gateway only has no store data yet.
func (p Peer) Run(ctx context.Context, _ discovery.Revision, deliver func(discovery.Batch)) error {
	conn, err := grpc.NewClient("passthrough:///"+p.target.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxUnpackedBytes)))
	if err != nil {
		return errors.Wrapf(err, "connect to %s", p.target.Address)
	}
	defer func() { _ = conn.Close() }()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(p.timing.FirstUpdateTimeout, cancel)
	defer silent.Stop()
	err = p.receive(limited, conn, silent, deliver)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !errors.Is(err, errNoStoreData) { // a gateway without data has just started and will have them soon
		p.members.Suspect(p.target.Id, time.Now())
	}
	return errors.Wrapf(err, "follow %s", p.target.Id)
}

// receive follows the gateway and delivers its updates. It restarts silent, which
// cancels ctx, with each update.
func (p Peer) receive(ctx context.Context, conn *grpc.ClientConn, silent *time.Timer, deliver func(discovery.Batch)) error {
	stream, err := fleetwire.NewFleetClient(conn).Follow(ctx, &fleetwire.FollowRequest{Self: p.members.Heartbeat()})
	if err != nil {
		return errors.WithStack(err)
	}
	u, err := p.receiveFirst(stream, silent)
	if err != nil {
		return err
	}
	for {
		silent.Reset(p.timing.UpdateTimeout)
		if u.GetLost() {
			p.members.MarkStoreUnreachable(p.target.Id, time.Now())
		}
		b, err := toBatch(u)
		if err != nil {
			return err
		}
		deliver(b)
		if u, err = stream.Recv(); err != nil {
			return errors.WithStack(err)
		}
		if !u.GetKnown() {
			return errors.WithStack(errNoStoreData)
		}
	}
}

// receiveFirst waits for the full update. It fails with errNoStoreData if the gateway
// answers but sends no full update within Timing.NoDataTimeout of its first answer.
func (p Peer) receiveFirst(stream fleetwire.Fleet_FollowClient, silent *time.Timer) (*fleetwire.Update, error) {
	for answered := false; ; answered = true {
		u, err := stream.Recv()
		switch {
		case err != nil && answered:
			return nil, errors.WithStack(errNoStoreData)
		case err != nil:
			return nil, errors.WithStack(err)
		case u.GetKnown() && u.GetFull():
			return u, nil
		case u.GetLost():
			p.members.MarkStoreUnreachable(p.target.Id, time.Now())
		}
		if !answered {
			silent.Reset(p.timing.NoDataTimeout)
		}
	}
}

func toBatch(u *fleetwire.Update) (discovery.Batch, error) {
	b := discovery.Batch{Full: u.GetFull(), Revision: discovery.Revision{Era: u.GetEra(), Number: u.GetRevision()}, RetainsUnlisted: u.GetWithholds(), Age: time.Duration(u.GetAgeMs()) * time.Millisecond}
	items, err := unpack(u)
	for _, item := range items {
		revision := discovery.Revision{Era: item.GetEra(), Number: item.GetRevision()}
		b.Items = append(b.Items, discovery.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: revision, Deleted: item.GetDeleted()})
	}
	return b, err
}

// Sources returns this gateway's roles with the gateways to follow. While no other
// gateway is known, a gateway that is a seed reads the store, and any other follows the
// seeds in random order.
func Sources(m *Members, seeds []string, timing discovery.Timing, now time.Time) discovery.Roles {
	roles := m.Roles(now)
	if len(roles.Sources) == 0 {
		return seedSources(m, seeds, timing)
	}
	p := discovery.Roles{
		ReadsStore: roles.ReadsStore, Leader: roles.Leader, LeaderConfirmedAt: roles.LeaderConfirmedAt,
		Turn: roles.Turn, Turns: roles.Turns, Members: m.LiveCount(now),
	}
	for _, target := range roles.Sources {
		p.Sources = append(p.Sources, Peer{members: m, target: target, timing: timing})
	}
	return p
}

func seedSources(m *Members, seeds []string, timing discovery.Timing) discovery.Roles {
	var p discovery.Roles
	for _, address := range seeds {
		if address == m.self.Address {
			return discovery.Roles{ReadsStore: true, Leader: true}
		}
		p.Sources = append(p.Sources, Peer{members: m, timing: timing, target: &fleetwire.Member{Id: "seed " + address, Address: address}})
	}
	rand.Shuffle(len(p.Sources), func(i, j int) { p.Sources[i], p.Sources[j] = p.Sources[j], p.Sources[i] })
	return p
}
