// Package retry bounds the attempts that an entry makes beyond the first one of
// each call. Its decisions are pure: time is an argument.
package retry

// Shares and bursts of the budgets of one service at one entry.
const (
	retryShare = 0.1
	retryBurst = 10.0
	hedgeShare = 0.05
	hedgeBurst = 5.0
)

// Budget is a token bucket that calls fill, so that extra attempts stay a fixed
// share of the calls. It is not safe for concurrent use.
type Budget struct {
	share, most, tokens float64
}

// NewBudget returns a budget of share extra attempts a call, of which at most
// burst come at once. It starts with the given number of them.
func NewBudget(share, burst, start float64) Budget {
	return Budget{share: share, most: burst, tokens: start}
}

// NewRetryBudget returns the budget of attempts after a rejection. It starts full, so
// that a new entry can also move a call away from a server that rejects it.
func NewRetryBudget() Budget { return NewBudget(retryShare, retryBurst, retryBurst) }

// NewHedgeBudget returns the budget of second attempts beside a slow first one.
func NewHedgeBudget() Budget { return NewBudget(hedgeShare, hedgeBurst, 0) }

// RecordCall notes a call.
func (b *Budget) RecordCall() { b.tokens = min(b.tokens+b.share, b.most) }

// Take reports whether an extra attempt may be made, and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
