// Package retry limits retries and hedged attempts. Its functions are pure: time
// is an argument.
package retry

// The budgets of one service at one entry.
const (
	// retriesPerCall is the number of retries that each call adds to the budget.
	retriesPerCall = 0.1
	// retryBurst is the maximum number of retries that can accumulate.
	retryBurst = 10.0
	// hedgesPerCall is the number of hedged attempts that each call adds.
	hedgesPerCall = 0.05
	// hedgeBurst is the maximum number of hedged attempts that can accumulate.
	hedgeBurst = 5.0
)

// Budget is a token bucket that each call refills by a fixed amount, which limits
// extra attempts to a fixed ratio of the calls. It is not safe for concurrent use.
type Budget struct {
	perCall, burst, tokens float64
}

// NewBudget returns a budget of perCall extra attempts per call, of which at most
// burst can accumulate. It starts with start attempts available.
func NewBudget(perCall, burst, start float64) Budget {
	return Budget{perCall: perCall, burst: burst, tokens: start}
}

// NewRetryBudget returns the budget of attempts after a rejection. It starts full
// so that a new entry can retry a rejected call at another server.
func NewRetryBudget() Budget { return NewBudget(retriesPerCall, retryBurst, retryBurst) }

// NewHedgeBudget returns the budget of hedged attempts, which run concurrently
// with a slow first attempt. It starts empty.
func NewHedgeBudget() Budget { return NewBudget(hedgesPerCall, hedgeBurst, 0) }

// RecordCall adds one call's part of an extra attempt to the budget.
func (b *Budget) RecordCall() { b.tokens = min(b.tokens+b.perCall, b.burst) }

// Take reports whether an extra attempt is allowed, and deducts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
