// Package peers runs the gRPC service between entries and the exchange of
// digests, by which list versions spread.
package peers

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

const (
	exchangeEvery   = 500 * time.Millisecond
	exchangePeers   = 3
	exchangeTimeout = time.Second
	pullTimeout     = 2 * time.Second
	incarnationSize = 16
)

// Service runs the peers' listener and the exchange of digests.
type Service struct {
	peerwire.UnimplementedPeersServer
	address     string
	incarnation []byte
	holder      *view.Holder
	control     *control.Control
	log         logs.Logger

	mu    sync.Mutex
	links map[string]*grpc.ClientConn
}

// NewService returns the peers' service of the entry with the given address.
func NewService(address string, holder *view.Holder, c *control.Control) *Service {
	incarnation := make([]byte, incarnationSize)
	_, _ = rand.Read(incarnation)
	return &Service{
		address: address, incarnation: incarnation, holder: holder, control: c,
		log: logs.For("peers"), links: make(map[string]*grpc.ClientConn),
	}
}

// Serve listens and exchanges digests until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "peers: listen on %s", s.address)
	}
	server := grpc.NewServer()
	peerwire.RegisterPeersServer(server, s)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer server.Stop()
	s.log.Infof("listen on %s", listener.Addr())
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return errors.Wrap(err, "peers: serve")
		case <-ticker.C:
			s.exchangeRound(ctx)
		}
	}
}

// Exchange answers a peer's digest with this entry's.
func (s *Service) Exchange(ctx context.Context, in *peerwire.Digest) (*peerwire.Digest, error) {
	go s.pullNewer(context.WithoutCancel(ctx), in)
	return s.digest(), nil
}

// Pull returns a list in force.
func (s *Service) Pull(_ context.Context, in *peerwire.PullRequest) (*peerwire.PullReply, error) {
	list := s.holder.Load().Lists[lists.Name(in.GetList())]
	if list.Version <= in.GetNewerThan() {
		return &peerwire.PullReply{}, nil
	}
	return &peerwire.PullReply{Version: list.Version, Body: list.Body}, nil
}

func (s *Service) digest() *peerwire.Digest {
	snapshot := s.holder.Load()
	d := &peerwire.Digest{Address: s.address, Incarnation: s.incarnation, Leaving: snapshot.Leaving, Versions: make(map[string]uint64)}
	for name, list := range snapshot.Lists {
		d.Versions[string(name)] = list.Version
	}
	return d
}

func (s *Service) exchangeRound(ctx context.Context) {
	peers := s.holder.Load().Peers
	for _, i := range mathrand.Perm(len(peers))[:min(exchangePeers, len(peers))] {
		go s.exchangeWith(ctx, peers[i].Address)
	}
}

func (s *Service) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client, err := s.client(address)
	if err != nil {
		return
	}
	reply, err := client.Exchange(ctx, s.digest())
	if err != nil {
		s.log.Debugf("exchange with %s: %v", address, err)
		return
	}
	s.pullNewer(ctx, reply)
}

// pullNewer pulls the lists of which the digest's sender holds newer versions.
func (s *Service) pullNewer(ctx context.Context, d *peerwire.Digest) {
	held := s.holder.Load().Lists
	for _, name := range lists.Names() {
		if d.GetVersions()[string(name)] <= held[name].Version {
			continue
		}
		if err := s.pull(ctx, d.GetAddress(), name, held[name].Version); err != nil {
			s.log.Debugf("pull %s from %s: %v", name, d.GetAddress(), err)
		}
	}
}

func (s *Service) pull(ctx context.Context, address string, name lists.Name, newerThan uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := s.client(address)
	if err != nil {
		return err
	}
	reply, err := client.Pull(ctx, &peerwire.PullRequest{List: string(name), NewerThan: newerThan})
	if err != nil {
		return errors.WithStack(err)
	}
	if reply.GetVersion() > 0 {
		s.control.Send(control.ListArrived{Name: name, Version: reply.GetVersion(), Body: reply.GetBody(), Source: address})
	}
	return nil
}

// client returns the link to a peer, opened on first use.
func (s *Service) client(address string) (peerwire.PeersClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if link, ok := s.links[address]; ok {
		return peerwire.NewPeersClient(link), nil
	}
	link, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.links[address] = link
	return peerwire.NewPeersClient(link), nil
}
