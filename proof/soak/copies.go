package soak

import (
	"math/rand/v2"
	"time"

	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// maxCopyAge, maxStoreAway and maxRewritePause bound the age of the copy that the store comes
	// back from, the time that it is away before, and the time until all is written again.
	maxCopyAge      = 4 * time.Second
	maxStoreAway    = time.Second
	maxRewritePause = 1500 * time.Millisecond
)

// copyFaults are returns of the store from a copy that lacks its last writes.
var copyFaults = []fault{
	{"store comes back from a copy", func(s *Soak, rng *rand.Rand) func() { s.comeBack(rng); return nil }},
}

// comeBack makes the store come back from a copy, once or twice in a row. What was lost is written
// again before anyone asks or some time later.
func (s *Soak) comeBack(rng *rand.Rand) {
	type times struct{ age, away, pause time.Duration }
	var returns []times
	for range 1 + rng.IntN(2) {
		returns = append(returns, times{
			age: time.Duration(rng.Int64N(int64(maxCopyAge))), away: time.Duration(rng.Int64N(int64(maxStoreAway))),
			pause: max(0, time.Duration(rng.Int64N(2*int64(maxRewritePause)))-maxRewritePause),
		})
	}
	if !s.copying.TryLock() {
		return
	}
	s.later(func() {
		defer s.copying.Unlock()
		for _, t := range returns {
			kept := s.store.Copy()
			time.Sleep(t.age)
			s.storeTouched()
			s.store.Trouble(fake.Busy)
			time.Sleep(t.away)
			lost := s.store.Restore(kept)
			if t.pause == 0 {
				s.store.Rewrite(kept, lost)
			}
			s.store.Trouble(fake.Fine)
			if t.pause > 0 {
				time.Sleep(t.pause)
				s.store.Rewrite(kept, lost)
			}
			s.storeTouched()
		}
	})
}
