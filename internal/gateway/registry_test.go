package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/settings"
)

func testRegistry() *registry {
	s := &settings.Gateway{}
	s.Entry = settings.Entry{ID: "entry-1", DataCentre: "a"}
	return newRegistry(&Options{Settings: s, Members: fleet.NewMembers(&fleetwire.Member{Id: "entry-1"}), Dialect: nil})
}

func testServers(n int) []discovery.Server {
	list := make([]discovery.Server, n)
	for i := range list {
		list[i] = discovery.Server{
			ID: fmt.Sprintf("i-%08x", i*2654435761), Service: "stock", Zone: string(rune('a' + i%3)),
			Address: fmt.Sprintf("127.1.%d.%d:80", i/250, i%250), Slots: 6, StartedMs: int64(i),
		}
	}
	return list
}

func testTable(b testing.TB) *routing.Table {
	table, err := routing.NewTable(1, nil, []routing.Service{{Name: "stock", HealthPath: "/health", MaxConnections: 260}}, routing.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	return table
}

// BenchmarkBuildWithManyServers builds a snapshot after one of many servers has changed.
func BenchmarkBuildWithManyServers(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := testRegistry()
			v := discovery.View{Table: testTable(b), Servers: testServers(n)}
			r.build(v, time.Now())
			b.ReportAllocs()
			for i := range b.N {
				v.Servers[i%n].StartedMs++
				r.build(v, time.Now())
			}
		})
	}
}

func serverIDs(list []*target) (ids []string) {
	for _, t := range list {
		ids = append(ids, t.info.ID)
	}
	return ids
}

func TestServersStillListedKeepStateAndOrder(t *testing.T) {
	r := testRegistry()
	v := discovery.View{Table: testTable(t), Servers: testServers(30)}
	before := r.build(v, time.Now()).services["stock"]
	assert.Equal(t, len(before.local), 10)
	assert.Equal(t, len(before.remote), 20)

	// The next view lists the servers in another order; one is missing and another has
	// restarted.
	slices.Reverse(v.Servers)
	removed, restarted := before.local[3], before.local[5]
	v.Servers = slices.DeleteFunc(v.Servers, func(s discovery.Server) bool { return s.ID == removed.info.ID })
	for i := range v.Servers {
		if v.Servers[i].ID == restarted.info.ID {
			v.Servers[i].StartedMs++
		}
	}
	after := r.build(v, time.Now()).services["stock"]
	assert.DeepEqual(t, serverIDs(after.local), slices.Delete(serverIDs(before.local), 3, 4))
	assert.DeepEqual(t, serverIDs(after.remote), serverIDs(before.remote))
	for i, kept := range after.local {
		old := before.local[(i+1)%10] // index 3 is the removed server
		if i < 3 {
			old = before.local[i]
		}
		assert.Equal(t, kept.server == old.server, kept.info.ID != restarted.info.ID, "%s", kept.info.ID)
	}
}

func TestConnectionLimitIsSharedAmongGateways(t *testing.T) {
	for _, test := range []struct{ all, gateways, want int }{
		{0, 10, 0},
		{260, 1, 208},
		{260, 17, 12},
		{260, 200, minConnections},
		{260, 0, 208},
	} {
		assert.Equal(t, connectionLimit(test.all, test.gateways), test.want, "%+v", test)
	}
}

// Guards against a gateway that keeps the connection limits of the moment at which a server
// was listed, when it knew few other gateways.
func TestConnectionLimitsFollowTheSizeOfTheFleet(t *testing.T) {
	r := testRegistry()
	r.options.Members.Merge([]*fleetwire.Member{{Id: "entry-2", Address: "127.0.0.2:1", Zone: "a", Incarnation: 1}}, time.Now())
	current := newLatestSnapshot(time.Now())
	v := discovery.View{Table: testTable(t), Servers: testServers(1)}
	current.set(r.build(v, time.Now()))
	server := current.get().services["stock"].local[0].server
	assert.Equal(t, server.ConnectionLimit(), connectionLimit(260, 2))
	for i := range 15 {
		id := fmt.Sprintf("entry-%d", 3+i)
		r.options.Members.Merge([]*fleetwire.Member{{Id: id, Address: id + ":1", Zone: "a", Incarnation: 1}}, time.Now())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = (&connectionLimiter{options: r.options, current: current}).Serve(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if limit := server.ConnectionLimit(); limit != connectionLimit(260, 17) {
			return poll.Continue("limit %d", limit)
		}
		return poll.Success()
	}, poll.WithTimeout(5*connectionLimitInterval))
}
