package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// plainDecoder takes "config" for a configuration and any other key for a server's record,
// which lists the server as leaving if it has a value.
type plainDecoder struct{}

func (plainDecoder) Table(item discovery.Item) (*routing.Table, bool, error) {
	if item.Key != "config" {
		return nil, false, nil
	}
	table, err := routing.NewTable(item.Revision.Number, nil, nil, routing.Limits{})
	return table, true, err
}

func (plainDecoder) Evacuation(discovery.Item) (string, bool, error) { return "", false, nil }

func (plainDecoder) Server(item discovery.Item) (discovery.Server, bool, error) {
	return discovery.Server{ID: item.Key, Leaving: len(item.Value) > 0}, true, nil
}

// changedStore is a store that holds one change which other gateways have not passed on.
type changedStore struct{ change discovery.Batch }

func (s *changedStore) Name() string { return "store" }
func (s *changedStore) Direct() bool { return true }

func (s *changedStore) Snapshot(ctx context.Context) (discovery.Batch, error) {
	<-ctx.Done()
	return discovery.Batch{}, ctx.Err()
}

func (s *changedStore) Run(ctx context.Context, _ discovery.Revision, deliver func(discovery.Batch)) error {
	deliver(s.change)
	<-ctx.Done()
	return ctx.Err()
}

// silentAddress returns an address that accepts connections and sends nothing, like a VM
// that has lost its power.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// startFollower starts a gateway with the least capacity that follows source, and whose
// other sources are silent. It returns the revision of its data once it follows source.
func startFollower(ctx context.Context, t *testing.T, source string, store discovery.Store) *atomic.Uint64 {
	t.Helper()
	members := NewMembers(testMember("f", "x", 1))
	others := []*fleetwire.Member{testMember("r", "x", 100), testMember("d1", "x", 90), testMember("d2", "x", 80), testMember("d3", "x", 70), testMember("d4", "x", 60)}
	others[0].Address = source
	for _, w := range others[1:] {
		w.Address = silentAddress(t)
	}
	members.Merge(others, time.Now())
	var revision atomic.Uint64
	follower := discovery.NewFollower(discovery.Options{
		Decoder: plainDecoder{}, Store: store, Timing: testTiming,
		Roles:             func(now time.Time) discovery.Roles { return Sources(members, nil, testTiming, now) },
		SetStoreReachable: func(bool, time.Time) {},
		Publish:           func(v discovery.View) { revision.Store(v.Revision.Number) },
	})
	go func() { _ = follower.Serve(ctx) }()
	for begin := time.Now(); revision.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 5*time.Second, "the follower has no data")
	}
	return &revision
}

// Guards against a stale configuration, and work for servers that leave, after the loss of
// many gateways: a gateway whose source lost power tried others that were lost too, one after
// the other, for longer than it had to learn of a change.
func TestGatewayThatLosesItsSourcesKnowsAChangeInTime(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	feed := &fakeFeed{
		full:    discovery.Batch{Full: true, Revision: discovery.Revision{Number: 7}, Items: []discovery.Item{{Key: "config", Revision: discovery.Revision{Number: 3}}, {Key: "s", Revision: discovery.Revision{Number: 7}}}},
		changes: make(chan discovery.Batch),
	}
	address, err := standin.FreeAddress()
	assert.NilError(t, err)
	go func() { _ = NewService(address, NewMembers(testMember("r", "x", 100)), feed, testTiming).Serve(ctx) }()
	relay, err := standin.NewRelay(address)
	assert.NilError(t, err)
	defer relay.Close()
	store := &changedStore{change: discovery.Batch{Revision: discovery.Revision{Number: 8}, Items: []discovery.Item{{Key: "s", Value: []byte("leaving"), Revision: discovery.Revision{Number: 8}}}}}
	revision := startFollower(ctx, t, relay.Address, store)
	time.Sleep(testTiming.Heartbeat)

	changed := time.Now() // the store has the change, and the source is lost before it hears of it
	relay.Silence()
	for revision.Load() < 8 && time.Since(changed) < 2*discovery.DefaultChangeBound {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(changed)
	t.Logf("the change was known after %s", took)
	assert.Assert(t, took < discovery.DefaultChangeBound)
}

// Guards against followers that stop following: large values that another writer left in the
// store made the full update larger than a message may be by default.
func TestFollowerTakesAnUpdateOfManyMegabytes(t *testing.T) {
	random := rand.NewChaCha8([32]byte{})
	feed := &fakeFeed{full: discovery.Batch{Full: true, Revision: discovery.Revision{Number: 7}}, changes: make(chan discovery.Batch)}
	for i := range 8 {
		value := make([]byte, 1<<20)
		_, _ = random.Read(value)
		feed.full.Items = append(feed.full.Items, discovery.Item{Key: strconv.Itoa(i), Value: value, Revision: discovery.Revision{Number: 7}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	address, err := standin.FreeAddress()
	assert.NilError(t, err)
	go func() { _ = NewService(address, NewMembers(testMember("r", "x", 100)), feed, testTiming).Serve(ctx) }()
	target := testMember("r", "x", 100)
	target.Address = address
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		items := 0
		runCtx, stop := context.WithCancel(ctx)
		err := Peer{members: NewMembers(testMember("f", "x", 1)), target: target, timing: testTiming}.Run(runCtx, discovery.Revision{}, func(b discovery.Batch) {
			items = len(b.Items)
			stop()
		})
		if items != len(feed.full.Items) {
			return poll.Continue("%d items: %v", items, err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
