package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/placement"
)

// counters holds the gateway's metrics.
type counters struct {
	sends            *metrics.Counter
	hedges           *metrics.Counter
	unansweredChecks *metrics.Counter
	lateChecks       *metrics.Counter
	overBudgetChecks *metrics.Counter
	givenUpAnswers   *metrics.Counter
	requestSeconds   *metrics.Histogram
}

func newCounters() *counters {
	return &counters{
		sends:            metrics.GetOrCreateCounter("baobabstack_gateway_sends_total"),
		hedges:           metrics.GetOrCreateCounter("baobabstack_gateway_hedges_total"),
		unansweredChecks: metrics.GetOrCreateCounter("baobabstack_gateway_unanswered_health_checks_total"),
		lateChecks:       metrics.GetOrCreateCounter("baobabstack_gateway_late_health_checks_total"),
		overBudgetChecks: metrics.GetOrCreateCounter("baobabstack_gateway_health_checks_over_budget_total"),
		givenUpAnswers:   metrics.GetOrCreateCounter("baobabstack_gateway_answers_given_up_for_memory_total"),
		requestSeconds:   metrics.GetOrCreateHistogram("baobabstack_gateway_request_seconds"),
	}
}

// countAnswer counts an answer and records how long the request took.
func (c *counters) countAnswer(status int, took time.Duration) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	c.requestSeconds.Update(took.Seconds())
}

// countLeftAlone counts a server that gets no calls for a time, by the reason.
func countLeftAlone(reason string) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_servers_left_alone_total{reason="` + reason + `"}`).Inc()
}

// reportEvacuated reports the number of data centres whose servers get nothing.
func reportEvacuated(n int) {
	metrics.GetOrCreateGauge("baobabstack_gateway_evacuated_data_centres", nil).Set(float64(n))
}

// countColdSend counts a request that is sent to a cold server.
func countColdSend(service string) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_cold_sends_total{service="` + service + `"}`).Inc()
}

// countWithheld counts a request that is not sent to the server chosen for it, because that is
// cold and it is not this gateway's turn.
func countWithheld(service string) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_cold_withheld_total{service="` + service + `"}`).Inc()
}

// reportRemoteFirst serves the share of a service's calls that look in other data centres first.
func reportRemoteFirst(service string, x *placement.Crossing) {
	metrics.GetOrCreateGauge(`baobabstack_gateway_remote_first_share{service="`+service+`"}`, func() float64 { return x.Share(time.Now()) })
}

// countRemoteSend counts a request that is sent to another data centre, by the reason.
func countRemoteSend(service, because string) {
	metrics.GetOrCreateCounter(`baobabstack_gateway_remote_sends_total{service="` + service + `",because="` + because + `"}`).Inc()
}

// countExtraSend counts an extra send that the service's retry budget allowed or refused.
func countExtraSend(service string, granted bool) {
	result := "over-budget"
	if granted {
		result = "granted"
	}
	metrics.GetOrCreateCounter(`baobabstack_gateway_extra_sends_total{service="` + service + `",result="` + result + `"}`).Inc()
}

// maxAuxBodyBytes bounds request bodies on the auxiliary listeners.
const maxAuxBodyBytes = 4 << 10

// auxListener serves one path on its own address: readiness or metrics.
type auxListener struct {
	name    string
	address string
	path    string
	handle  http.HandlerFunc
}

// Serve serves requests until the context ends. It returns an error if it can't listen
// on the address.
func (s auxListener) Serve(ctx context.Context) error {
	server, err := httpserver.Start(httpserver.Options{
		Name: s.name, Address: s.address, MaxBodyBytes: maxAuxBodyBytes,
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
