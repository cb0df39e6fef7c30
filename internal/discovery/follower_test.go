package discovery

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeSource is a source whose batches and failures a test controls.
type fakeSource struct {
	name     string
	direct   bool
	mu       sync.Mutex
	runs     []Revision // that the runs were to resume from
	full     Batch
	failure  error
	failures chan error
	changes  chan Batch
	// retainsUnlisted is RetainsUnlisted of each batch without items.
	retainsUnlisted bool
	// age is the Age of each batch.
	age time.Duration
	// snapshots counts the calls of Snapshot.
	snapshots int
	// mute makes Run deliver nothing.
	mute bool
}

func newFakeSource(name string, direct bool) *fakeSource {
	return &fakeSource{
		name: name, direct: direct, failures: make(chan error, 1), changes: make(chan Batch, 8),
		full: Batch{Full: true, Revision: at(10), Items: []Item{put("config", "3", 2), put("s/a", "up", 4)}},
	}
}

func (s *fakeSource) Name() string { return s.name }
func (s *fakeSource) Direct() bool { return s.direct }

func (s *fakeSource) Snapshot(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return s.full, s.failure
}

func (s *fakeSource) Run(ctx context.Context, resume Revision, deliver func(Batch)) error {
	s.mu.Lock()
	s.runs = append(s.runs, resume)
	failure, full, failures := s.failure, s.full, s.failures
	s.mu.Unlock()
	if failure != nil {
		return failure
	}
	full.Age = s.age
	if s.mute {
		<-ctx.Done()
		return ctx.Err()
	}
	if resume == (Revision{}) {
		deliver(full)
	}
	for {
		select {
		case b := <-s.changes:
			deliver(b)
		case <-time.After(20 * time.Millisecond):
			deliver(Batch{RetainsUnlisted: s.retainsUnlisted, Age: s.age})
		case err := <-failures:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fail makes the source fail with err, or work again if err is nil.
func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
	if err != nil {
		s.failures <- err
	}
}

func (s *fakeSource) resumeRevisions() []Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Revision(nil), s.runs...)
}

// harness runs a Follower and records what it reports.
type harness struct {
	follower  *Follower
	mu        sync.Mutex
	view      View
	roles     Roles
	reachable []bool
}

func (h *harness) servers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.view.Servers)
}

