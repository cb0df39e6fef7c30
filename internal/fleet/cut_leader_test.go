package fleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/discovery"
	"github.com/baobabstack/baobabstack/internal/fleetwire"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// sharedStore is a store that many gateways read. Its revision is 7 and then 8.
type sharedStore struct {
	revision atomic.Uint64
	calls    atomic.Int64 // sessions that were begun
	// confirmed receives a value with each confirmation of a session that is not cut off.
	confirmed chan struct{}
}

// storeLink is a gateway's way to the store. While it is cut, calls end without an answer.
type storeLink struct {
	*sharedStore
	cut atomic.Bool
}

func (l *storeLink) Name() string { return "store" }
func (l *storeLink) Direct() bool { return true }

func (l *storeLink) Snapshot(ctx context.Context) (discovery.Batch, error) {
	<-ctx.Done()
	return discovery.Batch{}, ctx.Err()
}

func (l *storeLink) Run(ctx context.Context, _ discovery.Revision, deliver func(discovery.Batch)) error {
	l.calls.Add(1)
	for known, timeout := uint64(0), testTiming.ReadTimeout; ; timeout = testTiming.WatchWait + testTiming.WatchMargin {
		if l.cut.Load() {
			return waitAndFail(ctx, timeout)
		}
		revision := l.revision.Load()
		full := discovery.Batch{Full: true, Revision: discovery.Revision{Number: revision}}
		if revision != known {
			full.Items = []discovery.Item{{Key: "config", Revision: full.Revision}, {Key: "s", Revision: full.Revision}}
			deliver(full)
		} else {
			deliver(discovery.Batch{})
		}
		known = revision
		select {
		case l.confirmed <- struct{}{}:
		default:
		}
		for begin := time.Now(); time.Since(begin) < testTiming.WatchWait && !l.cut.Load() && l.revision.Load() == known; {
			time.Sleep(2 * time.Millisecond)
		}
	}
}

func waitAndFail(ctx context.Context, timeout time.Duration) error {
	select {
	case <-time.After(timeout):
		return errors.New("no answer")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startMember starts what a gateway needs to follow others and be followed. The returned value
// is the revision of its data.
func startMember(ctx context.Context, self *fleetwire.Member, all []*fleetwire.Member, store discovery.Store) *atomic.Uint64 {
	members := NewMembers(self)
	members.Merge(all, time.Now())
	var revision atomic.Uint64
	follower := discovery.NewFollower(discovery.Options{
		Decoder: plainDecoder{}, Store: store, Timing: testTiming,
		Roles: func(now time.Time) discovery.Roles { return Sources(members, nil, testTiming, now) },
		SetStoreReachable: func(reachable bool, now time.Time) {
			if reachable {
				members.ClearStoreUnreachable()
			} else {
				members.MarkStoreUnreachable(self.Id, now)
			}
		},
		Publish: func(v discovery.View) { revision.Store(v.Revision.Number) },
	})
	go func() { _ = NewService(self.Address, members, follower, testTiming).Serve(ctx) }()
	go func() { _ = NewGossip(members, self.GossipAddress, func() []string { return nil }).Serve(ctx) }()
	go func() { _ = follower.Serve(ctx) }()
	return &revision
}

// Guards against an old configuration, and work for servers that leave, at gateways whose leader
// answers them but is cut off from the store and from other data centres.
func TestChangeIsKnownInTimeBehindALeaderThatIsCutOff(t *testing.T) {
	const (
		followers, elsewhere = 30, 93
		// callsPerSecond is what all gateways together may ask of the store while their leaders answer.
		callsPerSecond = 30
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &sharedStore{confirmed: make(chan struct{})}
	store.revision.Store(7)
	var all []*fleetwire.Member
	for i := range followers + 1 {
		m := testMember("x"+strconv.Itoa(i), "x", uint32(100-i))
		for _, address := range []*string{&m.Address, &m.GossipAddress} {
			free, err := standin.FreeAddress()
			assert.NilError(t, err)
			*address = free
		}
		all = append(all, m)
	}
	silent := silentAddress(t)
	for i := range elsewhere {
		m := testMember("y"+strconv.Itoa(i), string("yz"[i%2]), 99)
		m.Address, m.GossipAddress = silent, "127.0.0.1:9"
		all = append(all, m)
	}
	links, revisions := make([]*storeLink, followers+1), make([]*atomic.Uint64, followers+1)
	for i := range links {
		links[i] = &storeLink{sharedStore: store}
		revisions[i] = startMember(ctx, all[i], all, links[i])
	}
	known := func(want uint64) (n int) {
		for _, revision := range revisions[1:] {
			if revision.Load() >= want {
				n++
			}
		}
		return n
	}
	for begin := time.Now(); known(7) < followers; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 5*time.Second, "%d of %d gateways have data", known(7), followers)
	}
	time.Sleep(testTiming.WatchWait)

	<-store.confirmed // the store has just confirmed the leader's data
	links[0].cut.Store(true)
	calls := store.calls.Load()
	changed := time.Now()
	store.revision.Store(8)
	for known(8) < followers && time.Since(changed) < discovery.DefaultChangeBound {
		time.Sleep(time.Millisecond)
	}
	calls = store.calls.Load() - calls
	t.Logf("%d of %d gateways know the change after %s, with %d calls to the store", known(8), followers, time.Since(changed), calls)
	assert.Equal(t, known(8), followers)
	assert.Assert(t, float64(calls) <= callsPerSecond*(discovery.DefaultChangeBound-testTiming.FollowerStaleAge).Seconds(), "the calls must not grow with the fleet")
}
