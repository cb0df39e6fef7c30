// Package peers runs the gRPC service between entries and the exchange of
// digests, by which list versions spread.
package peers

import (
	"context"
	"crypto/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
	"github.com/baobabstack/baobabstack/internal/view"
)

const (
	incarnationSize = 16
	stopTimeout     = time.Second
)

// enforcement lets peers send keepalives as often as they do.
var enforcement = keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}

// Service runs the peers' listener and the exchange of digests.
type Service struct {
	peerwire.UnimplementedPeersServer
	identity    *Identity
	address     string
	incarnation []byte
	holder      *view.Holder
	control     *control.Control
	links       *Links
	pulls       pulls
	clock       clock.Clock
	digestAt    atomic.Int64 // clock time of the latest useful digest, in nanoseconds
	owned       *Owned
	maxBytes    int
	book        *shares.AccountTable
	log         logs.Logger
}

// NewService returns the peers' service of the entry with the given address.
// Forwarded calls have bodies of at most maxBodyBytes.
func NewService(address string, holder *view.Holder, c *control.Control, links *Links, owned *Owned, maxBodyBytes int) *Service {
	incarnation := make([]byte, incarnationSize)
	_, _ = rand.Read(incarnation)
	s := &Service{
		address: address, incarnation: incarnation, holder: holder, control: c,
		links: links, owned: owned, maxBytes: messageBytes(maxBodyBytes), clock: clock.Boot{}, log: logs.For("peers"),
	}
	s.digestAt.Store(int64(s.clock.Now()))
	return s
}

// Secure makes the listener use mutual TLS. It must be called before Serve.
func (s *Service) Secure(i *Identity) { s.identity = i }

// Serve listens and exchanges digests until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "peers: listen on %s", s.address)
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(s.maxBytes), grpc.KeepaliveEnforcementPolicy(enforcement), grpc.StatsHandler(byteCounter{}),
	}
	if s.identity != nil {
		options = append(options, grpc.Creds(s.identity.Credentials()), grpc.ChainUnaryInterceptor(listedOnly(s.holder)))
	}
	server := grpc.NewServer(options...)
	peerwire.RegisterPeersServer(server, s)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer stop(server)
	s.log.Infof("listen on %s", listener.Addr())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.ask(ctx)
	go s.spread(ctx)
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return errors.Wrap(err, "peers: serve")
		case <-ticker.C:
			s.links.Keep(s.holder.Load().Peers, s.clock.Now())
			s.exchangeRound(ctx)
		}
	}
}

// DigestAge returns the time since a peer sent a digest whose VM list was at
// least as new as this entry's.
func (s *Service) DigestAge() time.Duration {
	return s.clock.Now() - time.Duration(s.digestAt.Load())
}

// stop lets answers that are ready go out before the connections close.
func stop(server *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}