func startFollower(t *testing.T, store *fakeSource, roles Roles) *harness {
	t.Helper()
	h := &harness{roles: roles}
	h.follower = NewFollower(Options{
		Decoder: textDecoder{}, Store: store,
		Roles: func(time.Time) Roles {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.roles
		},
		SetStoreReachable: func(reachable bool, _ time.Time) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.reachable = append(h.reachable, reachable)
		},
		Publish: func(v View) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.view = v
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.follower.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

// waitFor waits up to three seconds for a condition to hold.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(3*time.Second))
}

var errDown = errors.New("down")

func TestReaderFollowsTheStore(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
	store.changes <- Batch{Revision: at(11), Items: []Item{put("s/b", "up", 11)}}
	waitFor(t, "changed", func() bool { return h.servers() == 2 })
}

func TestNonReaderFollowsItsFirstPeerWithoutTheStore(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	h := startFollower(t, store, Roles{Sources: []Source{peer}})
	waitFor(t, "listed", func() bool { return h.servers() == 1 && len(peer.resumeRevisions()) == 1 })
	peer.changes <- Batch{Revision: at(11), Items: []Item{put("s/b", "up", 11)}}
	waitFor(t, "changed", func() bool { return h.servers() == 2 })
	assert.Equal(t, len(store.resumeRevisions()), 0)
}

func TestEntryStartsFromAPeerWhileTheStoreIsAway(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	store.failure = errDown
	h := startFollower(t, store, Roles{Sources: []Source{peer}})
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
}

func TestReaderReportsAnUnreachableStoreAtOnce(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
	_, changes, cancel := h.follower.Subscribe()
	defer cancel()
	store.fail(errDown)
	waitFor(t, "subscribers are notified", func() bool {
		select {
		case <-changes:
			return h.follower.StoreUnreachable()
		default:
			return false
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, h.reachable[len(h.reachable)-1], false)
}

func TestFailedPeersMakeAGatewayReadTheStore(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	h := startFollower(t, store, Roles{Leader: true, Sources: []Source{peer}})
	waitFor(t, "listed", func() bool { return len(peer.resumeRevisions()) == 1 && h.servers() == 1 })
	peer.fail(errDown)
	waitFor(t, "the store is read", func() bool { return len(store.resumeRevisions()) > 0 })
}

// A gateway that followed another resumes the watch of the store from the revision it
// has reached, which costs the store little, unless the other gateway retained servers
// that the store no longer lists: the watch would not report their deletion.
func TestStoreIsWatchedFromWhereAPeerEnded(t *testing.T) {
	for _, test := range []struct {
		name            string
		retainsUnlisted bool
		resume          Revision
	}{{"nothing retained", false, at(10)}, {"servers retained", true, Revision{}}} {
		t.Run(test.name, func(t *testing.T) {
			store, peer := newFakeSource("store", true), newFakeSource("peer", false)
			peer.retainsUnlisted, peer.full.RetainsUnlisted = test.retainsUnlisted, test.retainsUnlisted
			h := startFollower(t, store, Roles{Leader: true, Sources: []Source{peer}})
			waitFor(t, "listed", func() bool { return len(peer.resumeRevisions()) == 1 && h.servers() == 1 })
			assert.Equal(t, h.follower.RetainsUnlisted(), test.retainsUnlisted)
			peer.fail(errDown)
			waitFor(t, "the store is read", func() bool { return len(store.resumeRevisions()) > 0 })
			assert.Equal(t, store.resumeRevisions()[0], test.resume)
		})
	}
}

// Gateways disagree on who is the reader while the store answers none of them. Each
// has to retry the store itself, or a change is known too late after its recovery.
func TestEveryEntryTriesAStoreThatIsAway(t *testing.T) {
	const recoveryBound = 2 * time.Second // a configuration must be in force by then
	timing := NewTiming(recoveryBound)
	for _, test := range []struct {
		roles Roles
		pause time.Duration
	}{
		{Roles{}, timing.FollowerRetry},
		{Roles{Leader: true}, timing.LeaderRetry},
		{Roles{ReadsStore: true}, storeBackoffMax},
	} {
		store, peer := newFakeSource("store", true), newFakeSource("peer", false)
		f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
		f.apply(peer.full, time.Now())
		f.confirmedAt.Store(int64(f.clock.Now() - time.Hour))
		now := time.Now()
		for try := range 20 {
			begin := now
			for f.nextSource(now, test.roles) == nil {
				now = now.Add(10 * time.Millisecond)
			}
			assert.Assert(t, now.Sub(begin) <= min(test.pause, recoveryBound), "%+v: try %d after %s", test.roles, try, now.Sub(begin))
			f.sessionFailed(&session{source: store, cancel: func() {}}, errDown, now)
		}
	}
}

func TestFailingPeersAreRetriedWithBackoff(t *testing.T) {
	first, second := newFakeSource("first", false), newFakeSource("second", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: newFakeSource("store", true), SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	roles := Roles{Sources: []Source{first, second}}
	now := time.Now()
	tries := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if source := f.nextSource(now, roles); source != nil {
			tries++
			f.sessionFailed(&session{source: source, cancel: func() {}}, errDown, now)
		}
	}
	assert.Assert(t, tries <= 2*4+int(10*time.Second/peerBackoffMax)+1, "%d tries in 10 s", tries)
}

func TestWatchResumesFromTheLastRevisionAfterAFailure(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 && len(store.resumeRevisions()) == 1 })
	store.fail(errDown)
	store.fail(nil)
	waitFor(t, "resumed", func() bool {
		runs := store.resumeRevisions()
		return runs[len(runs)-1] == at(10)
	})
}

func TestLostHistoryCausesAFullRead(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 && len(store.resumeRevisions()) == 1 })
	store.mu.Lock()
	store.full = Batch{Full: true, Revision: at(30), Items: []Item{put("config", "3", 2), put("s/x", "up", 29), put("s/y", "up", 30)}}
	store.mu.Unlock()
	store.fail(ErrHistoryLost)
	store.fail(nil)
	waitFor(t, "full batch read", func() bool { return h.servers() == 2 })
}

