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

const (
	// heartbeatInterval is the pause between two updates to a follower when nothing
	// changes.
	heartbeatInterval = 400 * time.Millisecond
	// updateTimeout is how long a follower waits for an update: two heartbeats and
	// a pause of the sender's processor. With the time to turn to another source
	// it stays well below the two seconds in which a leaving server must be known.
	updateTimeout = time.Second
	// firstUpdateTimeout is how long a follower waits for the first update, connecting
	// included: machines that start together are dark to each other for a moment.
	firstUpdateTimeout = 300 * time.Millisecond
	// knownTimeout is how long a follower waits for a gateway that answers and knows
	// nothing yet, before it tries another: a few calls to the store.
	knownTimeout = 300 * time.Millisecond
	// bufferBytes is the size of a link's buffers: a link carries a few small
	// messages a second.
	bufferBytes = 4 << 10
)

// Feed is what followers are told. Its methods are safe for concurrent use.
type Feed interface {
	// Subscribe returns all that is believed and a channel of changes, which is
	// closed if its reader is too slow. Cancel ends the subscription.
	Subscribe() (full discovery.Batch, changes <-chan discovery.Batch, cancel func())
	// Age returns how long ago the store confirmed that there is nothing newer;
	// ok is false if nothing is known.
	Age() (age time.Duration, ok bool)
	// RetainsUnlisted reports whether servers that the store no longer lists are kept.
	RetainsUnlisted() bool
	// Lost reports whether this gateway reads the store and gets no answer.
	Lost() bool
}

// Service offers what this gateway believes to others.
type Service struct {
	fleetwire.UnimplementedFleetServer
	address string
	members *Members
	feed    Feed
	packer  packer
}

// NewService returns the service on an address.
func NewService(address string, members *Members, feed Feed) *Service {
	return &Service{address: address, members: members, feed: feed, packer: packer{log: logs.For("fleet")}}
}

// Serve listens until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen for followers on %s", s.address)
	}
	server := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.ConnectionTimeout(updateTimeout))
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
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	full, changes, cancel, err := s.subscribeWhenKnown(stream, heartbeat)
	defer cancel()
	if err != nil {
		return err
	}
	if err := stream.Send(s.update(full)); err != nil {
		return err
	}
	for {
		b := discovery.Batch{}
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
		heartbeat.Reset(heartbeatInterval)
		if err := stream.Send(s.update(b)); err != nil {
			return err
		}
	}
}

// subscribeWhenKnown subscribes a follower, and lets it wait while nothing is known yet: a
// fleet that starts at once would else try again and again, and hold up those
// that it waits for.
func (s *Service) subscribeWhenKnown(stream fleetwire.Fleet_FollowServer, heartbeat *time.Timer) (full discovery.Batch, changes <-chan discovery.Batch, cancel func(), err error) {
	for {
		full, changes, cancel = s.feed.Subscribe()
		if full.Full {
			return full, changes, cancel, nil
		}
		if err := stream.Send(s.update(full)); err != nil {
			return full, changes, cancel, err
		}
		heartbeat.Reset(heartbeatInterval)
		select {
		case <-changes:
		case <-heartbeat.C:
		case <-stream.Context().Done():
			return full, changes, cancel, stream.Context().Err()
		}
		cancel()
	}
}

func (s *Service) update(b discovery.Batch) *fleetwire.Update {
	age, known := s.feed.Age()
	u := &fleetwire.Update{Full: b.Full && known, Revision: b.Revision, AgeMs: millis(age), Known: known, Lost: s.feed.Lost(), Withholds: s.feed.RetainsUnlisted()}
	u.Items, u.Packed = s.packer.pack(b)
	return u
}

func millis(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<31)) } //nolint:gosec // bounded

// Peer follows one other gateway. It implements discovery.Source.
type Peer struct {
	members *Members
	target  *fleetwire.Member
}

// Name returns the followed gateway's id.
func (p Peer) Name() string { return p.target.Id }

// Direct reports that news come from another gateway.
func (p Peer) Direct() bool { return false }

var errNothingKnown = errors.New("the gateway knows nothing yet")

// Run delivers batches until the context ends or the gateway falls silent.
func (p Peer) Run(ctx context.Context, _ uint64, deliver func(discovery.Batch)) error {
	conn, err := grpc.NewClient("passthrough:///"+p.target.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes))
	if err != nil {
		return errors.Wrapf(err, "connect to %s", p.target.Address)
	}
	defer func() { _ = conn.Close() }()
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(firstUpdateTimeout, cancel)
	defer silent.Stop()
	err = p.receive(limited, conn, silent, deliver)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !errors.Is(err, errNothingKnown) { // it has just started, and will know soon
		p.members.Suspect(p.target.Id, time.Now())
	}
	return errors.Wrapf(err, "follow %s", p.target.Id)
}

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
		silent.Reset(updateTimeout)
		if u.GetLost() {
			p.members.MarkStoreLost(p.target.Id, time.Now())
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
			return errors.WithStack(errNothingKnown)
		}
	}
}

// receiveFirst waits for the update that holds all the gateway knows. It fails with
// errNothingKnown if the gateway answers and knows nothing for knownAfter.
func (p Peer) receiveFirst(stream fleetwire.Fleet_FollowClient, silent *time.Timer) (*fleetwire.Update, error) {
	for answered := false; ; answered = true {
		u, err := stream.Recv()
		switch {
		case err != nil && answered:
			return nil, errors.WithStack(errNothingKnown)
		case err != nil:
			return nil, errors.WithStack(err)
		case u.GetKnown() && u.GetFull():
			return u, nil
		case u.GetLost():
			p.members.MarkStoreLost(p.target.Id, time.Now())
		}
		if !answered {
			silent.Reset(knownTimeout)
		}
	}
}

func toBatch(u *fleetwire.Update) (discovery.Batch, error) {
	b := discovery.Batch{Full: u.GetFull(), Revision: u.GetRevision(), RetainsUnlisted: u.GetWithholds(), Age: time.Duration(u.GetAgeMs()) * time.Millisecond}
	items, err := unpack(u)
	for _, item := range items {
		b.Items = append(b.Items, discovery.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetDeleted()})
	}
	return b, err
}

// Sources returns whom to hear from. While no gateway is known, seeds are followed,
// and a gateway that is a seed reads the store.
func Sources(m *Members, seeds []string, now time.Time) discovery.Peers {
	roles := m.Roles(now)
	if len(roles.Sources) == 0 {
		return seedSources(m, seeds)
	}
	p := discovery.Peers{Reader: roles.Reader, Leader: roles.Leader}
	for _, target := range roles.Sources {
		p.Sources = append(p.Sources, Peer{members: m, target: target})
	}
	return p
}

func seedSources(m *Members, seeds []string) discovery.Peers {
	var p discovery.Peers
	for _, address := range seeds {
		if address == m.self.Address {
			return discovery.Peers{Reader: true, Leader: true}
		}
		p.Sources = append(p.Sources, Peer{members: m, target: &fleetwire.Member{Id: "seed " + address, Address: address}})
	}
	rand.Shuffle(len(p.Sources), func(i, j int) { p.Sources[i], p.Sources[j] = p.Sources[j], p.Sources[i] })
	return p
}
