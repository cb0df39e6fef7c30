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

// Lender sends requests for tokens to other entries.
type Lender interface {
	// Borrow sends one request to the peer at the address and returns its reply.
	Borrow(ctx context.Context, address string, in *peerwire.BorrowRequest) (*peerwire.BorrowReply, error)
}

const (
	// BorrowRequestsPerSecond is the maximum rate of requests that an entry sends
	// to peers, in requests per second; borrowRequestBurst is the maximum burst.
	BorrowRequestsPerSecond = 20
	borrowRequestBurst      = 40
	// maxConcurrentBorrows is the maximum number of borrows in flight.
	maxConcurrentBorrows = 8
	// maxPeersPerBorrow is the maximum number of peers tried in turn for one borrow.
	maxPeersPerBorrow = 2
	// minBackoff and maxBackoff bound the delay after a borrow that obtained nothing.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// unresponsivePause is how long a peer is sent no request after one to it failed.
	unresponsivePause = time.Second
	// pollInterval is the interval at which Serve checks for new lists.
	pollInterval = 50 * time.Millisecond
)

// Service borrows tokens for the accounts that are low on them. The supervisor runs
// its Serve method.
type Service struct {
	table        *AccountTable
	holder       *view.Holder
	lender       Lender
	clock        clock.Clock
	reportUsable func() bool
	incarnation  uint64
	sequence     atomic.Uint64
	limiter      *rate.Limiter
	inFlight     chan struct{}
	log          logs.Logger

	mu           sync.Mutex
	unresponsive map[string]time.Duration // by peer address, the time until which no request is sent to it
}

// NewService returns the service that borrows tokens for a table. Once the table's
// buckets accrue tokens, Serve calls reportUsable repeatedly until it returns true.
func NewService(table *AccountTable, holder *view.Holder, lender Lender, clk clock.Clock, reportUsable func() bool) *Service {
	return &Service{
		table: table, holder: holder, lender: lender, clock: clk, reportUsable: reportUsable,
		incarnation: rand.Uint64(), limiter: rate.NewLimiter(BorrowRequestsPerSecond, borrowRequestBurst),
		inFlight: make(chan struct{}, maxConcurrentBorrows), unresponsive: make(map[string]time.Duration), log: logs.For("shares"),
	}
}

// Serve applies new lists to the table and borrows tokens until the context is
// done. It returns the context's error.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var seen *view.Snapshot
	reported := false
	for {
		if snapshot := s.holder.Load(); snapshot != seen {
			s.reload(seen, snapshot)
			seen = snapshot
		}
		if !reported && s.table.AccrualDelay() == 0 {
			reported = s.reportUsable()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case key := <-s.table.borrowQueue:
			s.startBorrow(ctx, key)
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
	s.table.Reload(snapshot.Plans, snapshot.Allowances)
}

// startBorrow borrows for an account in the background. If maxConcurrentBorrows are
// in flight already, it sends no request and the account backs off.
func (s *Service) startBorrow(ctx context.Context, key Key) {
	select {
	case s.inFlight <- struct{}{}:
	default:
		s.table.finishBorrow(key, false)
		return
	}
	go func() {
		defer func() { <-s.inFlight }()
		s.table.finishBorrow(key, s.borrow(ctx, key))
	}()
}

// borrow sends requests to a few peers in turn until one lends or the account needs
// no more tokens. It returns false if neither happened.
func (s *Service) borrow(ctx context.Context, key Key) bool {
	for _, peer := range s.choosePeers() {
		if !s.limiter.Allow() {
			borrowsLimited.Inc()
			return false
		}
		if s.borrowFrom(ctx, key, peer) {
			return true
		}
	}
	return false
}

// choosePeers returns the addresses of up to maxPeersPerBorrow random peers that are
// live and not marked unresponsive.
func (s *Service) choosePeers() []string {
	all := s.holder.Load().Peers
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []string
	for _, i := range rand.Perm(len(all)) {
		vm := all[i]
		if vm.State != lists.Live || now < s.unresponsive[vm.Address] {
			continue
		}
		if chosen = append(chosen, vm.Address); len(chosen) == maxPeersPerBorrow {
			break
		}
	}
	return chosen
}

// borrowFrom requests tokens from one peer. It reports whether the peer lent any or
// the account needs no more.
func (s *Service) borrowFrom(ctx context.Context, key Key, address string) bool {
	sent, want := s.table.borrowAmount(key)
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
		borrowsFailed.Inc()
		s.log.Debugf("borrow from %s: %v", address, err)
		s.markUnresponsive(address)
		return false
	}
	if !(reply.GetTokens() > 0) {
		borrowsRefused.Inc()
		return false
	}
	borrowsGranted.Inc()
	s.table.receiveGrant(key, sent, min(reply.GetTokens(), want))
	return true
}

// markUnresponsive records that a request to a peer failed, and deletes the expired
// records of other peers.
func (s *Service) markUnresponsive(address string) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, until := range s.unresponsive {
		if until <= now {
			delete(s.unresponsive, other)
		}
	}
	s.unresponsive[address] = now + unresponsivePause
}

var (
	borrowsGranted = metrics.NewCounter(`baobab_borrow_requests_total{result="granted"}`)
	borrowsRefused = metrics.NewCounter(`baobab_borrow_requests_total{result="refused"}`)
	borrowsFailed  = metrics.NewCounter(`baobab_borrow_requests_total{result="failed"}`)
	borrowsLimited = metrics.NewCounter(`baobab_borrow_requests_total{result="over-budget"}`)
)
