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

// source is a fake source that tests feed and break.
type source struct {
	name    string
	direct  bool
	mu      sync.Mutex
	runs    []uint64 // the revisions to resume from
	full    Batch
	failure error
	broken  chan error
	changes chan Batch
	// withholds is said in each batch without items.
	withholds bool
}

func newSource(name string, direct bool) *source {
	return &source{
		name: name, direct: direct, broken: make(chan error, 1), changes: make(chan Batch, 8),
		full: Batch{Full: true, Revision: 10, Items: []Item{put("config", "3", 2), put("s/a", "up", 4)}},
	}
}

func (s *source) Name() string { return s.name }
func (s *source) Direct() bool { return s.direct }

func (s *source) Snapshot(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full, s.failure
}

func (s *source) Run(ctx context.Context, resume uint64, deliver func(Batch)) error {
	s.mu.Lock()
	s.runs = append(s.runs, resume)
	failure, full, broken := s.failure, s.full, s.broken
	s.mu.Unlock()
	if failure != nil {
		return failure
	}
	if resume == 0 {
		deliver(full)
	}
	for {
		select {
		case b := <-s.changes:
			deliver(b)
		case <-time.After(20 * time.Millisecond):
			deliver(Batch{RetainsUnlisted: s.withholds})
		case err := <-broken:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fail breaks the source, or heals it without an error.
func (s *source) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
	if err != nil {
		s.broken <- err
	}
}

func (s *source) resumed() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.runs...)
}

type world struct {
	follower *Follower
	mu       sync.Mutex
	view     View
	peers    Peers
	contacts []bool
}

func (w *world) servers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.view.Servers)
}

