package dispatch

import (
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/retry"
)

// budgets limits the retries and hedges of this entry's calls to one service. It is
// safe for concurrent use.
type budgets struct {
	mu         sync.Mutex
	retries    retry.Budget
	hedges     retry.Budget
	hedgeDelay retry.HedgeDelay
}

func newBudgets() *budgets {
	return &budgets{retries: retry.NewRetryBudget(), hedges: retry.NewHedgeBudget(), hedgeDelay: retry.NewHedgeDelay()}
}

// recordCall adds a call to the budgets and returns the delay before its first hedge.
func (b *budgets) recordCall() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.RecordCall()
	b.hedges.RecordCall()
	return b.hedgeDelay.Estimate()
}

// takeRetry takes a retry from the budget. It returns false if none is left.
func (b *budgets) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Take()
}

// takeHedge takes a hedge from the budget. It returns false if none is left.
func (b *budgets) takeHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedges.Take()
}

// observeLatency adds the latency of an answered call to the estimate that the
// hedge delay is derived from.
func (b *budgets) observeLatency(latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeDelay.Observe(latency)
}
