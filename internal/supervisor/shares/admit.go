package shares

import (
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/share"
)

// Reason is the reason why Admit refused a call.
type Reason string

// Reasons for a refusal.
const (
	// Rate means that the token bucket has no whole token.
	Rate Reason = "rate"
	// Concurrency means that the limit of calls in flight is reached.
	Concurrency Reason = "concurrency"
	// Memory means that the table has no room for another account.
	Memory Reason = "memory"
)

// Refusal says why Admit refused a call. It is zero if the call was admitted.
type Refusal struct {
	// Reason is empty if there is no refusal.
	Reason Reason
	// RetryAfter is the time after which the caller may try again.
	RetryAfter time.Duration
}

// concurrencyRetryAfter is the RetryAfter of a refusal for Concurrency.
const concurrencyRetryAfter = 100 * time.Millisecond

// Reservation is the token and the concurrency slot that an admitted call holds.
// The holder must call exactly one of Release and Refund, once.
type Reservation struct {
	table   *AccountTable
	shard   *shard
	account *account
}

// Admit takes a token and a concurrency slot for one call. If the refusal has a
// Reason, the call is not admitted and the reservation must not be used.
func (t *AccountTable) Admit(key Key, l Limit) (Reservation, Refusal) {
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read the clock under the lock, so that the time is current even if the
	// process was suspended before it acquired the lock.
	now := t.clock.Now()
	a := s.account(key, l, t.started, now)
	if a == nil {
		return Reservation{}, Refusal{Reason: Memory, RetryAfter: time.Second}
	}
	if a.inFlight >= l.Concurrency {
		return Reservation{}, Refusal{Reason: Concurrency, RetryAfter: concurrencyRetryAfter}
	}
	taken := a.bucket.Take(now, l.RateLimit)
	t.queueBorrowIfLow(key, a, now)
	if !taken {
		return Reservation{}, Refusal{Reason: Rate, RetryAfter: a.bucket.Wait(now)}
	}
	a.inFlight++
	return Reservation{table: t, shard: s, account: a}, Refusal{}
}

// queueBorrowIfLow queues the account for borrowing if it is low on tokens. The
// shard's lock must be held.
func (t *AccountTable) queueBorrowIfLow(key Key, a *account, now time.Duration) {
	if a.borrowing || now < a.borrowAfter || a.bucket.BorrowAmount(now) <= 0 {
		return
	}
	select {
	case t.borrowQueue <- key:
		a.borrowing = true
	default:
		droppedBorrows.Inc()
	}
}

// Release returns the concurrency slot of a call and keeps its token spent.
func (r Reservation) Release() {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.account.inFlight--
}

// Refund returns the concurrency slot and the token of a call that reached no
// server.
func (r Reservation) Refund() {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.account.inFlight--
	r.account.bucket.Refund(r.table.clock.Now())
}

// Lend deducts up to the wanted number of tokens from an account for a peer and
// returns the number granted. It is 0 if the account has none to spare or the
// customer's plan does not include the service.
func (t *AccountTable) Lend(key Key, request share.RequestID, want float64) float64 {
	l, ok := t.limits.Load().lookup(key)
	if !ok || !(want > 0) {
		return 0
	}
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.clock.Now()
	a := s.account(key, l, t.started, now)
	if a == nil {
		return 0
	}
	granted := a.bucket.Lend(now, request, want, l.RateLimit)
	lentTokens.Add(granted)
	return granted
}
