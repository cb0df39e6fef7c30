package peers

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/baobabstack/baobabstack/internal/peerwire"
)

const (
	exchangeEvery   = 500 * time.Millisecond
	exchangePeers   = 3
	exchangeTimeout = time.Second
)

// Exchange answers a peer's digest with this entry's.
func (s *Service) Exchange(ctx context.Context, in *peerwire.Digest) (*peerwire.Digest, error) {
	go s.pullNewer(context.WithoutCancel(ctx), in)
	return s.digest(), nil
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
	client, err := s.links.Client(address)
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
