package shares

import (
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/share"
)

// Reason says why a call is beyond its customer's allowance.
type Reason string

// Reasons of a refusal.
const (
	// Rate means that no token is left.
	Rate Reason = "rate"
	// Concurrency means that the most calls are in flight.
	Concurrency Reason = "concurrency"
	// Memory means that the book is full.
	Memory Reason = "memory"
)

// Refusal says why a call may not run now.
type Refusal struct {
	// Reason is empty if the call may run.
	Reason Reason
	// RetryAfter is the time after which another call may be admitted.
	RetryAfter time.Duration
}

// concurrencyRetryAfter is the advice given when the most calls are in flight.
const concurrencyRetryAfter = 100 * time.Millisecond

// Reservation is one admitted call's part of an account. Exactly one of Release and
// Refund ends it.
type Reservation struct {
	book    *AccountTable
	shard   *shard
	account *account
}

// Admit takes a token and a place in flight for one call, or says why not.
func (b *AccountTable) Admit(key Key, l Limit) (Reservation, Refusal) {
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The clock is read under the lock, so that a process that slept before the
	// lock acts on the time after it.
	now := b.clock.Now()
	a := s.account(key, l, b.started, now)
	if a == nil {
		return Reservation{}, Refusal{Reason: Memory, RetryAfter: time.Second}
	}
	if a.inFlight >= l.Concurrency {
		return Reservation{}, Refusal{Reason: Concurrency, RetryAfter: concurrencyRetryAfter}
	}
	taken := a.bucket.Take(now, l.RateLimit)
	b.askIfLow(key, a, now)
	if !taken {
		return Reservation{}, Refusal{Reason: Rate, RetryAfter: a.bucket.Wait(now)}
	}
	a.inFlight++
	return Reservation{book: b, shard: s, account: a}, Refusal{}
}

// askIfLow hands the account to the borrower if its tokens run low.
func (b *AccountTable) askIfLow(key Key, a *account, now time.Duration) {
	if a.asking || now < a.askAfter || a.bucket.BorrowAmount(now) <= 0 {
		return
	}
	select {
	case b.asks <- key:
		a.asking = true
	default:
		droppedAsks.Inc()
	}
}

// Release ends a call that ran.
func (p Reservation) Release() {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.account.inFlight--
}

// Refund ends a call that no server saw and gives its token back.
func (p Reservation) Refund() {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.account.inFlight--
	p.account.bucket.Refund(p.book.clock.Now())
}

// Lend grants tokens of an account to a peer; 0 if there are none to spare.
func (b *AccountTable) Lend(key Key, ask share.RequestID, want float64) float64 {
	l, ok := b.limits.Load().of(key)
	if !ok || !(want > 0) {
		return 0
	}
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.Now()
	a := s.account(key, l, b.started, now)
	if a == nil {
		return 0
	}
	granted := a.bucket.Lend(now, ask, want, l.RateLimit)
	lentTokens.Add(granted)
	return granted
}
