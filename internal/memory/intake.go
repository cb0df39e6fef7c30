package memory

import (
	"math"
	"sync"
	"time"
)

const (
	// SmallRequestBytes is the most that a small request holds. Small requests may use memory
	// beside what larger ones may, so that ordinary callers are served beside those that have
	// used up the rest.
	SmallRequestBytes = 16 << 10
	// smallShare is the memory for small requests alone, as a share of the limit.
	smallShare = 0.125
	// progressHalfLife is the time after which what a request received counts half for its
	// progress. It bridges the gaps between the packets of a slow link.
	progressHalfLife = 500 * time.Millisecond
	// minProgress keeps the hold time of a request finite that receives nothing, in bytes per
	// second.
	minProgress = 1.0
)

// Intake bounds the bytes that requests hold: while they are received, and from then until
// they are answered. While it is used up, a request that needs more takes the place of the
// one that makes the least progress for what it holds; if that is itself, it gets nothing. So
// requests that wait for the rest of their bodies can't keep each other waiting, and callers
// that stop short lose to all others. It is safe for concurrent use.
type Intake struct {
	limit, smallLimit int
	shared            *Budget // counts the same bytes; nil for none

	mu        sync.Mutex
	used      int
	peak      int
	givenUp   int
	receiving map[*Receipt]struct{} // that hold bytes and are not whole
}

// NewIntake returns an intake with a limit in bytes. Its bytes also count against a shared
// budget, if that is not nil.
func NewIntake(limit int, shared *Budget) *Intake {
	small := limit
	if limit < math.MaxInt/2 {
		small += int(smallShare * float64(limit))
	}
	return &Intake{limit: limit, smallLimit: small, shared: shared, receiving: make(map[*Receipt]struct{})}
}

// Used returns the number of bytes counted.
func (in *Intake) Used() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used
}

// Peak returns the highest number of bytes counted so far.
func (in *Intake) Peak() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.peak
}

// GivenUp returns the number of requests that were given up for others so far.
func (in *Intake) GivenUp() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.givenUp
}

// Add counts n bytes that are already allocated, even above the limit; a negative n ends the
// count.
func (in *Intake) Add(n int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.count(n)
}

// Receipt is the part of an intake that one request holds.
type Receipt struct {
	intake *Intake
	giveUp func()

	// The intake's lock guards the rest.
	held     int
	progress float64 // bytes per second, as of at
	at       time.Time
	whole    bool
	ended    bool // given up or released
}

// Begin returns the receipt of a request of which nothing has arrived. The function is called
// in a goroutine of its own if the request is given up; its bytes don't count any more then.
func (in *Intake) Begin(giveUp func()) *Receipt { return &Receipt{intake: in, giveUp: giveUp} }

// Grow counts n more bytes, of which received have just arrived. It returns false, and counts
// nothing, if the request is to be refused.
func (r *Receipt) Grow(n, received int, now time.Time) bool {
	in := r.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.ended {
		return false
	}
	r.progress = r.progressAt(now) + float64(received)*math.Ln2/progressHalfLife.Seconds()
	r.at = now
	limit := in.limit
	if r.held+n <= SmallRequestBytes {
		limit = in.smallLimit
	}
	for n > limit-in.used {
		victim := in.slowest(now)
		if victim == nil || victim == r {
			return false
		}
		in.givenUp++
		victim.end()
		go victim.giveUp()
	}
	in.count(n)
	r.held += n
	if !r.whole {
		in.receiving[r] = struct{}{}
	}
	return true
}

// Whole notes that the request has arrived, and is not given up from now on. It returns false
// if it was given up before.
func (r *Receipt) Whole() bool {
	in := r.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	r.whole = true
	delete(in.receiving, r)
	return !r.ended
}

// Release ends the count of the request's bytes. A nil receipt is allowed, and more than one
// call.
func (r *Receipt) Release() {
	if r == nil {
		return
	}
	r.intake.mu.Lock()
	defer r.intake.mu.Unlock()
	r.end()
}

// end releases the bytes. The intake's lock must be held.
func (r *Receipt) end() {
	r.intake.count(-r.held)
	r.held, r.ended = 0, true
	delete(r.intake.receiving, r)
}

func (in *Intake) count(n int) {
	in.used += n
	in.peak = max(in.peak, in.used)
	if in.shared != nil {
		in.shared.Add(n)
	}
}

// progressAt returns the progress of the request as of now.
func (r *Receipt) progressAt(now time.Time) float64 {
	if r.progress == 0 {
		return 0
	}
	return r.progress * math.Exp2(-now.Sub(r.at).Seconds()/progressHalfLife.Seconds())
}

// slowest returns the request that would hold its bytes for the longest time if it went on as
// it does, or nil if none is being received.
func (in *Intake) slowest(now time.Time) *Receipt {
	var slowest *Receipt
	longest := -1.0
	for r := range in.receiving {
		if hold := float64(r.held) / max(r.progressAt(now), minProgress); hold > longest {
			slowest, longest = r, hold
		}
	}
	return slowest
}

// RequestBody collects the body of a request, in chunks that are not copied as it grows.
type RequestBody struct {
	chunks [][]byte
	length int
}

// Len returns the number of bytes.
func (b *RequestBody) Len() int { return b.length }

// Chunks returns the bytes. They stay valid after the request is answered.
func (b *RequestBody) Chunks() [][]byte { return b.chunks }

// Append adds bytes to the body, and counts what that allocates with the request. Left is the
// number of bytes that the request announces from here on, 0 if it doesn't. It returns false
// if the request is to be refused.
func (b *RequestBody) Append(r *Receipt, data []byte, left int, now time.Time) bool {
	for received := len(data); len(data) > 0; received = 0 {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			size := nextChunkBytes
			if last < 0 {
				size = firstChunkBytes
			}
			if left > 0 {
				size = min(size, left)
			}
			if !r.Grow(size, received, now) {
				return false
			}
			b.chunks = append(b.chunks, make([]byte, 0, size))
			last++
		} else if received > 0 && !r.Grow(0, received, now) {
			return false
		}
		c := b.chunks[last]
		n := copy(c[len(c):cap(c)], data)
		b.chunks[last] = c[:len(c)+n]
		b.length += n
		data = data[n:]
		left = max(left-n, 0)
	}
	return true
}
