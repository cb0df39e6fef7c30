// Package share divides an allowance among the entries of a fleet that share no
// state. Its decisions are pure: time is an argument.
//
// Each entry keeps a token bucket with 1/entries of the rate and of the burst.
// Tokens move to where demand is by transfer. The lender deducts what it lends
// and keeps its own bucket that much smaller until HoldTime has passed by its clock
// or the borrower's next request shows that the grant is no longer in flight.
// The borrower adds what it got up to its own burst, and only while less than
// TransferTimeout has passed by its clock since it sent the request.
//
// Invariant: at every instant the tokens of all entries and those in flight
// between them are at most the burst, and the tokens taken in any window w are
// at most burst + rate*w, for any loss, delay, duplication, freeze and restart.
package share

import (
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
)

const (
	// TransferTimeout is how long after its request a borrower accepts a grant.
	TransferTimeout = 200 * time.Millisecond
	// HoldTime is how long a lender keeps its bucket smaller after a grant, and how
	// long a new process accrues nothing, since the process that ran before it
	// may have lent. It is longer than TransferTimeout so that clocks which
	// differ in rate by up to a tenth do no harm.
	HoldTime = TransferTimeout + TransferTimeout/10
)

const (
	// askAhead is how far ahead of its demand a borrower asks.
	askAhead = 500 * time.Millisecond
	// keepAhead is the time of its own demand that a lender keeps.
	keepAhead = 500 * time.Millisecond
)

// RateLimit is one entry's share of an allowance.
type RateLimit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the most tokens that the bucket holds.
	Burst float64
}

// RateLimitPerEntry divides a rate, in tokens a second, and a burst, in tokens,
// equally among the given number of entries.
func RateLimitPerEntry(rate, burst float64, entries int) RateLimit {
	n := float64(max(entries, 1))
	return RateLimit{Rate: rate / n, Burst: burst / n}
}

// RequestID identifies a request for tokens. A borrower gives its requests for one
// bucket to one lender rising numbers and sends the next only when it has taken
// in or given up the one before.
type RequestID struct {
	// Borrower is random for each process.
	Borrower uint64
	// Number rises with each request of the borrower.
	Number uint64
}

// hold is a grant that may still be in flight.
type hold struct {
	ask    RequestID
	amount float64
	until  time.Duration
}

// Bucket is the token bucket of one customer and service at one entry. Calls
// must pass times that never fall. It is not safe for concurrent use.
type Bucket struct {
	plan   RateLimit
	tokens float64
	at     time.Duration // tokens are counted up to here
	holds  []hold        // in the order of their ends
	held   float64
	// loweredAt is when a limit with a smaller burst came into force; grants
	// asked for until then are dropped.
	loweredAt time.Duration
	demand    demand
}

// NewBucket returns the bucket as it stands now in a process that started at
// the given time, if nothing was taken from it since.
func NewBucket(p RateLimit, started, now time.Duration) Bucket {
	accrueFrom := started + HoldTime
	if defect.On("restart-without-hold") {
		accrueFrom = started - time.Hour
	}
	b := Bucket{plan: p, at: accrueFrom}
	b.accrue(now)
	return b
}

