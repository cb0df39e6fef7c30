// Package shares enforces this entry's share of each customer's allowance, and
// borrows tokens from other entries for accounts whose demand exceeds the share.
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

// Key identifies an account.
type Key struct {
	// Customer and Service are names from the operators' lists.
	Customer, Service string
}

// Limit is this entry's share of an allowance.
type Limit struct {
	// RateLimit is the rate and the burst of the token bucket.
	RateLimit share.RateLimit
	// Concurrency is the maximum number of calls in flight.
	Concurrency int
}

// LimitOf returns one entry's share of an allowance that is divided among at most
// the given number of entries. Concurrency is at least 1.
func LimitOf(a lists.Allowance, entries int) Limit {
	return Limit{RateLimit: share.RateLimitPerEntry(a.Rate, a.Burst, entries), Concurrency: max(a.Concurrency/max(entries, 1), 1)}
}

const (
	shardCount = 64
	// MaxAccounts is the maximum number of accounts in a table. Each shard holds
	// an equal part of it.
	MaxAccounts = 1 << 18
	// minAddedBeforeSweep is the minimum number of accounts added to a shard
	// between two sweeps, unless the shard is full.
	minAddedBeforeSweep = 64
)

// AccountTable holds an account for each customer and service in use. It is safe
// for concurrent use.
type AccountTable struct {
	clock       clock.Clock
	started     time.Duration
	seed        maphash.Seed
	shards      [shardCount]shard
	limits      atomic.Pointer[limits]
	borrowQueue chan Key
}

type shard struct {
	mu       sync.Mutex
	accounts map[Key]*account
	added    int // accounts added since the last sweep
}

// account is the share of one customer's allowance for one service. The shard's
// lock guards it.
type account struct {
	bucket   share.Bucket
	inFlight int
	// borrowing is true while the account is queued for borrowing or a borrow for
	// it is in progress.
	borrowing bool
	// borrowAfter is the earliest time of the next borrow. backoff is the current
	// delay, which doubles with each borrow that obtains nothing.
	borrowAfter time.Duration
	backoff     time.Duration
}

// limits holds the plan of each customer, by customer name, and the allowances of
// the plans, as the current lists have them.
type limits struct {
	plans      map[string]string
	allowances *lists.Allowances
}

// borrowQueueLength is the maximum number of accounts queued for borrowing.
const borrowQueueLength = 1024

// NewAccountTable returns the empty table of a process that starts now.
func NewAccountTable(clk clock.Clock) *AccountTable {
	t := &AccountTable{clock: clk, started: clk.Now(), seed: maphash.MakeSeed(), borrowQueue: make(chan Key, borrowQueueLength)}
	for i := range t.shards {
		t.shards[i].accounts = make(map[Key]*account)
	}
	t.limits.Store(&limits{})
	return t
}

// AccrualDelay returns the time until the buckets of the process begin to accrue
// tokens, 0 if they do already.
func (t *AccountTable) AccrualDelay() time.Duration {
	return max(t.started+share.HoldTime-t.clock.Now(), 0)
}

func (t *AccountTable) shardOf(key Key) *shard {
	return &t.shards[maphash.Comparable(t.seed, key)%shardCount]
}

// account returns the account of a key, which it creates on first use, or nil if
// the shard is full. The shard's lock must be held.
func (s *shard) account(key Key, l Limit, started, now time.Duration) *account {
	if a, ok := s.accounts[key]; ok {
		return a
	}
	if s.added >= max(minAddedBeforeSweep, len(s.accounts)/2) || len(s.accounts) >= MaxAccounts/shardCount {
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

// sweep deletes idle accounts whose bucket equals that of a new account.
func (s *shard) sweep(now time.Duration) {
	s.added = 0
	for key, a := range s.accounts {
		if a.inFlight == 0 && !a.borrowing && a.bucket.Replaceable(now) {
			delete(s.accounts, key)
		}
	}
}

// Accounts returns the number of accounts in the table.
func (t *AccountTable) Accounts() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.accounts)
		s.mu.Unlock()
	}
	return n
}

// Reload replaces the lists and applies the new limits to every account whose
// customer's plan still includes the service.
func (t *AccountTable) Reload(plans *lists.Plans, allowances *lists.Allowances) {
	next := &limits{plans: make(map[string]string, len(plans.Customers)), allowances: allowances}
	for _, c := range plans.Customers {
		next.plans[c.Name] = c.Plan
	}
	t.limits.Store(next)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		now := t.clock.Now()
		for key, a := range s.accounts {
			if l, ok := next.lookup(key); ok {
				a.bucket.Reload(now, l.RateLimit)
			}
		}
		s.mu.Unlock()
	}
}

// lookup returns the limit of a key; ok is false if the customer's plan does not
// include the service.
func (l *limits) lookup(key Key) (limit Limit, ok bool) {
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
	droppedBorrows = metrics.NewCounter("baobab_borrow_asks_dropped_total")
)
