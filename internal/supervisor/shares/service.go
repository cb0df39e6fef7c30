package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Lender asks another entry for tokens.
type Lender interface {
	// Borrow sends one request to the peer at the address.
	Borrow(ctx context.Context, address string, in *peerwire.BorrowRequest) (*peerwire.BorrowReply, error)
}

const (
	// BorrowRequestsPerSecond is the most requests a second that an entry sends to peers;
	// asksBurst is how many may come at once.
	BorrowRequestsPerSecond = 20
	asksBurst     = 40
	// asksAtOnce bounds the requests in flight.
	asksAtOnce = 8
	// peersPerAsk bounds the peers that are asked one after the other.
	peersPerAsk = 2
	// minBackoff and maxBackoff bound the pause after an ask that got nothing.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// silentFor is how long a peer that did not answer is not asked.
	silentFor = time.Second
	// pollEvery is how often the lists in force are looked at.
	pollEvery = 50 * time.Millisecond
)

// Service borrows tokens for the accounts that run low, under supervision.
type Service struct {
	book        *AccountTable
	holder      *view.Holder
	lender      Lender
	clock       clock.Clock
	usable      func() bool
	incarnation uint64
	sequence    atomic.Uint64
	limiter     *rate.Limiter
	atOnce      chan struct{}
	log         logs.Logger

	mu     sync.Mutex
	silent map[string]time.Duration // until when a peer is not asked
}

// NewService returns the borrower of a book. It calls usable until that returns
// true, once the book's tokens can be used.
func NewService(book *AccountTable, holder *view.Holder, lender Lender, clk clock.Clock, usable func() bool) *Service {
	return &Service{
		book: book, holder: holder, lender: lender, clock: clk, usable: usable,
		incarnation: rand.Uint64(), limiter: rate.NewLimiter(BorrowRequestsPerSecond, asksBurst),
		atOnce: make(chan struct{}, asksAtOnce), silent: make(map[string]time.Duration), log: logs.For("shares"),
	}
}

// Serve follows the lists in force and borrows until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	var seen *view.Snapshot
	told := false
	for {
		if snapshot := s.holder.Load(); snapshot != seen {
			s.reload(seen, snapshot)
			seen = snapshot
		}
		if !told && s.book.AccrualDelay() == 0 {
			told = s.usable()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case key := <-s.book.asks:
			s.start(ctx, key)
		}
	}
}

func (s *Service) reload(old, snapshot *view.Snapshot) {
	if snapshot.Plans == nil || snapshot.Allowances == nil {
		return
	}
	if old != nil && old.Plans == snapshot.Plans && old.Allowances == snapshot.Allowances {
		return
	}
	s.book.Reload(snapshot.Plans, snapshot.Allowances)
}

// start asks for an account's tokens unless too many requests were sent.
func (s *Service) start(ctx context.Context, key Key) {
	select {
	case s.atOnce <- struct{}{}:
	default:
		s.book.asked(key, false)
		return
	}
	go func() {
		defer func() { <-s.atOnce }()
		s.book.asked(key, s.ask(ctx, key))
	}()
}

// ask asks a few peers, one after the other, and reports whether one lent.
func (s *Service) ask(ctx context.Context, key Key) bool {
	for _, peer := range s.peers() {
		if !s.limiter.Allow() {
			asksLimited.Inc()
			return false
		}
		if s.askPeer(ctx, key, peer) {
			return true
		}
	}
	return false
}

// peers returns some peers at random that are live and not silent.
func (s *Service) peers() []string {
	all := s.holder.Load().Peers
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []string
	for _, i := range rand.Perm(len(all)) {
		vm := all[i]
		if vm.State != lists.Live || now < s.silent[vm.Address] {
			continue
		}
		if chosen = append(chosen, vm.Address); len(chosen) == peersPerAsk {
			break
		}
	}
	return chosen
}

func (s *Service) askPeer(ctx context.Context, key Key, address string) bool {
	sent, want := s.book.want(key)
	if want <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, share.TransferTimeout)
	defer cancel()
	reply, err := s.lender.Borrow(ctx, address, &peerwire.BorrowRequest{
		Customer: key.Customer, Service: key.Service, Tokens: want,
		Incarnation: s.incarnation, Sequence: s.sequence.Add(1),
	})
	if err != nil {
		asksFailed.Inc()
		s.log.Debugf("borrow from %s: %v", address, err)
		s.silence(address)
		return false
	}
	if !(reply.GetTokens() > 0) {
		asksRefused.Inc()
		return false
	}
	asksGranted.Inc()
	s.book.receive(key, sent, min(reply.GetTokens(), want))
	return true
}

// silence notes that a peer did not answer, and forgets those whose time is up.
func (s *Service) silence(address string) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, until := range s.silent {
		if until <= now {
			delete(s.silent, other)
		}
	}
	s.silent[address] = now + silentFor
}

var (
	asksGranted = metrics.NewCounter(`baobab_borrow_requests_total{result="granted"}`)
	asksRefused = metrics.NewCounter(`baobab_borrow_requests_total{result="refused"}`)
	asksFailed  = metrics.NewCounter(`baobab_borrow_requests_total{result="failed"}`)
	asksLimited = metrics.NewCounter(`baobab_borrow_requests_total{result="over-budget"}`)
)
