package dispatch

import "github.com/VictoriaMetrics/metrics"

// Counters of the attempts beyond the first one of each call.
var (
	retries      = metrics.NewCounter("baobab_retries_total")
	hedges       = metrics.NewCounter("baobab_hedges_total")
	extraRefused = metrics.NewCounter("baobab_extra_attempts_refused_total")
)
