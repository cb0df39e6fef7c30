package fleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
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
	members := NewMembers(proto.CloneOf(self))
	members.Merge(all, time.Now())
	gossip := NewGossip(members, self.GossipAddress, func() []string { return nil })
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
		ActAsLeader: gossip.AnnounceLeader,
		Publish:     func(v discovery.View) { revision.Store(v.Revision.Number) },
	})
	go func() { _ = NewService(self.Address, members, follower, testTiming).Serve(ctx) }()
	go func() { _ = gossip.Serve(ctx) }()
	go func() { _ = follower.Serve(ctx) }()
	return &revision
}

// cuttableFleet is the gateways of one data centre, by rank, in a fleet of which the others are
// out of reach.
type cuttableFleet struct {
	store     *sharedStore
	links     []*storeLink
	revisions []*atomic.Uint64
}

// startCuttableFleet starts 31 gateways in a fleet of 124 and waits until all have data.
func startCuttableFleet(ctx context.Context, t *testing.T) *cuttableFleet {
	t.Helper()
	const near, elsewhere = 31, 93
	f := &cuttableFleet{store: &sharedStore{confirmed: make(chan struct{})}}
	f.store.revision.Store(7)
	var all []*fleetwire.Member
	for i := range near {
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
	for _, self := range all[:near] {
		link := &storeLink{sharedStore: f.store}
		f.links = append(f.links, link)
		f.revisions = append(f.revisions, startMember(ctx, self, all, link))
	}
	for begin := time.Now(); f.behind(7) > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begin) < 5*time.Second, "%d gateways have no data", f.behind(7))
	}
	time.Sleep(testTiming.WatchWait)
	return f
}

// behind returns the number of gateways that are not cut off and don't have a revision.
func (f *cuttableFleet) behind(revision uint64) (n int) {
	for i, link := range f.links {
		if !link.cut.Load() && f.revisions[i].Load() < revision {
			n++
		}
	}
	return n
}

// changeWhileCut cuts gateways off right after the store has confirmed the data, and checks that
// all others know a change that follows within the bound.
func (f *cuttableFleet) changeWhileCut(t *testing.T, cut ...int) {
	t.Helper()
	// callsPerSecond is what all gateways together may ask of the store while their leaders answer.
	const callsPerSecond = 30
	<-f.store.confirmed
	for _, i := range cut {
		f.links[i].cut.Store(true)
	}
	calls, changed := f.store.calls.Load(), time.Now()
	revision := f.store.revision.Add(1)
	for f.behind(revision) > 0 && time.Since(changed) < discovery.DefaultChangeBound {
		time.Sleep(time.Millisecond)
	}
	took, behind := time.Since(changed), f.behind(revision)
	calls = f.store.calls.Load() - calls
	t.Logf("after %s, with %d calls to the store, %d gateways don't know the change", took, calls, behind)
	assert.Equal(t, behind, 0)
	most := callsPerSecond * (discovery.DefaultChangeBound - testTiming.FollowerStaleAge).Seconds()
	assert.Assert(t, float64(calls) <= most, "%d calls, which must not grow with the fleet", calls)
}

// Guards against an old configuration, and work for servers that leave, at gateways whose leader
// answers them but is cut off from the store and from other data centres.
func TestChangeIsKnownInTimeBehindALeaderThatIsCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		cuts [][]int // one change after the other
	}{
		{"the leader", [][]int{{0}}},
		{"the leader and those whose turn comes first", [][]int{{0, 1, 2}}},
		{"the leader, then the one that acts in its place", [][]int{{0}, {1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := startCuttableFleet(ctx, t)
			for _, cut := range test.cuts {
				f.changeWhileCut(t, cut...)
			}
		})
	}
}
