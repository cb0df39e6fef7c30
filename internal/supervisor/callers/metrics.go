package callers

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/view"
)

var callsInFlight = metrics.NewCounter("baobab_calls_in_flight")

// countCall notes how a call ended. The names of services are those of the
// allowances list, so that callers can't make metrics.
func countCall(snapshot *view.Snapshot, service string, a call.Answer, took time.Duration) {
	if snapshot.Allowances == nil {
		service = "none"
	} else if _, known := snapshot.Allowances.Services[service]; !known {
		service = "none"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("baobab_calls_total{service=%q,outcome=%q,reason=%q}", service, a.Outcome, a.Reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("baobab_call_seconds{service=%q}", service)).Update(took.Seconds())
}
