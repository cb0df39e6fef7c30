// Package share divides an allowance among the entries of a fleet, which share no
// state. Its functions are pure: time is an argument.
//
// Each entry keeps a token bucket with 1/entries of the rate and of the burst.
// An entry short of tokens borrows them from another. The lender deducts the
// tokens that it lends and reduces its own capacity by as many until HoldTime has
// passed by its clock or the borrower's next request shows that the grant is no
// longer in flight.
// The borrower adds the grant up to its own burst, and only if less than
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
	// HoldTime is how long a grant reduces the lender's capacity, and how long a new
	// process accrues no tokens, since the process that ran before it may have
	// lent some. It exceeds TransferTimeout by a tenth to tolerate clock rates
	// that differ by up to a tenth.
	HoldTime = TransferTimeout + TransferTimeout/10
)

const (
	// borrowHorizon limits a borrower's request to the tokens that its own demand
	// uses in this time.
	borrowHorizon = 500 * time.Millisecond
	// reserveHorizon makes a lender keep the tokens that its own demand uses in this
	// time.
	reserveHorizon = 500 * time.Millisecond
)

// RateLimit is one entry's share of an allowance.
type RateLimit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the maximum number of tokens in the bucket.
	Burst float64
}

// RateLimitPerEntry divides a rate, in tokens a second, and a burst, in tokens,
// equally among the given number of entries.
func RateLimitPerEntry(rate, burst float64, entries int) RateLimit {
	n := float64(max(entries, 1))
	return RateLimit{Rate: rate / n, Burst: burst / n}
}

// RequestID identifies a request for tokens. A borrower numbers its requests for
// one bucket to one lender in increasing order, and sends the next one only after
// it has processed the reply to the previous one or given up on it.
type RequestID struct {
	// Borrower identifies the borrowing process by a random number.
	Borrower uint64
	// Number increases with each request of the borrower.
	Number uint64
}

// hold reserves capacity for a grant that may still be in flight.
type hold struct {
	request RequestID
	amount  float64
	until   time.Duration
}

// Bucket is the token bucket of one customer and service at one entry. Calls
// must pass times that never decrease. It is not safe for concurrent use.
type Bucket struct {
	limit      RateLimit
	tokens     float64
	accruedTo  time.Duration // tokens have accrued up to this time; it may lie ahead in a new process
	holds      []hold        // by rising end time
	heldTokens float64
	// burstLoweredAt is when a limit with a smaller burst came into force; grants
	// requested up to then are dropped.
	burstLoweredAt time.Duration
	demand         demand
}

// NewBucket returns the bucket of a process that started at the given time and
// has not taken any tokens from it. It begins empty and accrues tokens only once
// HoldTime has passed since the start.
func NewBucket(limit RateLimit, started, now time.Duration) Bucket {
	accrueFrom := started + HoldTime
	if defect.On("restart-without-hold") {
		accrueFrom = started - time.Hour
	}
	b := Bucket{limit: limit, accruedTo: accrueFrom}
	b.accrue(now)
	return b
}