// Guards against an evacuation without end at one gateway: it had read the store itself, the
// evacuation was taken back, and its leader, which had lost its watch, listed the store after that
// and so had no change to pass on.
func TestFollowerAheadOfItsLeaderLearnsWhatALeadersListingLacks(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 && len(store.resumeRevisions()) == 1 })
	full, changes, cancel := h.follower.Subscribe()
	defer cancel()
	ahead := NewState(textDecoder{})
	ahead.Apply(full, startTime)
	ahead.Apply(Batch{Revision: at(20), Items: []Item{put("evacuate/x", "{}", 20)}}, startTime)
	store.mu.Lock()
	store.full.Revision = at(30)
	store.mu.Unlock()
	store.fail(ErrHistoryLost)
	store.fail(nil)
	waitFor(t, "the evacuation ends", func() bool {
		select {
		case b := <-changes:
			ahead.Apply(b, startTime)
		default:
		}
		return len(ahead.Evacuated()) == 0
	})
	assert.Equal(t, serverIDs(ahead), "a")
}

func TestSlowSubscriberIsDropped(t *testing.T) {
	store := newFakeSource("store", true)
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
	full, changes, cancel := h.follower.Subscribe()
	defer cancel()
	assert.Assert(t, full.Full)
	for range subscriberBuffer + 1 {
		h.follower.broadcast(Batch{})
	}
	for range subscriberBuffer {
		<-changes
	}
	_, open := <-changes
	assert.Assert(t, !open)
}

// A store that answers no one for five seconds: the leaders keep trying, and what the other
// gateways try must not grow with the fleet. All of them can still reach their leader, whose
// data are as old as theirs.
func TestStoreCallsInAnOutageDoNotGrowWithTheFleet(t *testing.T) {
	const (
		outage = 5 * time.Second
		step   = 20 * time.Millisecond
		bound  = 200 // about 30 tries a second, once the data are too old
	)
	for _, fleet := range []int{18, 110, 472, 1738} {
		store, leader := newFakeSource("store", true), newFakeSource("leader", false)
		roles := Roles{Sources: []Source{leader}, Members: fleet}
		tries := 0
		for i := range fleet {
			f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
			f.apply(leader.full, time.Now())
			f.staleJitter = float64(i) / float64(fleet)
			begin := time.Now()
			for elapsed := time.Duration(0); elapsed < outage; elapsed += step {
				f.confirmedAt.Store(int64(f.clock.Now() - elapsed))
				if source := f.nextSource(begin.Add(elapsed), roles); source != nil && source.Direct() {
					tries++
					f.sessionFailed(&session{source: store, cancel: func() {}}, errDown, begin.Add(elapsed))
				}
			}
		}
		t.Logf("%d gateways: %d tries in %s", fleet, tries, outage)
		assert.Assert(t, tries <= bound, "%d gateways tried the store %d times", fleet, tries)
	}
}

