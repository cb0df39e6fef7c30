package shares

import "time"

// want returns the tokens that an account should ask for, and the time by which
// a grant's age counts.
func (b *AccountTable) want(key Key) (sent time.Duration, tokens float64) {
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.Now()
	a, ok := s.accounts[key]
	if !ok {
		return now, 0
	}
	return now, a.bucket.BorrowAmount(now)
}

// receive adds a grant to an account if it is not too old.
func (b *AccountTable) receive(key Key, sent time.Duration, tokens float64) {
	l, ok := b.limits.Load().of(key)
	if !ok {
		return
	}
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key]
	if !ok {
		return
	}
	if a.bucket.Receive(b.clock.Now(), sent, tokens, l.RateLimit) {
		borrowedTokens.Add(tokens)
	} else {
		lateTokens.Add(tokens)
	}
}

// asked notes that the borrower is done with an account. After an ask that got
// nothing it waits longer each time before the next.
func (b *AccountTable) asked(key Key, granted bool) {
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key]
	if !ok {
		return
	}
	a.asking = false
	if granted {
		a.backoff = 0
		return
	}
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.askAfter = b.clock.Now() + a.backoff
}