// Take takes one token and reports whether there was one. The rate limit
// replaces the one in force before without refilling the bucket.
func (b *Bucket) Take(now time.Duration, p RateLimit) bool {
	b.Reload(now, p)
	b.demand.add(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a token that was taken for a call which did not run.
func (b *Bucket) Refund(now time.Duration) {
	b.accrue(now)
	b.tokens = min(b.tokens+1, b.room())
}

// Wait returns the time until the bucket has a whole token, if nothing else is
// taken meanwhile and nothing is borrowed.
func (b *Bucket) Wait(now time.Duration) time.Duration {
	b.accrue(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	wait := max(b.at-now, 0)
	if b.room() < 1 && len(b.holds) > 0 {
		wait = b.holds[len(b.holds)-1].until - now
	}
	return wait + seconds(missing/b.plan.Rate)
}

// BorrowAmount returns the number of tokens to request from a peer now, 0 if the
// bucket needs none.
func (b *Bucket) BorrowAmount(now time.Duration) float64 {
	b.accrue(now)
	arrivals := b.demand.perSecond(now)
	if arrivals <= b.plan.Rate || b.tokens > min(b.plan.Burst/2, arrivals*askAhead.Seconds()/2) {
		return 0
	}
	return min(b.room()-b.tokens, arrivals*askAhead.Seconds())
}

// Lend deducts up to the wanted tokens and returns them, less what the entry's
// own demand needs. The bucket is smaller by them until HoldTime has passed or the
// borrower's next request shows that they are no longer in flight.
func (b *Bucket) Lend(now time.Duration, ask RequestID, want float64, p RateLimit) float64 {
	b.Reload(now, p)
	b.settle(ask)
	keep := min(b.plan.Burst, b.demand.perSecond(now)*keepAhead.Seconds())
	amount := min(want, b.tokens-keep)
	if !(amount > 0) {
		return 0
	}
	if defect.On("lend-without-deduction") {
		return amount
	}
	b.tokens -= amount
	b.held += amount
	b.holds = append(b.holds, hold{ask: ask, amount: amount, until: now + HoldTime})
	return amount
}

// settle ends the holds of the same borrower's earlier requests.
func (b *Bucket) settle(ask RequestID) {
	kept := b.holds[:0]
	b.held = 0
	for _, h := range b.holds {
		if h.ask.Borrower == ask.Borrower && (h.ask.Number < ask.Number || defect.On("settle-any-request")) {
			continue
		}
		kept = append(kept, h)
		b.held += h.amount
	}
	b.holds = kept
}

// Receive adds granted tokens that were asked for at the given time, and reports
// whether they arrived in time and no limit with a smaller burst came into force
// since. Tokens that do not fit are dropped.
func (b *Bucket) Receive(now, sent time.Duration, amount float64, p RateLimit) bool {
	b.Reload(now, p)
	if b.loweredAt > 0 && sent <= b.loweredAt {
		return false
	}
	if now-sent >= TransferTimeout && !defect.On("accept-late-transfer") {
		return false
	}
	b.tokens = min(b.tokens+amount, max(b.room(), b.tokens))
	return true
}

// Tokens returns the tokens that could be taken now.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.accrue(now)
	return b.tokens
}

// Replaceable reports whether NewBucket with the same limit would return an
// equal bucket, so that this one may be forgotten.
func (b *Bucket) Replaceable(now time.Duration) bool {
	b.accrue(now)
	return b.tokens >= b.plan.Burst && len(b.holds) == 0 && b.demand.perSecond(now) < b.plan.Rate/2
}

// Reload puts a rate limit in force. Tokens for the time until now accrue by the
// lower of both limits; the bucket is not refilled, and tokens beyond the new
// burst are dropped.
func (b *Bucket) Reload(now time.Duration, p RateLimit) {
	if p == b.plan {
		b.accrue(now)
		return
	}
	if p.Burst < b.plan.Burst {
		b.loweredAt = now
	}
	b.plan = RateLimit{Rate: min(p.Rate, b.plan.Rate), Burst: min(p.Burst, b.plan.Burst)}
	b.accrue(now)
	b.plan = p
	if defect.On("refill-on-reload") {
		b.tokens = p.Burst
	}
}

// accrue adds the tokens due up to now. The room grows as holds end, so the time
// is counted piece by piece.
func (b *Bucket) accrue(now time.Duration) {
	for len(b.holds) > 0 && b.holds[0].until <= now {
		if !defect.On("hold-over-too-early") {
			b.accrueTo(b.holds[0].until)
		}
		b.held -= b.holds[0].amount
		b.holds = b.holds[1:]
	}
	if len(b.holds) == 0 {
		b.holds, b.held = nil, 0
	}
	b.accrueTo(now)
}

func (b *Bucket) accrueTo(now time.Duration) {
	if now > b.at {
		b.tokens += b.plan.Rate * (now - b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, b.room())
}

// room is the most tokens that the bucket may hold now.
func (b *Bucket) room() float64 { return max(b.plan.Burst-b.held, 0) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
