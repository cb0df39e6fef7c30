package shares

import "time"

// borrowAmount returns the number of tokens to request for an account, and the
// time from which the age of the grant is measured.
func (t *AccountTable) borrowAmount(key Key) (sent time.Duration, tokens float64) {
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.clock.Now()
	a, ok := s.accounts[key]
	if !ok {
		return now, 0
	}
	return now, a.bucket.BorrowAmount(now)
}

// receiveGrant adds granted tokens that were requested at the time sent to an
// account, unless the grant arrives too late or the burst was lowered since.
func (t *AccountTable) receiveGrant(key Key, sent time.Duration, tokens float64) {
	l, ok := t.limits.Load().lookup(key)
	if !ok {
		return
	}
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key]
	if !ok {
		return
	}
	if a.bucket.Receive(t.clock.Now(), sent, tokens, l.RateLimit) {
		borrowedTokens.Add(tokens)
	} else {
		lateTokens.Add(tokens)
	}
}

// finishBorrow ends a borrow for an account. Each borrow in a row that obtained
// nothing doubles the delay before the next one, up to maxBackoff.
func (t *AccountTable) finishBorrow(key Key, granted bool) {
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[key]
	if !ok {
		return
	}
	a.borrowing = false
	if granted {
		a.backoff = 0
		return
	}
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.borrowAfter = t.clock.Now() + a.backoff
}
