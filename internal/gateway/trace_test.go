package gateway

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

func TestTraceStringShowsLoadBehindEachSend(t *testing.T) {
	now := time.Unix(1000, 0)
	leased := func(id string, c placement.Candidate, answeredAt time.Time) *leasedServer {
		return &leasedServer{target: &target{info: discovery.Server{ID: id}}, candidate: c, answeredAt: answeredAt}
	}
	var trace trace
	first := trace.addSend(leased("i-1", placement.Candidate{Running: 2, Unreported: 1, Waiting: 4, Slots: 6, Slowness: 1.5, FailureRate: 0.25}, now.Add(-1200*time.Microsecond)), now)
	trace.endSend(first, upstream.Result{Outcome: upstream.NotRun, Err: errors.New("full")})
	second := trace.addSend(leased("i-2", placement.Candidate{Slots: 6, Slowness: 1, Remote: true}, time.Time{}), now)
	trace.markHedge()
	trace.endSend(second, upstream.Result{Status: 200})
	assert.Equal(t, trace.String(), "i-1(load 3+4/6 x1.5 age 1.2ms failing 0.25)=not run: full; i-2(load 0+0/6 x1.0 guessed far hedge)=200")
}
