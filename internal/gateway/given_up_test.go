package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// Guards against a request that is passed on after it was given up: the checks of servers ended
// with its context, and a server was chosen without a check.
func TestRequestGivenUpDuringChecksIsNotPassedOn(t *testing.T) {
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Load", "x")
			return
		}
		ran.Add(1)
		time.Sleep(500 * time.Millisecond)
	}))
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
	for range 20 {
		var leases []*upstream.Lease
		for range 3 { // as calls that have just ended leave them
			lease, err := svc.local[0].server.Open(context.Background(), time.Second, time.Minute)
			assert.NilError(t, err)
			leases = append(leases, lease)
		}
		for _, l := range leases {
			l.Release()
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(5*time.Millisecond, func() { cancel(errStopping) })
		now := time.Now()
		r := &request{
			id: "c", route: &routing.Route{Name: "book", Attempts: 1, Objective: time.Second, Timeout: 3 * time.Second}, service: svc,
			call:     upstream.Call{ID: "c", Method: http.MethodPost, Target: "/book", Head: []byte("Host: a\r\nCall-Id: c\r\n")},
			received: now, deadline: now.Add(3 * time.Second), objectiveEnd: now.Add(time.Second), trace: &trace{}, answers: &answerBodies{},
		}
		assert.Equal(t, d.dispatch(ctx, r).status, http.StatusServiceUnavailable)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, ran.Load(), int64(0))
}
