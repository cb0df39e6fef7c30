package share

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleet applies random operations and rate limits to the buckets of all entries
// and compares them with one reference bucket for the whole allowance.
type fleet struct {
	now       time.Duration
	limit     RateLimit
	buckets   []Bucket
	inFlight  []message
	reference referenceBucket
	// burstLoweredAt is when the burst was last reduced.
	burstLoweredAt time.Duration
	requests       uint64
}

func drawRateLimit(t *rapid.T, label string) RateLimit {
	return RateLimit{
		Rate:  rapid.Float64Range(0.1, 50).Draw(t, label+" rate"),
		Burst: rapid.Float64Range(1, 20).Draw(t, label+" burst"),
	}
}

func (f *fleet) pick(t *rapid.T) int { return rapid.IntRange(0, len(f.buckets)-1).Draw(t, "entry") }

func (f *fleet) advance(t *rapid.T) {
	d := time.Duration(rapid.Int64Range(0, int64(2*TransferTimeout)).Draw(t, "pause"))
	f.now += d
	f.reference.advance(d)
}

func (f *fleet) take(t *rapid.T) {
	if f.buckets[f.pick(t)].Take(f.now, f.limit) {
		f.reference.tokens--
	}
}

func (f *fleet) ask(t *rapid.T) {
	f.requests++
	m := message{from: f.pick(t), to: f.pick(t), sent: f.now}
	m.request = RequestID{Borrower: uint64(m.from), Number: f.requests}
	if m.from == m.to {
		t.Skip("an entry does not ask itself")
	}
	if slices.ContainsFunc(f.inFlight, func(o message) bool { return o.from == m.from && o.to == m.to && !o.ended }) {
		t.Skip("one request at a time")
	}
	f.inFlight = append(f.inFlight, m)
}

func (f *fleet) grant(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	m := &f.inFlight[rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")]
	granted := f.buckets[m.to].Lend(f.now, m.request, rapid.Float64Range(0, 20).Draw(t, "want"), f.limit)
	if !m.replied && !m.ended {
		m.granted, m.replied = granted, true
	}
}

func (f *fleet) deliver(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	m := &f.inFlight[i]
	if m.replied && !m.ended {
		f.buckets[m.from].Receive(f.now, m.sent, m.granted, f.limit)
	}
	m.ended = true
}

func (f *fleet) lose(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
}

func (f *fleet) restart(t *rapid.T) {
	i := f.pick(t)
	f.buckets[i] = NewBucket(f.limit, f.now, f.now)
	// A reply reaches only the process that sent the request.
	for j := range f.inFlight {
		f.inFlight[j].ended = f.inFlight[j].ended || f.inFlight[j].from == i
	}
}

func (f *fleet) reload(t *rapid.T) {
	before := f.limit
	f.limit = drawRateLimit(t, "next")
	if f.limit.Burst < before.Burst {
		f.burstLoweredAt = f.now
	}
	for i := range f.buckets {
		f.buckets[i].Reload(f.now, f.limit)
	}
	n := float64(len(f.buckets))
	f.reference.rate, f.reference.burst = f.limit.Rate*n, f.limit.Burst*n
	f.reference.tokens = min(f.reference.tokens, f.reference.burst)
}

func (f *fleet) check(t *rapid.T) {
	sum := 0.0
	for i := range f.buckets {
		// A copy, because Reload changes the time up to which tokens are accrued.
		b := f.buckets[i]
		b.Reload(f.now, f.limit)
		assert.Assert(t, b.tokens >= 0)
		sum += b.tokens
	}
	for _, m := range f.inFlight {
		if m.replied && !m.ended && f.now-m.sent < TransferTimeout && (f.burstLoweredAt == 0 || m.sent > f.burstLoweredAt) {
			sum += m.granted
		}
	}
	assert.Assert(t, f.reference.tokens >= -1e-6, "taken beyond the allowance by %g", -f.reference.tokens)
	assert.Assert(t, sum <= f.reference.tokens+1e-6, "usable %g, allowed %g", sum, f.reference.tokens)
}

func TestTakesStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Hour, limit: drawRateLimit(t, "first")}
		n := rapid.IntRange(2, 5).Draw(t, "entries")
		f.reference = referenceBucket{rate: f.limit.Rate * float64(n), burst: f.limit.Burst * float64(n)}
		f.reference.tokens = f.reference.burst
		for range n {
			f.buckets = append(f.buckets, NewBucket(f.limit, 0, f.now))
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": f.advance, "take": f.take, "ask": f.ask, "grant": f.grant,
			"deliver": f.deliver, "lose": f.lose, "restart": f.restart, "reload": f.reload, "": f.check,
		})
	})
}

func TestRestartedEntryStartsEmptyAndWaits(t *testing.T) {
	p := RateLimit{Rate: 10, Burst: 5}
	b := NewBucket(p, time.Second, time.Second)
	assert.Assert(t, !b.Take(time.Second+HoldTime, p))
	assert.Equal(t, b.Wait(time.Second+HoldTime), 100*time.Millisecond)
	assert.Assert(t, b.Take(time.Second+HoldTime+100*time.Millisecond, p))
}

func TestReloadNeitherRefillsNorForgets(t *testing.T) {
	p := RateLimit{Rate: 1, Burst: 5}
	b := NewBucket(p, 0, time.Minute)
	for range 5 {
		assert.Assert(t, b.Take(time.Minute, p))
	}
	assert.Assert(t, !b.Take(time.Minute, RateLimit{Rate: 100, Burst: 50}))
	lowered := NewBucket(p, 0, time.Minute)
	lowered.Reload(time.Minute, RateLimit{Rate: 1, Burst: 2})
	assert.Equal(t, lowered.Tokens(time.Minute), 2.0)
}

func TestTransferMovesTokensToDemand(t *testing.T) {
	p := RateLimit{Rate: 10, Burst: 10}
	now := time.Minute
	busy, quiet := NewBucket(p, 0, now), NewBucket(p, 0, now)
	for busy.Take(now, p) {
	}
	want := busy.BorrowAmount(now)
	assert.Assert(t, want > 0)
	granted := quiet.Lend(now, RequestID{Borrower: 1, Number: 1}, want, p)
	assert.Assert(t, granted > 0 && granted <= want)
	assert.Assert(t, busy.Receive(now+time.Millisecond, now, granted, p))
	assert.Assert(t, busy.Take(now+time.Millisecond, p))
	assert.Equal(t, quiet.BorrowAmount(now), 0.0)
	assert.Assert(t, math.Abs(quiet.Tokens(now)-(10-granted)) < 1e-9)
}

// TestHeldTokensAccrueOnlyAfterTheirHold checks that a bucket unused until after
// the end of a hold accrues no tokens for the time of the hold.
func TestHeldTokensAccrueOnlyAfterTheirHold(t *testing.T) {
	p := RateLimit{Rate: 1, Burst: 1}
	now := time.Minute
	b := NewBucket(p, 0, now)
	assert.Equal(t, b.Lend(now, RequestID{Number: 1}, 1, p), 1.0)
	assert.Equal(t, b.Tokens(now+HoldTime), 0.0)
	assert.Equal(t, b.Tokens(now+HoldTime+time.Second/2), 0.5)
}
