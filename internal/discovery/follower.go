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

const (
	// patience is how long a starting entry looks for another that knows the
	// state before it asks the store itself, and patienceSpread spreads the calls
	// of entries that start together.
	patience       = 600 * time.Millisecond
	patienceSpread = 600 * time.Millisecond
	// settleTime is how long another entry is followed before a better one takes
	// its place, so that news of the fleet can settle.
	settleTime = 2500 * time.Millisecond
	// peerBackoff is the pause after another entry failed as a source.
	peerBackoff = 40 * time.Millisecond
	// staleAge is the age of another entry's news from which the store is asked
	// instead: a reader hears from the store at least every watchWait.
	staleAge = 1700 * time.Millisecond
	// storeBackoffMin and storeBackoffMax bound the pause between two tries of a
	// store that fails; a reader's is short, because others wait for it.
	storeBackoffMin = 100 * time.Millisecond
	storeBackoffMax = 500 * time.Millisecond
	// otherBackoff is the pause of an entry that is not a reader.
	otherBackoff = 2 * time.Second
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

// Options configures a Follower.
type Options struct {
	Decoder Decoder
	Store   Source
	// Peers returns other entries to follow, best first, and whether this entry
	// reads the store for its data centre.
	Peers func(now time.Time) ([]Source, bool)
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
	started time.Time

	session   *session
	sessions  int
	lastStore time.Time // the last try of the store that failed
	lastPeer  time.Time // the last failure of another entry
	patience  time.Duration
	failing   time.Time // since when the store fails
	backoff   time.Duration

	// resumable says that the state's revision is the store's own, so that a watch
	// can go on from there.
	resumable bool

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
	age    time.Duration
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
	f.started = time.Now()
	f.patience = patience + rand.N(patienceSpread)
	tick := time.NewTimer(tickUnknown)
	defer tick.Stop()
	f.choose(ctx, time.Now())
	for {
		select {
		case e := <-f.events:
			f.handle(ctx, e, time.Now())
		case <-tick.C:
			now := time.Now()
			f.publish(f.state.Expire(now))
			f.choose(ctx, now)
			tick.Reset(f.tick())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Follower) tick() time.Duration {
	if f.session != nil && f.session.heard {
		return tickKnown
	}
	return tickUnknown
}

// choose starts another session if a better source than the present one may be
// had, or if there is none.
func (f *Follower) choose(ctx context.Context, now time.Time) {
	peers, reader := f.options.Peers(now)
	storeFirst := reader || (!f.state.Known() && now.Sub(f.started) > f.patience)
	next := f.pick(now, peers, storeFirst)
	s := f.session
	switch {
	case next == nil, s != nil && s.source.Name() == next.Name():
		return
	case s != nil && !f.better(s, next, storeFirst, now):
		return
	}
	f.start(ctx, next, now)
}

// pick returns the source to follow now, or nil if all have to rest.
func (f *Follower) pick(now time.Time, peers []Source, storeFirst bool) Source {
	pause := otherBackoff
	if storeFirst {
		pause = f.backoff
	}
	storeReady := now.Sub(f.lastStore) >= pause
	switch {
	case storeReady && (storeFirst || f.stale()):
		return f.options.Store
	case len(peers) > 0 && now.Sub(f.lastPeer) >= peerBackoff:
		return peers[0]
	default:
		return nil
	}
}

// stale reports whether the present session follows another entry that has no
// recent news itself.
func (f *Follower) stale() bool {
	return f.session != nil && !f.session.source.Direct() && f.session.heard && f.session.age > staleAge
}

// better reports whether the present session should end for another source.
func (f *Follower) better(s *session, next Source, storeFirst bool, now time.Time) bool {
	switch {
	case next.Direct():
		return storeFirst || f.stale()
	case s.source.Direct():
		return !storeFirst && s.heard
	default:
		return s.heard && now.Sub(s.since) > settleTime
	}
}

func (f *Follower) start(ctx context.Context, source Source, now time.Time) {
	var resume uint64
	if s := f.session; s != nil {
		s.cancel()
	}
	if source.Direct() && f.resumable {
		resume = f.state.Revision()
	}
	sessionCtx, cancel := context.WithCancel(ctx)
	f.sessions++
	f.session = &session{id: f.sessions, source: source, cancel: cancel, since: now}
	id := f.sessions
	go func() {
		deliver := func(b Batch) { f.send(sessionCtx, event{session: id, batch: b}) }
		err := source.Run(sessionCtx, resume, deliver)
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
	s.age = e.batch.Age
	if s.source.Direct() {
		f.storeAnswered(now)
	}
	f.resumable = s.source.Direct()
	changed := f.state.Apply(e.batch, now)
	confirmed := int64(f.clock.Now() - e.batch.Age)
	newer := confirmed > f.confirmed.Load()
	f.confirmed.Store(max(f.confirmed.Load(), confirmed))
	f.publish(changed)
	if newer && len(changed) == 0 && s.source.Direct() {
		f.feed(Batch{}) // followers learn that nothing is newer
	}
}

func (f *Follower) failed(s *session, err error, now time.Time) {
	s.cancel()
	f.log.With("source", s.source.Name()).With("heard", s.heard).Warnf("source lost: %v", err)
	f.session = nil
	switch {
	case !s.source.Direct():
		f.lastPeer = now
		return
	case errors.Is(err, ErrHistoryLost):
		f.resumable = false
		return
	case f.failing.IsZero() || now.Sub(f.lastStore) > failureGap:
		f.failing = now
	}
	f.lastStore = now
	f.backoff = min(f.backoff*2, storeBackoffMax)
}

// ErrHistoryLost says that the store can't tell what has changed since a
// revision.
var ErrHistoryLost = errors.New("the store has dropped the history since the revision")

func (f *Follower) storeAnswered(now time.Time) {
	if !f.failing.IsZero() {
		if f.lastStore.Sub(f.failing) > outageAfter && now.Sub(f.lastStore) < failureGap {
			f.state.Returned(now)
		}
		f.log.With("failed_for", now.Sub(f.failing).Round(time.Millisecond)).Infof("store answers again")
	}
	f.failing = time.Time{}
	f.lastStore = time.Time{}
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