// Take takes one token and reports whether there was one. The rate limit
// replaces the one in force before without refilling the bucket.
func (b *Bucket) Take(now time.Duration, limit RateLimit) bool {
	b.Reload(now, limit)
	b.demand.add(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a token that was taken for a call that was not executed.
func (b *Bucket) Refund(now time.Duration) {
	b.accrue(now)
	b.tokens = min(b.tokens+1, b.capacity())
}

// Wait returns the time until the bucket has a whole token, if no other tokens
// are taken or borrowed in the meantime.
func (b *Bucket) Wait(now time.Duration) time.Duration {
	b.accrue(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	wait := max(b.accruedTo-now, 0)
	if b.capacity() < 1 && len(b.holds) > 0 {
		wait = b.holds[len(b.holds)-1].until - now
	}
	return wait + seconds(missing/b.limit.Rate)
}

// BorrowAmount returns the number of tokens to request from a peer now, 0 if the
// bucket needs none.
func (b *Bucket) BorrowAmount(now time.Duration) float64 {
	b.accrue(now)
	arrivals := b.demand.perSecond(now)
	if arrivals <= b.limit.Rate || b.tokens > min(b.limit.Burst/2, arrivals*borrowHorizon.Seconds()/2) {
		return 0
	}
	return min(b.capacity()-b.tokens, arrivals*borrowHorizon.Seconds())
}

// Lend deducts up to the requested number of tokens, keeps those that the entry's
// own demand needs, and returns the number granted. The bucket's capacity stays
// reduced by that number until HoldTime has passed or the borrower's next request
// shows that the grant is no longer in flight.
func (b *Bucket) Lend(now time.Duration, request RequestID, want float64, limit RateLimit) float64 {
	b.Reload(now, limit)
	b.releaseHolds(request)
	reserve := min(b.limit.Burst, b.demand.perSecond(now)*reserveHorizon.Seconds())
	amount := min(want, b.tokens-reserve)
	if !(amount > 0) {
		return 0
	}
	if defect.On("lend-without-deduction") {
		return amount
	}
	b.tokens -= amount
	b.heldTokens += amount
	b.holds = append(b.holds, hold{request: request, amount: amount, until: now + HoldTime})
	return amount
}

// releaseHolds ends the holds of earlier requests from the same borrower.
func (b *Bucket) releaseHolds(request RequestID) {
	kept := b.holds[:0]
	b.heldTokens = 0
	for _, h := range b.holds {
		if h.request.Borrower == request.Borrower && (h.request.Number < request.Number || defect.On("settle-any-request")) {
			continue
		}
		kept = append(kept, h)
		b.heldTokens += h.amount
	}
	b.holds = kept
}

// Receive adds granted tokens that were requested at the time sent, up to the
// bucket's capacity, and reports whether it accepted the grant. It rejects a grant
// that arrives TransferTimeout or more after the request, or that was requested
// before or when a limit with a smaller burst came into force.
func (b *Bucket) Receive(now, sent time.Duration, amount float64, limit RateLimit) bool {
	b.Reload(now, limit)
	if b.burstLoweredAt > 0 && sent <= b.burstLoweredAt {
		return false
	}
	if now-sent >= TransferTimeout && !defect.On("accept-late-transfer") {
		return false
	}
	b.tokens = min(b.tokens+amount, max(b.capacity(), b.tokens))
	return true
}

// Tokens returns the number of tokens available now.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.accrue(now)
	return b.tokens
}

// Replaceable reports whether the bucket may be discarded: it is full, holds no
// capacity for grants and has a demand below half its rate, so that a later
// NewBucket with the same limit can take its place.
func (b *Bucket) Replaceable(now time.Duration) bool {
	b.accrue(now)
	return b.tokens >= b.limit.Burst && len(b.holds) == 0 && b.demand.perSecond(now) < b.limit.Rate/2
}

// Reload puts a rate limit in force. Tokens for the time until now accrue with the
// lower rate and the lower burst of the old and the new limit; the bucket is not
// refilled, and tokens beyond the new burst are dropped.
func (b *Bucket) Reload(now time.Duration, limit RateLimit) {
	if limit == b.limit {
		b.accrue(now)
		return
	}
	if limit.Burst < b.limit.Burst {
		b.burstLoweredAt = now
	}
	b.limit = RateLimit{Rate: min(limit.Rate, b.limit.Rate), Burst: min(limit.Burst, b.limit.Burst)}
	b.accrue(now)
	b.limit = limit
	if defect.On("refill-on-reload") {
		b.tokens = limit.Burst
	}
}

// accrue adds the tokens due up to now. Capacity grows at the end of each hold, so
// tokens accrue separately for each interval between the ends of holds.
func (b *Bucket) accrue(now time.Duration) {
	for len(b.holds) > 0 && b.holds[0].until <= now {
		if !defect.On("hold-over-too-early") {
			b.accrueTo(b.holds[0].until)
		}
		b.heldTokens -= b.holds[0].amount
		b.holds = b.holds[1:]
	}
	if len(b.holds) == 0 {
		b.holds, b.heldTokens = nil, 0
	}
	b.accrueTo(now)
}

func (b *Bucket) accrueTo(now time.Duration) {
	if now > b.accruedTo {
		b.tokens += b.limit.Rate * (now - b.accruedTo).Seconds()
		b.accruedTo = now
	}
	b.tokens = min(b.tokens, b.capacity())
}

// capacity is the number of tokens that the bucket may contain now.
func (b *Bucket) capacity() float64 { return max(b.limit.Burst-b.heldTokens, 0) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
