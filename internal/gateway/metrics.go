package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/httpserver"
)

// counters are the gateway's own metrics.
type counters struct {
	sends   *metrics.Counter
	hedges  *metrics.Counter
	silent  *metrics.Counter
	unasked *metrics.Counter
	took    *metrics.Histogram
}

func newCounters() *counters {
	return &counters{
		sends:   metrics.GetOrCreateCounter("baobabstack_gateway_sends_total"),
		hedges:  metrics.GetOrCreateCounter("baobabstack_gateway_hedges_total"),
		silent:  metrics.GetOrCreateCounter("baobabstack_gateway_unanswered_health_checks_total"),
		unasked: metrics.GetOrCreateCounter("baobabstack_gateway_health_checks_over_budget_total"),
		took:    metrics.GetOrCreateHistogram("baobabstack_gateway_request_seconds"),
	}
}

func (c *counters) answered(status int, took time.Duration) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	c.took.Update(took.Seconds())
}

// maxProbeBody bounds the requests of the small listeners.
const maxProbeBody = 4 << 10

// small runs a listener for checks and metrics.
type small struct {
	name    string
	address string
	path    string
	handle  http.HandlerFunc
}

// Serve listens until the context ends.
func (s small) Serve(ctx context.Context) error {
	server, err := httpserver.Start(httpserver.Options{
		Name: s.name, Address: s.address, MaxBodyBytes: maxProbeBody,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != s.path {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			s.handle(w, r)
		}),
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	server.Stop()
	return ctx.Err()
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }
