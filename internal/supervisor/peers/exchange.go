package peers

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/view"
)

const (
	exchangeEvery   = 500 * time.Millisecond
	exchangePeers   = 3
	exchangeTimeout = time.Second
)

// Exchange answers a peer's digest with this entry's. Newer lists are pulled
// from the sender only if it is in the VM list.
func (s *Service) Exchange(ctx context.Context, in *peerwire.Digest) (*peerwire.Digest, error) {
	snapshot := s.holder.Load()
	if listed(snapshot, in.GetAddress()) {
		s.received(snapshot, in)
		go s.pullNewer(context.WithoutCancel(ctx), in.GetAddress(), in)
	}
	return s.digest(), nil
}

func listed(snapshot *view.Snapshot, address string) bool {
	for _, vm := range snapshot.Peers {
		if vm.Address == address {
			return true
		}
	}
	return false
}

func (s *Service) digest() *peerwire.Digest {
	snapshot := s.holder.Load()
	d := &peerwire.Digest{Address: s.address, Incarnation: s.incarnation, Leaving: snapshot.Leaving, Versions: make(map[string]uint64)}
	for name, list := range snapshot.Lists {
		d.Versions[string(name)] = list.Version
	}
	return d
}

// received notes the time of a digest that is not behind this entry.
func (s *Service) received(snapshot *view.Snapshot, d *peerwire.Digest) {
	if d.GetVersions()[string(lists.VMsName)] >= snapshot.Lists[lists.VMsName].Version {
		s.digestAt.Store(int64(s.clock.Now()))
	}
}

// exchangeRound exchanges digests with a few random live peers.
func (s *Service) exchangeRound(ctx context.Context) {
	for _, address := range somePeers(s.holder.Load(), exchangePeers) {
		go s.exchangeWith(ctx, address)
	}
}

// somePeers returns up to n random live peers.
func somePeers(snapshot *view.Snapshot, n int) []string {
	var live []string
	for _, vm := range snapshot.Peers {
		if vm.State == lists.Live {
			live = append(live, vm.Address)
		}
	}
	mathrand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

func (s *Service) exchangeWith(ctx context.Context, address string) {
	reply, err := s.exchange(ctx, address)
	if err != nil {
		s.log.Debugf("exchange with %s: %v", address, err)
		return
	}
	s.offer(ctx, address, reply)
	s.pullNewer(ctx, address, reply)
}

// exchange sends this entry's digest to a peer and returns the peer's. A
// connection over which no answer comes in time is dropped, because it may have
// gone silent.
func (s *Service) exchange(ctx context.Context, address string) (*peerwire.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := s.links.Conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := peerwire.NewPeersClient(conn).Exchange(ctx, s.digest())
	if status.Code(err) == codes.DeadlineExceeded && !defect.On("config-silent-link") && s.links.Drop(address, conn) {
		journal.Note("peers", "link-dropped", address, "a digest was not answered within "+exchangeTimeout.String())
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.received(s.holder.Load(), reply)
	return reply, nil
}

// spread sends digests to a few peers as soon as a new version is in force.
func (s *Service) spread(ctx context.Context) {
	versions := make(map[lists.Name]uint64)
	for {
		updated := s.holder.Updated()
		if newer(versions, s.holder.Load()) {
			s.exchangeRound(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-updated:
		}
	}
}

// newer notes the versions in force and reports whether one of them rose.
func newer(versions map[lists.Name]uint64, snapshot *view.Snapshot) bool {
	rose := false
	for name, list := range snapshot.Lists {
		rose = rose || list.Version > versions[name]
		versions[name] = list.Version
	}
	return rose
}
