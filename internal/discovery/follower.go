package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// Source delivers what the store says.
type Source interface {
	// Name identifies the source in logs.
	Name() string
	// Direct reports whether the source is the store itself.
	Direct() bool
	// Run delivers a full batch, unless resume is the revision at which an earlier
	// run of a direct source ended, and then each change. A batch without items
	// confirms that there is nothing newer. Run ends with the context or when the
	// source fails.
	Run(ctx context.Context, resume uint64, deliver func(Batch)) error
}

// Store is the platform's store.
type Store interface {
	Source
	// Snapshot returns a full batch as it was at most some seconds ago. It is
	// cheaper than the start of a Run.
	Snapshot(ctx context.Context) (Batch, error)
}

const (
	// snapshotPause is the first pause between two tries of a snapshot while nothing
	// is known. It doubles up to snapshotPauseMax, which leaves a store that all
	// entries ask at once the time to answer. snapshotAge is the age that a
	// snapshot's news is taken for.
	snapshotPause    = 100 * time.Millisecond
	snapshotPauseMax = 1600 * time.Millisecond
	snapshotAge      = time.Second
	// minStoreTime is how long an entry that had to turn to the store stays with it;
	// minStoreTimePeersDown is that time while other entries can't be reached.
	minStoreTime          = time.Second
	minStoreTimePeersDown = 5 * time.Second
	// nonLeaderDelay is how much longer entries that are not the first of their data
	// centre wait before they turn to the store.
	nonLeaderDelay = 500 * time.Millisecond
	// maxStaleJitter bounds the random delay that spreads the calls of entries that
	// lost the same source.
	maxStaleJitter = 600 * time.Millisecond
	// minPeerTime is how long another entry is followed before a better one takes its
	// place, so that membership can settle.
	minPeerTime = 2500 * time.Millisecond
	// peerBackoff is the pause after another entry failed as a source. It doubles
	// with each round in which all failed, up to peerBackoffMax: a fleet that starts
	// at once must not hold up those that it waits for.
	peerBackoff    = 40 * time.Millisecond
	peerBackoffMax = 640 * time.Millisecond
	// staleAge is the age of another entry's news from which the store is asked
	// instead: a reader hears from the store at least every watchWait.
	staleAge = 1700 * time.Millisecond
	// storeBackoffMin and storeBackoffMax bound the pause between two tries of a
	// store that fails; a reader's is short, because others wait for it.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 500 * time.Millisecond
	// otherBackoff is the pause of an entry that is not a reader, and leaderBackoff
	// that of the first of a data centre. While the store answers no one, the
	// entries' views of who should read it differ, so each tries at times: a
	// configuration must be in force 2 s after the store's return.
	otherBackoff  = 2 * time.Second
	leaderBackoff = time.Second
	// outageAfter is how long the store must fail before its return counts as the
	// end of an outage.
	outageAfter = 800 * time.Millisecond
	// failureGap is the longest time between two failures of one outage: a pause
	// and the timeout of a call.
	failureGap = 2500 * time.Millisecond
	// tickUnknown and tickKnown are the pauses between two looks at the sources
	// before and after the state is known.
	tickUnknown = 25 * time.Millisecond
	tickKnown   = 200 * time.Millisecond
	// feedLength bounds the changes that wait for one follower.
	feedLength = 64
)

// View is what is believed at one moment. It is immutable.
type View struct {
	Table    *routing.Table
	Servers  []Server
	Revision uint64
}

// Peers says whom an entry hears from.
type Peers struct {
	// Reader says that the entry reads the store for the fleet, Leader that it is
	// the first of its data centre.
	Reader, Leader bool
	// Sources are other entries, the best first.
	Sources []Source
}

// Options configures a Follower.
type Options struct {
	Decoder Decoder
	Store   Store
	// Peers returns whom to hear from now.
	Peers func(now time.Time) Peers
	// SetStoreReachable is called with false after each failure of the store, and with
	// true when it answers again.
	SetStoreReachable func(reachable bool, now time.Time)
	// Publish takes each new view; it is called by the control goroutine.
	Publish func(View)
}

// Follower owns the state: it chooses whom to follow and applies what comes.
type Follower struct {
	options Options
	log     logs.Logger
	clock   clock.Boot
	state   *State
	events  chan event

	session      *session
	sessions     int
	storeEndedAt time.Time // the end of the last session of the store
	peerFailedAt time.Time // the last failure of another entry
	// peerFailures counts the failures of other entries since one answered.
	peerFailures int
	spread       time.Duration
	failing      time.Time // since when the store fails
	backoff      time.Duration

	// resumable says that a watch can go on from the state's revision: the store has
	// its history, and nothing before it is missing in the state.
	resumable bool

	storeLost atomic.Bool
	withholds atomic.Bool
	confirmed atomic.Int64 // time since boot at which the store confirmed the state

	mu          sync.Mutex
	full        Batch
	subscribers map[chan Batch]struct{}
}

