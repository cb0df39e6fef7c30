package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// What a server has asked for belongs to one run of it: it outlasts a record that lapses and
// a new address, and a new run at the same address starts clean.
func TestStandingBelongsToARunOfAServer(t *testing.T) {
	r := testRegistry()
	r.options.Dialect = &upstream.Dialect{}
	table := testTable(t)
	now := time.Now()
	list := testServers(1)
	build := func(servers ...discovery.Server) *upstream.Standing {
		s := r.build(discovery.View{Table: table, Servers: servers}, now)
		for _, svc := range s.services {
			for _, targets := range [][]*target{svc.local, svc.remote} {
				for _, t := range targets {
					return t.server.Standing()
				}
			}
		}
		return nil
	}
	first := build(list[0])
	assert.Assert(t, build() == nil)
	assert.Assert(t, build(list[0]) == first, "the record came back")
	moved := list[0]
	moved.Address = "127.9.9.9:80"
	assert.Assert(t, build(moved) == first, "the same run at another address")
	again := list[0]
	again.StartedMs++
	assert.Assert(t, build(again) != first, "the server has started again")
	other := list[0]
	other.ID = "i-other"
	assert.Assert(t, build(other) != first, "another server at the address")
	build(list[0])
	now = now.Add(standingMemory + time.Second)
	build(other)
	assert.Assert(t, build(list[0]) == first, "its record lapsed just now, after the list had not changed for long")
	build(other)
	now = now.Add(standingMemory + time.Second)
	build(other)
	assert.Equal(t, len(r.standings), 1, "standings of servers that are long gone are dropped")
}

func TestClosedServiceTellsWhenTheFirstPauseEnds(t *testing.T) {
	now := time.Now()
	a, b := testTarget(), testTarget()
	s := &service{local: []*target{a}, remote: []*target{b}}
	_, closed := s.closedUntil(now)
	assert.Assert(t, !closed)
	_, closed = (&service{}).closedUntil(now)
	assert.Assert(t, closed, "a service without servers")
}
