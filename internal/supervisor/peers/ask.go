package peers

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	mathrand "math/rand/v2"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
)

const (
	// askBound is how long a new entry asks for a peer that holds lists before it
	// takes those of the configuration service as they are.
	askBound = 3 * time.Second
	askEvery = 250 * time.Millisecond
	// askPeers bounds the peers that are asked, and askSources the peers from
	// which one list is tried.
	askPeers   = 64
	askSources = 3
)

// holding is a peer's answer to a new entry.
type holding struct {
	address string
	digest  *peerwire.Digest
}

// ask pulls what peers hold before a new entry is ready, so that an old copy of
// the configuration service can't bring back an old list. It ends early if each
// peer has answered that it holds nothing or has no process that listens.
func (s *Service) ask(ctx context.Context) {
	if !s.waitForVMs(ctx) {
		return
	}
	answered := 0
	if !defect.On("config-pull-before-ready") {
		answered = s.askUntilBound(ctx)
	}
	for ctx.Err() == nil && !s.control.Send(control.PeersAsked{Answered: answered}) {
		sleep(ctx, askEvery)
	}
}

func (s *Service) waitForVMs(ctx context.Context) bool {
	for {
		updated := s.holder.Updated()
		if s.holder.Load().VMs != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-updated:
		}
	}
}

// askUntilBound returns the number of peers that answered with lists.
func (s *Service) askUntilBound(ctx context.Context) int {
	end := s.clock.Now() + askBound
	for {
		answers, unknown := s.askAll(ctx)
		if len(answers) > 0 {
			s.pullHighest(ctx, answers)
			return len(answers)
		}
		if unknown == 0 || ctx.Err() != nil {
			return 0
		}
		if s.clock.Now() >= end {
			s.log.Warnf("no peer with lists answered within %s and %d may hold some; take the lists of the configuration service", askBound, unknown)
			return 0
		}
		sleep(ctx, askEvery)
	}
}

// askAll asks peers for their digests. It returns the answers of those that hold
// lists, and the number of peers of which nothing is known.
func (s *Service) askAll(ctx context.Context) (answers []holding, unknown int) {
	var mu sync.Mutex
	var asked sync.WaitGroup
	peers := slices.Clone(s.holder.Load().Peers)
	mathrand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, vm := range peers[:min(len(peers), askPeers)] {
		asked.Go(func() {
			digest, err := s.exchange(ctx, vm.Address)
			silent := err != nil && !refusesConnections(ctx, vm.Address)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case silent:
				unknown++
			case len(digest.GetVersions()) > 0:
				answers = append(answers, holding{address: vm.Address, digest: digest})
			}
		})
	}
	asked.Wait()
	return answers, unknown
}

// refusesConnections reports whether the host answers that no process listens.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// pullHighest pulls the highest version of each list from the peers that hold it.
func (s *Service) pullHighest(ctx context.Context, answers []holding) {
	for _, name := range lists.Names() {
		version := func(h holding) uint64 { return h.digest.GetVersions()[string(name)] }
		sources := slices.Clone(answers)
		slices.SortStableFunc(sources, func(a, b holding) int { return cmp.Compare(version(b), version(a)) })
		for _, source := range sources[:min(len(sources), askSources)] {
			held := s.holder.Load().Lists[name].Version
			if version(source) <= held || s.pull(ctx, source.address, name, held) == nil {
				break
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