type session struct {
	id     int
	source Source
	cancel context.CancelFunc
	heard  bool
	since  time.Time
}

type event struct {
	session int
	batch   Batch
	err     error
}

// NewFollower returns a follower that knows nothing.
func NewFollower(o Options) *Follower {
	return &Follower{
		options: o, log: logs.For("discovery"), state: NewState(o.Decoder), events: make(chan event, feedLength),
		subscribers: make(map[chan Batch]struct{}), backoff: storeBackoffMin,
	}
}

// Serve follows the store until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.spread = rand.N(maxStaleJitter)
	tick := time.NewTimer(tickUnknown)
	defer tick.Stop()
	snapshotCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.snapshot(snapshotCtx)
	f.choose(ctx, time.Now())
	for {
		select {
		case e := <-f.events:
			f.handle(ctx, e, time.Now())
			if f.state.Known() {
				cancel()
			}
		case <-tick.C:
			now := time.Now()
			f.publish(f.state.Expire(now))
			f.withholds.Store(f.state.RetainsUnlisted(now))
			f.choose(ctx, now)
			tick.Reset(f.tick())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// snapshot asks the store for a snapshot until one is there, so that a starting
// entry need not wait until it has found the others.
func (f *Follower) snapshot(ctx context.Context) {
	for pause := snapshotPause; ; pause = min(2*pause, snapshotPauseMax) {
		b, err := f.options.Store.Snapshot(ctx)
		if err == nil {
			b.Age = snapshotAge
			f.send(ctx, event{session: snapshotSession, batch: b})
		} else if ctx.Err() == nil {
			f.log.Warnf("no snapshot: %v", err)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return
		}
	}
}

// snapshotSession marks events of the snapshot at the start.
const snapshotSession = 0

func (f *Follower) tick() time.Duration {
	if f.session != nil && f.session.heard {
		return tickKnown
	}
	return tickUnknown
}

// choose starts another session if a better source than the present one may be
// had, or if there is none.
func (f *Follower) choose(ctx context.Context, now time.Time) {
	peers := f.options.Peers(now)
	next := f.pick(now, peers)
	s := f.session
	switch {
	case next == nil, s != nil && s.source.Name() == next.Name():
		return
	case s != nil && !f.better(s, next, peers, now):
		return
	}
	f.start(ctx, next, now)
}

// pick returns the source to follow now, or nil if all have to rest.
func (f *Follower) pick(now time.Time, peers Peers) Source {
	storeReady := now.Sub(f.storeEndedAt) >= f.storePause(peers)
	switch {
	case storeReady && (peers.Reader || f.stale(peers)):
		return f.options.Store
	case len(peers.Sources) > 0 && now.Sub(f.peerFailedAt) >= f.peerPause(len(peers.Sources)):
		return peers.Sources[f.peerFailures%len(peers.Sources)]
	default:
		return nil
	}
}

// storePause is the pause after the latest failure of the store.
func (f *Follower) storePause(peers Peers) time.Duration {
	switch {
	case peers.Reader:
		return f.backoff
	case peers.Leader:
		return leaderBackoff
	default:
		return otherBackoff
	}
}

// peerPause is the pause after the latest failure of another entry.
func (f *Follower) peerPause(sources int) time.Duration {
	rounds := min(f.peerFailures/sources, 4) // peerBackoffMax at the latest
	return min(peerBackoff<<rounds, peerBackoffMax)
}

// stale reports whether the state was not confirmed lately. Entries that others
// hear from are the first to act on that.
func (f *Follower) stale(peers Peers) bool {
	limit := staleAge
	if !peers.Leader {
		limit += nonLeaderDelay + f.spread
	}
	return f.state.Known() && f.clock.Now()-time.Duration(f.confirmed.Load()) > limit
}

// better reports whether the present session should end for another source.
func (f *Follower) better(s *session, next Source, peers Peers, now time.Time) bool {
	switch {
	case next.Direct():
		return peers.Reader || f.stale(peers)
	case s.source.Direct():
		stick := minStoreTime
		if now.Sub(f.peerFailedAt) < minStoreTimePeersDown {
			stick = minStoreTimePeersDown
		}
		return !peers.Reader && s.heard && now.Sub(s.since) > stick
	default:
		return s.heard && now.Sub(s.since) > minPeerTime
	}
}

func (f *Follower) start(ctx context.Context, source Source, now time.Time) {
	var resume uint64
	if s := f.session; s != nil {
		s.cancel()
		if s.source.Direct() {
			f.storeEndedAt = now
		}
	}
	if source.Direct() && f.resumable && !f.state.RetainsUnlisted(now) {
		resume = f.state.Revision()
	}
	sessionCtx, cancel := context.WithCancel(ctx)
	f.sessions++
	f.session = &session{id: f.sessions, source: source, cancel: cancel, since: now}
	id := f.sessions
	go func() {
		deliver := func(b Batch) { f.send(sessionCtx, event{session: id, batch: b}) }
		err := source.Run(sessionCtx, resume, deliver)
		if err == nil {
			err = errEnded
		}
		f.send(sessionCtx, event{session: id, err: err})
	}()
}

func (f *Follower) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

func (f *Follower) handle(ctx context.Context, e event, now time.Time) {
	s := f.session
	if e.session == snapshotSession {
		if !f.state.Known() {
			f.apply(e.batch, now)
			f.resumable = true
		}
		return
	}
	if s == nil || e.session != s.id {
		return
	}
	if e.err != nil {
		f.failed(s, e.err, now)
		f.choose(ctx, now)
		return
	}
	if !s.heard {
		s.heard = true
		f.log.With("source", s.source.Name()).With("age", e.batch.Age).Infof("source answers")
	}
	if s.source.Direct() {
		f.storeAnswered(now)
	} else {
		f.peerFailures = 0
		f.storeLost.Store(false) // only the entry that reads the store reports it lost
	}
	f.resumable = true
	if !f.apply(e.batch, now) && s.source.Direct() {
		f.feed(Batch{}) // followers learn that nothing is newer
	}
}

// apply takes a batch and reports whether it changed anything.
func (f *Follower) apply(b Batch, now time.Time) bool {
	changed := f.state.Apply(b, now)
	f.withholds.Store(f.state.RetainsUnlisted(now))
	f.confirmed.Store(max(f.confirmed.Load(), int64(f.clock.Now()-b.Age)))
	f.publish(changed)
	return len(changed) > 0
}

func (f *Follower) failed(s *session, err error, now time.Time) {
	s.cancel()
	f.log.With("source", s.source.Name()).With("heard", s.heard).Warnf("source lost: %v", err)
	f.session = nil
	switch {
	case !s.source.Direct():
		f.peerFailedAt = now
		f.peerFailures++
		return
	case errors.Is(err, ErrHistoryLost):
		f.resumable = false
		return
	case f.failing.IsZero() || now.Sub(f.storeEndedAt) > failureGap:
		f.failing = now
	}
	f.storeEndedAt = now
	f.backoff = min(f.backoff*2, storeBackoffMax)
	f.contact(false, now)
	f.feed(Batch{}) // followers turn to another at once
}

// contact notes whether the store answers this entry.
func (f *Follower) contact(answers bool, now time.Time) {
	f.storeLost.Store(!answers)
	f.options.SetStoreReachable(answers, now)
}

// RetainsUnlisted reports whether servers that the store no longer lists are kept.
func (f *Follower) RetainsUnlisted() bool { return f.withholds.Load() }

// Lost reports whether this entry reads the store and gets no answer.
func (f *Follower) Lost() bool { return f.storeLost.Load() }

var errEnded = errors.New("the source ended")

// ErrHistoryLost says that the store can't tell what has changed since a
// revision.
var ErrHistoryLost = errors.New("the store has dropped the history since the revision")

func (f *Follower) storeAnswered(now time.Time) {
	if !f.failing.IsZero() {
		if f.storeEndedAt.Sub(f.failing) > outageAfter && now.Sub(f.storeEndedAt) < failureGap {
			f.state.StoreRecovered(now)
		}
		f.log.With("failed_for", now.Sub(f.failing).Round(time.Millisecond)).Infof("store answers again")
	}
	if !f.failing.IsZero() || f.storeLost.Load() {
		f.contact(true, now)
	}
	f.failing = time.Time{}
	f.storeEndedAt = time.Time{}
	f.backoff = storeBackoffMin
}

// publish gives a change to the process and to followers.
func (f *Follower) publish(changed []Item) {
	if len(changed) == 0 {
		return
	}
	if f.state.Known() {
		f.options.Publish(View{Table: f.state.Table(), Servers: f.state.Servers(), Revision: f.state.Revision()})
	}
	f.mu.Lock()
	f.full = f.state.Full()
	f.mu.Unlock()
	f.feed(Batch{Items: changed, Revision: f.state.Revision()})
}

// feed gives a batch to all followers.
func (f *Follower) feed(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.subscribers {
		select {
		case c <- b:
		default:
			delete(f.subscribers, c)
			close(c)
		}
	}
}

// Subscribe returns all that is believed and a channel of changes, which is
// closed if its reader is too slow. Cancel ends the subscription.
func (f *Follower) Subscribe() (full Batch, changes <-chan Batch, cancel func()) {
	c := make(chan Batch, feedLength)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[c] = struct{}{}
	return f.full, c, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, c)
	}
}

// Age returns how long ago the store confirmed that there is nothing newer; ok
// is false if nothing is known.
func (f *Follower) Age() (age time.Duration, ok bool) {
	at := f.confirmed.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() - time.Duration(at), at != 0 && f.full.Full
}
