package dispatch

import "github.com/VictoriaMetrics/metrics"

// Counters of attempts after the first one of a call.
var (
	retries              = metrics.NewCounter("baobab_retries_total")
	hedges               = metrics.NewCounter("baobab_hedges_total")
	extraAttemptsRefused = metrics.NewCounter("baobab_extra_attempts_refused_total")
)
