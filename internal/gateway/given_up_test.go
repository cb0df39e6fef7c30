package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// Guards against a request that is passed on after it was given up: the checks of servers ended
// with its context, and a server was chosen without a check.
func TestRequestGivenUpDuringChecksIsNotPassedOn(t *testing.T) {
	backend := httptest.NewServer(http.NotFoundHandler())
	defer backend.Close()
	s := &settings.Gateway{}
	s.Entry = settings.Entry{ID: "entry-1", DataCentre: "a"}
	s.Budgets.ProbesPerSecond, s.Budgets.RetryRatio, s.Budgets.RetrySlack = 1000, 0.2, 10
	s.Budgets.RetryWindow = settings.Duration{Duration: 10 * time.Second}
	o := &Options{
		Settings: s, Members: fleet.NewMembers(&fleetwire.Member{Id: "entry-1"}), MaxBodyBytes: 1 << 20,
		Dialect: &upstream.Dialect{CallID: "Call-Id", Deadline: "Left", ExpectServer: "For", ServerID: "Server-Id", Load: "Load", NotRun: "Not-Run", Signature: "Signed", Leaving: "Leaving", ParseLoad: func(string) (upstream.Load, bool) { return upstream.Load{Slots: 6, Slowness: 1}, true }},
	}
	s.VM.MemoryMB = 284
	reg := newRegistry(o)
	table, err := routing.NewTable(1, nil, []routing.Service{{Name: "stock", HealthPath: "/health", MaxConnections: 260}}, routing.Limits{})
	assert.NilError(t, err)
	svc := reg.build(discovery.View{Table: table, Servers: []discovery.Server{{ID: "i-1", Service: "stock", Zone: "a", Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 6}}}, time.Now()).services["stock"]
	assert.Equal(t, len(svc.local), 1)
	d := &dispatcher{options: o, metrics: newCounters(), routes: make(map[string]*routeState)}
	lease, err := svc.local[0].server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err)
	lease.Release()
	ctx, cancel := context.WithCancelCause(context.Background())
	demand := placement.Demand{ServiceTime: time.Millisecond, Objective: time.Second, TimeLeft: time.Second}
	ls := d.chooseUnchecked(ctx, svc, demand, nil, time.Now())
	assert.Assert(t, ls != nil, "the server can be chosen")
	ls.release()
	cancel(errStopping)
	assert.Assert(t, d.chooseUnchecked(ctx, svc, demand, nil, time.Now()) == nil)
	assert.Assert(t, d.findServer(ctx, svc, demand, nil) == nil)
}
