package dispatch

import (
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/retry"
)

// budgets bounds the extra attempts of one service at this entry. It is safe for
// concurrent use.
type budgets struct {
	mu      sync.Mutex
	retries retry.Budget
	hedges  retry.Budget
	delay   retry.HedgeDelay
}

func newBudgets() *budgets {
	return &budgets{retries: retry.NewRetryBudget(), hedges: retry.NewHedgeBudget(), delay: retry.NewHedgeDelay()}
}

// call notes a call and returns the time after which it may be hedged.
func (b *budgets) call() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.RecordCall()
	b.hedges.RecordCall()
	return b.delay.Estimate()
}

// takeRetry reports whether another attempt may follow a failed one.
func (b *budgets) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Take()
}

// takeHedge reports whether a second attempt may run beside a slow one.
func (b *budgets) takeHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedges.Take()
}

// answered notes the latency of a call's first attempt.
func (b *budgets) answered(latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay.Observe(latency)
}
