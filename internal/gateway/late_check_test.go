package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/upstream"
)

// Guards against connections that are closed because a health check is answered behind large
// answers on the VM's link, or because the request that sent the check has ended meanwhile.
func TestLateHealthCheckKeepsItsConnection(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * checkTimeout)
		w.Header().Set("Load", "0")
	}))
	defer backend.Close()
	target := testTarget()
	target.server = upstream.NewServer(upstream.Options{
		Address: strings.TrimPrefix(backend.URL, "http://"), HealthPath: "/health", MaxBodyBytes: 1 << 10,
		Dialect: &upstream.Dialect{Load: "Load", ParseLoad: func(string) (upstream.Load, bool) { return upstream.Load{Slots: 1, Slowness: 1}, true }},
	})
	defer target.server.Close()
	d := &dispatcher{metrics: newCounters()}
	svc := &service{state: &serviceState{}}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), checkTimeout/2)
		ls := d.checkTarget(ctx, svc, target)
		cancel()
		assert.Assert(t, ls != nil, "the late answer is used")
		assert.Assert(t, !target.health.inBackoff(time.Now()), "the server is well again")
		ls.release()
	}
	opened, _ := target.server.Counts()
	assert.Equal(t, opened, 1)
}
