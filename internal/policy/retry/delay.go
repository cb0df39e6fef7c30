package retry

import "time"

const (
	// hedgeQuantile is the quantile of latency that HedgeDelay estimates.
	hedgeQuantile = 0.95
	// initialDelay is the estimate before the first observation.
	initialDelay = 50 * time.Millisecond
	// minDelay is the lower bound of the estimate.
	minDelay = time.Millisecond
	// relativeStep scales each change of the estimate, relative to its value.
	relativeStep = 0.05
)

// HedgeDelay estimates the quantile of latency after which a call is hedged (Dean
// and Barroso, "The Tail at Scale", CACM 2013) by stochastic approximation: each
// latency above the estimate raises it and each one below lowers it, in
// proportions that balance at the quantile. It is not safe for concurrent use.
type HedgeDelay struct {
	estimate float64 // nanoseconds
}

// NewHedgeDelay returns an estimate without observations, at initialDelay.
func NewHedgeDelay() HedgeDelay { return HedgeDelay{estimate: float64(initialDelay)} }

// Observe records the latency of a first attempt, or how long it had run when
// another attempt was answered first.
func (d *HedgeDelay) Observe(latency time.Duration) {
	if float64(latency) > d.estimate {
		d.estimate *= 1 + relativeStep*hedgeQuantile
		return
	}
	d.estimate = max(d.estimate*(1-relativeStep*(1-hedgeQuantile)), float64(minDelay))
}

// Estimate returns the current estimate of the quantile.
func (d *HedgeDelay) Estimate() time.Duration { return time.Duration(d.estimate) }
