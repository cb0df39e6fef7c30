package httpserver

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are a listener's metrics.
type counters struct {
	name        string
	connections *metrics.Counter
}

func newCounters(name string) counters {
	return counters{name: name, connections: metrics.GetOrCreateCounter(fmt.Sprintf("baobab_connections{listener=%q}", name))}
}

// refused counts what the guard refused, by reason.
func (c counters) refused(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("baobab_refused_requests_total{listener=%q,reason=%q}", c.name, reason)).Inc()
}