// If no other gateway answers, a gateway can't wait for a leader and has to read the
// store itself soon, however large the fleet was.
func TestGatewayWithoutPeersTurnsToTheStoreSoon(t *testing.T) {
	const bound = 3 * time.Second // a server that leaves gets no new work after that
	f := NewFollower(Options{Decoder: textDecoder{}, Store: newFakeSource("store", true), SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	peer := newFakeSource("peer", false)
	f.apply(peer.full, time.Now())
	f.staleJitter = 1
	f.confirmedAt.Store(int64(f.clock.Now() - bound))
	roles := Roles{Sources: []Source{peer}, Members: 1000}
	now := time.Now()
	assert.Assert(t, !f.stale(roles), "its leader answers")
	f.sessionFailed(&session{source: peer, cancel: func() {}}, errDown, now)
	assert.Assert(t, f.stale(roles))
	assert.Assert(t, f.nextSource(now, roles).Direct())
}

// Guards against a gateway that waits for a source which the store's new era has not reached: its
// updates counted as the store's confirmation, and its changes brought back what was lost.
func TestSourceOfAnOlderEraIsLeft(t *testing.T) {
	store, old, next := newFakeSource("store", true), newFakeSource("old", false), newFakeSource("new", false)
	store.full.Revision, next.full.Revision = Revision{2, 9}, Revision{2, 9}
	next.full.Items = []Item{{Key: "config", Value: []byte("3"), Revision: Revision{2, 2}}, {Key: "s/c", Value: []byte("up"), Revision: Revision{2, 9}}}
	store.failure = errDown // the new era becomes known from the first source only
	old.full = next.full
	h := startFollower(t, store, Roles{Leader: true, Sources: []Source{old, next}})
	waitFor(t, "listed", func() bool { return h.servers() == 1 && len(old.resumeRevisions()) == 1 })
	confirmed := h.follower.confirmedAt.Load()
	old.changes <- Batch{Revision: Revision{1, 50}, Items: []Item{{Key: "s/lost", Value: []byte("up"), Revision: Revision{1, 50}}}}
	waitFor(t, "the other source is followed", func() bool { return len(next.resumeRevisions()) == 1 })
	assert.Equal(t, h.servers(), 1)
	assert.Assert(t, h.follower.confirmedAt.Load() > confirmed)
}

// Guards against old data that look fresh: neither a listing nor a heartbeat of an older era
// confirms that there is nothing newer.
func TestOlderEraConfirmsNothing(t *testing.T) {
	for name, batch := range map[string]Batch{
		"listing":   {Full: true, Revision: Revision{1, 50}, Items: []Item{put("config", "9", 50)}},
		"heartbeat": {Revision: Revision{Era: 1}},
		"change":    {Revision: Revision{1, 50}, Items: []Item{put("config", "9", 50)}},
		"no era":    {Full: true, Revision: at(50), Items: []Item{put("config", "9", 50)}},
	} {
		for _, direct := range []bool{true, false} {
			source := newFakeSource("source", direct)
			f := NewFollower(Options{Decoder: textDecoder{}, Store: source, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}, Roles: func(time.Time) Roles { return Roles{} }})
			f.apply(Batch{Full: true, Revision: Revision{2, 9}, Items: []Item{put("config", "3", 2)}, Age: time.Minute}, time.Now())
			confirmed := f.confirmedAt.Load()
			f.lastSessionID = 1
			f.session = &session{id: 1, source: source, cancel: func() {}}
			f.handle(t.Context(), event{session: 1, batch: batch}, time.Now())
			assert.Equal(t, f.confirmedAt.Load(), confirmed, name)
			assert.Equal(t, f.state.Table().Version, uint64(3), name)
			assert.Equal(t, f.state.Revision(), Revision{2, 9}, name)
			assert.Assert(t, f.session == nil || f.session.id != 1, "%s: the session goes on", name)
		}
	}
}

// The reader was cut off from the store, and the next in rank follows this leader. If the
// leader stayed with it, both would wait for each other.
func TestLeaderLeavesASourceWithStaleData(t *testing.T) {
	store, stale, fresh := newFakeSource("store", true), newFakeSource("stale", false), newFakeSource("fresh", false)
	store.failure = errDown
	stale.age = NewTiming(DefaultChangeBound).LeaderStaleAge + time.Second
	fresh.full.Items = append(fresh.full.Items, put("s/b", "up", 5))
	h := startFollower(t, store, Roles{Leader: true, Sources: []Source{stale, fresh}})
	waitFor(t, "the fresh source is followed", func() bool { return h.servers() == 2 })
	assert.Equal(t, len(stale.resumeRevisions()), 1)
}

// A store without a configuration yet: a fleet that starts all at once must not ask it for
// snapshots again and again.
func TestEmptySnapshotIsNotRepeatedSoon(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	store.full = Batch{Full: true, Revision: at(1)}
	peer.failure = errDown
	startFollower(t, store, Roles{Sources: []Source{peer}})
	time.Sleep(snapshotBackoffMax / 2)
	store.mu.Lock()
	defer store.mu.Unlock()
	assert.Equal(t, store.snapshots, 1)
}

// A fleet starts at once. A gateway first follows a seed that has hundreds waiting, and
// then learns which gateway leads its data centre.
func TestUnansweredSourceIsReplacedByABetterOne(t *testing.T) {
	const bound = time.Second // minPeerTime would be 2.5 s
	store, seed, leader := newFakeSource("store", true), newFakeSource("seed", false), newFakeSource("leader", false)
	store.failure, seed.mute = errDown, true
	h := startFollower(t, store, Roles{Sources: []Source{seed}})
	waitFor(t, "the seed is followed", func() bool { return len(seed.resumeRevisions()) == 1 })
	begin := time.Now()
	h.mu.Lock()
	h.roles = Roles{Sources: []Source{leader, seed}}
	h.mu.Unlock()
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
	assert.Assert(t, time.Since(begin) < bound, "%s", time.Since(begin))
}
