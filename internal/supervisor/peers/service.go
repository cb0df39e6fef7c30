// Package peers runs the gRPC service between entries and the exchange of
// digests, by which list versions spread.
package peers

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

const incarnationSize = 16

// Service runs the peers' listener and the exchange of digests.
type Service struct {
	peerwire.UnimplementedPeersServer
	address     string
	incarnation []byte
	holder      *view.Holder
	control     *control.Control
	links       *Links
	log         logs.Logger
}

// NewService returns the peers' service of the entry with the given address.
func NewService(address string, holder *view.Holder, c *control.Control, links *Links) *Service {
	incarnation := make([]byte, incarnationSize)
	_, _ = rand.Read(incarnation)
	return &Service{
		address: address, incarnation: incarnation, holder: holder, control: c,
		links: links, log: logs.For("peers"),
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
			s.links.Keep(s.holder.Load().Peers)
			s.exchangeRound(ctx)
		}
	}
}
