// Package shares keeps this entry's shares of the customers' allowances and
// moves tokens between entries to where demand is.
package shares

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/share"
)

// Key names an account.
type Key struct {
	// Customer and Service are names of the operators' lists.
	Customer, Service string
}

// Limit is this entry's part of an allowance.
type Limit struct {
	// RateLimit bounds the rate.
	RateLimit share.RateLimit
	// Concurrency is the most calls in flight.
	Concurrency int
}

// LimitOf returns the part of one of at most so many entries.
func LimitOf(a lists.Allowance, entries int) Limit {
	return Limit{RateLimit: share.RateLimitPerEntry(a.Rate, a.Burst, entries), Concurrency: max(a.Concurrency/max(entries, 1), 1)}
}

const (
	shardCount = 64
	// MaxAccounts is the most accounts of a process.
	MaxAccounts = 1 << 18
	// minSweep is the least number of accounts added to a shard between sweeps.
	minSweep = 64
)

// AccountTable holds an account for each customer and service in use. It is safe for
// concurrent use.
type AccountTable struct {
	clock   clock.Clock
	started time.Duration
	seed    maphash.Seed
	shards  [shardCount]shard
	limits  atomic.Pointer[limits]
	asks    chan Key
}

type shard struct {
	mu       sync.Mutex
	accounts map[Key]*account
	added    int // accounts added since the last sweep
}

// account is one customer's share of one service; its shard's lock guards it.
type account struct {
	bucket   share.Bucket
	inFlight int
	// asking is true while the borrower has the account in hand.
	asking bool
	// askAfter is when peers may be asked again; backoff grows with refusals.
	askAfter time.Duration
	backoff  time.Duration
}

// limits is what the lists in force say, by customer name.
type limits struct {
	plans      map[string]string
	allowances *lists.Allowances
}

// asksLength bounds the accounts that wait for the borrower.
const asksLength = 1024

// NewAccountTable returns the book of a process that starts now.
func NewAccountTable(clk clock.Clock) *AccountTable {
	b := &AccountTable{clock: clk, started: clk.Now(), seed: maphash.MakeSeed(), asks: make(chan Key, asksLength)}
	for i := range b.shards {
		b.shards[i].accounts = make(map[Key]*account)
	}
	b.limits.Store(&limits{})
	return b
}

// AccrualDelay returns the time until the process accrues tokens of its own.
func (b *AccountTable) AccrualDelay() time.Duration { return max(b.started+share.HoldTime-b.clock.Now(), 0) }

func (b *AccountTable) shardOf(key Key) *shard {
	return &b.shards[maphash.Comparable(b.seed, key)%shardCount]
}

// account returns the account of a key, opened on first use, or nil if the
// shard is full. The shard's lock is held.
func (s *shard) account(key Key, l Limit, started, now time.Duration) *account {
	if a, ok := s.accounts[key]; ok {
		return a
	}
	if s.added >= max(minSweep, len(s.accounts)/2) || len(s.accounts) >= MaxAccounts/shardCount {
		s.sweep(now)
	}
	if len(s.accounts) >= MaxAccounts/shardCount {
		return nil
	}
	a := &account{bucket: share.NewBucket(l.RateLimit, started, now)}
	s.accounts[key] = a
	s.added++
	return a
}

// sweep forgets the accounts that would be opened again as they stand.
func (s *shard) sweep(now time.Duration) {
	s.added = 0
	for key, a := range s.accounts {
		if a.inFlight == 0 && !a.asking && a.bucket.Replaceable(now) {
			delete(s.accounts, key)
		}
	}
}

// Accounts returns the number of accounts in the book.
func (b *AccountTable) Accounts() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		n += len(s.accounts)
		s.mu.Unlock()
	}
	return n
}

// Reload puts the lists in force for every account.
func (b *AccountTable) Reload(plans *lists.Plans, allowances *lists.Allowances) {
	next := &limits{plans: make(map[string]string, len(plans.Customers)), allowances: allowances}
	for _, c := range plans.Customers {
		next.plans[c.Name] = c.Plan
	}
	b.limits.Store(next)
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		now := b.clock.Now()
		for key, a := range s.accounts {
			if l, ok := next.of(key); ok {
				a.bucket.Reload(now, l.RateLimit)
			}
		}
		s.mu.Unlock()
	}
}

// of returns the limit of a key; ok is false if the customer's plan does not
// name the service.
func (l *limits) of(key Key) (limit Limit, ok bool) {
	if l.allowances == nil {
		return Limit{}, false
	}
	a, ok := l.allowances.Plans[l.plans[key.Customer]][key.Service]
	return LimitOf(a, l.allowances.Entries), ok
}

var (
	lentTokens     = metrics.NewFloatCounter("baobab_tokens_lent_total")
	borrowedTokens = metrics.NewFloatCounter("baobab_tokens_borrowed_total")
	lateTokens     = metrics.NewFloatCounter("baobab_tokens_late_total")
	droppedAsks    = metrics.NewCounter("baobab_borrow_asks_dropped_total")
)