func follow(t *testing.T, store *source, peers Peers) *world {
	t.Helper()
	w := &world{peers: peers}
	w.follower = NewFollower(Options{
		Decoder: textDecoder{}, Store: store,
		Peers: func(time.Time) Peers {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.peers
		},
		SetStoreReachable: func(answers bool, _ time.Time) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.contacts = append(w.contacts, answers)
		},
		Publish: func(v View) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.view = v
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.follower.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// wait waits up to three seconds for a condition.
func wait(t *testing.T, what string, condition func() bool) {
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
	store := newSource("store", true)
	w := follow(t, store, Peers{Reader: true, Leader: true})
	wait(t, "listed", func() bool { return w.servers() == 1 })
	store.changes <- Batch{Revision: 11, Items: []Item{put("s/b", "up", 11)}}
	wait(t, "changed", func() bool { return w.servers() == 2 })
}

func TestOthersFollowTheFirstPeerAndLeaveTheStoreAlone(t *testing.T) {
	store, peer := newSource("store", true), newSource("peer", false)
	w := follow(t, store, Peers{Sources: []Source{peer}})
	wait(t, "listed", func() bool { return w.servers() == 1 && len(peer.resumed()) == 1 })
	peer.changes <- Batch{Revision: 11, Items: []Item{put("s/b", "up", 11)}}
	wait(t, "changed", func() bool { return w.servers() == 2 })
	assert.Equal(t, len(store.resumed()), 0)
}

func TestEntryStartsFromAPeerWhileTheStoreIsAway(t *testing.T) {
	store, peer := newSource("store", true), newSource("peer", false)
	store.failure = errDown
	w := follow(t, store, Peers{Sources: []Source{peer}})
	wait(t, "listed", func() bool { return w.servers() == 1 })
}

func TestReaderThatGetsNoAnswerSaysSoAtOnce(t *testing.T) {
	store := newSource("store", true)
	w := follow(t, store, Peers{Reader: true, Leader: true})
	wait(t, "listed", func() bool { return w.servers() == 1 })
	_, changes, cancel := w.follower.Subscribe()
	defer cancel()
	store.fail(errDown)
	wait(t, "followers are told", func() bool {
		select {
		case <-changes:
			return w.follower.Lost()
		default:
			return false
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, w.contacts[len(w.contacts)-1], false)
}

func TestSilentPeersSendAnEntryToTheStore(t *testing.T) {
	store, peer := newSource("store", true), newSource("peer", false)
	w := follow(t, store, Peers{Leader: true, Sources: []Source{peer}})
	wait(t, "listed", func() bool { return len(peer.resumed()) == 1 && w.servers() == 1 })
	peer.fail(errDown)
	wait(t, "the store is read", func() bool { return len(store.resumed()) > 0 })
}

// An entry that was told by another goes on by a watch, which costs the store
// little, unless the other kept servers that the store no longer lists.
func TestStoreIsWatchedFromWhereAPeerEnded(t *testing.T) {
	for _, test := range []struct {
		name      string
		withholds bool
		resume    uint64
	}{{"all told", false, 10}, {"servers withheld", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			store, peer := newSource("store", true), newSource("peer", false)
			peer.withholds, peer.full.RetainsUnlisted = test.withholds, test.withholds
			w := follow(t, store, Peers{Leader: true, Sources: []Source{peer}})
			wait(t, "listed", func() bool { return len(peer.resumed()) == 1 && w.servers() == 1 })
			assert.Equal(t, w.follower.RetainsUnlisted(), test.withholds)
			peer.fail(errDown)
			wait(t, "the store is read", func() bool { return len(store.resumed()) > 0 })
			assert.Equal(t, store.resumed()[0], test.resume)
		})
	}
}

// While the store answers no one, entries differ in whom they take for its reader.
// So each tries it, and a change is known in time after the store's return.
func TestEveryEntryTriesAStoreThatIsAway(t *testing.T) {
	const recoveryBound = 2 * time.Second // a configuration must be in force by then
	for _, test := range []struct {
		peers Peers
		pause time.Duration
	}{
		{Peers{}, otherBackoff},
		{Peers{Leader: true}, leaderBackoff},
		{Peers{Reader: true}, storeBackoffMax},
	} {
		store, peer := newSource("store", true), newSource("peer", false)
		f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
		f.apply(peer.full, time.Now())
		f.confirmed.Store(int64(f.clock.Now() - time.Hour))
		now := time.Now()
		for try := range 20 {
			begin := now
			for f.pick(now, test.peers) == nil {
				now = now.Add(10 * time.Millisecond)
			}
			assert.Assert(t, now.Sub(begin) <= min(test.pause, recoveryBound), "%+v: try %d after %s", test.peers, try, now.Sub(begin))
			f.failed(&session{source: store, cancel: func() {}}, errDown, now)
		}
	}
}

func TestPeersThatKnowNothingAreAskedLessAndLess(t *testing.T) {
	first, second := newSource("first", false), newSource("second", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: newSource("store", true), SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	peers := Peers{Sources: []Source{first, second}}
	now := time.Now()
	tries := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if source := f.pick(now, peers); source != nil {
			tries++
			f.failed(&session{source: source, cancel: func() {}}, errDown, now)
		}
	}
	assert.Assert(t, tries <= 2*4+int(10*time.Second/peerBackoffMax)+1, "%d tries in 10 s", tries)
}

func TestWatchGoesOnFromTheLastRevisionAfterAFailure(t *testing.T) {
	store := newSource("store", true)
	w := follow(t, store, Peers{Reader: true, Leader: true})
	wait(t, "listed", func() bool { return w.servers() == 1 && len(store.resumed()) == 1 })
	store.fail(errDown)
	store.fail(nil)
	wait(t, "resumed", func() bool {
		runs := store.resumed()
		return runs[len(runs)-1] == 10
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	store := newSource("store", true)
	w := follow(t, store, Peers{Reader: true, Leader: true})
	wait(t, "listed", func() bool { return w.servers() == 1 && len(store.resumed()) == 1 })
	store.mu.Lock()
	store.full = Batch{Full: true, Revision: 30, Items: []Item{put("config", "3", 2), put("s/x", "up", 29), put("s/y", "up", 30)}}
	store.mu.Unlock()
	store.fail(ErrHistoryLost)
	store.fail(nil)
	wait(t, "read anew", func() bool { return w.servers() == 2 })
}

func TestSlowFollowerIsCutOff(t *testing.T) {
	store := newSource("store", true)
	w := follow(t, store, Peers{Reader: true, Leader: true})
	wait(t, "listed", func() bool { return w.servers() == 1 })
	full, changes, cancel := w.follower.Subscribe()
	defer cancel()
	assert.Assert(t, full.Full)
	for range feedLength + 1 {
		w.follower.feed(Batch{})
	}
	for range feedLength {
		<-changes
	}
	_, open := <-changes
	assert.Assert(t, !open)
}
