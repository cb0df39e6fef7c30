package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

func testColdServer(size fleet.Size) *coldServer {
	c := newColdServer(0, true, func(time.Time) fleet.Size { return size })
	c.setRule(placement.ColdRule{Rate: 10, Overage: 2, Slack: 5})
	return c
}

// Guards against a process that has just started, or is cut off since, and takes the few
// gateways that it knows for the whole fleet: each such part would send as much as the fleet.
func TestColdServerGetsNothingFromAGatewayThatDoesNotKnowTheFleet(t *testing.T) {
	now := time.Now()
	for _, size := range []fleet.Size{{Gateways: 1, Local: 1}, {Gateways: 40, Local: 10}} {
		c := testColdServer(size)
		c.told(3*time.Second, now)
		for at := now; at.Before(now.Add(2900 * time.Millisecond)); at = at.Add(10 * time.Millisecond) {
			assert.Assert(t, !c.isOpen(at) && !c.claim(at))
		}
		assert.Assert(t, c.claim(now.Add(3*time.Second)), "it is warm")
	}
}

func TestColdServerGetsARequestInATurn(t *testing.T) {
	now := time.Now()
	c := testColdServer(fleet.Size{Gateways: 1, Local: 1, Known: true})
	for range 2 {
		assert.Assert(t, c.claim(now), "a warm server")
	}
	c.told(time.Minute, now)
	assert.Assert(t, c.claim(now))
	assert.Assert(t, !c.claim(now), "the turn is used")
	assert.Assert(t, c.claim(now.Add(time.Second)))
}

// Guards against a record that is older than what the server itself has said, and against a
// server that stays cold by its old record for good.
func TestServersOwnWordOutlastsAnOlderRecord(t *testing.T) {
	now := time.Now()
	c := testColdServer(fleet.Size{Gateways: 1, Local: 1, Known: true})
	c.told(3*time.Second, now)
	c.listed(0, now.Add(time.Second))
	assert.Assert(t, c.isCold(now.Add(2*time.Second)))
	assert.Assert(t, !c.isCold(now.Add(3*time.Second)))
	c.listed(3*time.Second, now.Add(5*time.Second))
	assert.Assert(t, c.isCold(now.Add(6*time.Second)), "cold again by its record")
	c.told(0, now.Add(6*time.Second))
	assert.Assert(t, !c.isCold(now.Add(6*time.Second)), "warm by its own word")
}

// Guards against requests that hold a snapshot from before the evacuation: their retries,
// hedges and queued ones must not go there either.
func TestEvacuationHoldsForRequestsWithAnOlderSnapshot(t *testing.T) {
	r := testRegistry()
	r.options.Dialect = &upstream.Dialect{}
	now := time.Now()
	v := discovery.View{Table: testTable(t), Servers: testServers(9)}
	before := r.build(v, now).services["stock"]
	assert.Equal(t, len(before.local)+len(before.remote), 9)

	v.Evacuated = map[string]bool{"a": true, "nowhere": true}
	during := r.build(v, now).services["stock"]
	assert.Equal(t, len(during.local), 0)
	assert.Equal(t, len(during.remote), 6)
	assert.Equal(t, during.evacuated, 3)
	for _, target := range before.local {
		assert.Assert(t, !target.available(now) && !target.claim(now))
		assert.Equal(t, target.restraint(0, 1, now), closed)
	}
	assert.Equal(t, len(leftOutTargets(before, nil, now)), 6)
	v.Servers[0].Slots++ // the record is written again meanwhile
	during = r.build(v, now).services["stock"]
	assert.Equal(t, during.evacuated, 3)

	v.Evacuated = nil
	after := r.build(v, now).services["stock"]
	assert.Equal(t, len(after.local), 3)
	assert.Assert(t, before.local[1].claim(now), "also with the older snapshot")
}

// testTarget returns a server that is warm and takes requests.
func testTarget() *target {
	return &target{
		server: upstream.NewServer(upstream.Options{Dialect: &upstream.Dialect{}}), evacuated: new(atomic.Bool),
		health: &health{}, cold: testColdServer(fleet.Size{Gateways: 1, Local: 1, Known: true}),
	}
}

// Guards against callers that wait for servers that may not be used.
func TestServiceWithEvacuatedServersOnlyIsClosed(t *testing.T) {
	now := time.Now()
	only := testTarget()
	s := &service{local: []*target{only}}
	_, closed := s.closedUntil(now)
	assert.Assert(t, !closed)
	only.evacuated.Store(true)
	until, closed := s.closedUntil(now)
	assert.Assert(t, closed && until.IsZero())
}
