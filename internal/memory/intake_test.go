package memory

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var intakeStart = time.Unix(1000, 0)

// givenUpFlag returns a function for Begin, and a channel that is closed when it was called.
func givenUpFlag() (giveUp func(), called <-chan struct{}) {
	c := make(chan struct{})
	return func() { close(c) }, c
}

func wasGivenUp(r *Receipt) bool {
	r.intake.mu.Lock()
	defer r.intake.mu.Unlock()
	return r.ended
}

// The load: many callers have sent nearly all of a large body and wait, others go on. Guards
// against memory that is kept by those that stop short.
func TestRequestThatStopsShortMakesRoomForOneThatGoesOn(t *testing.T) {
	in := NewIntake(1<<20, nil)
	giveUp, called := givenUpFlag()
	stalled, going := in.Begin(giveUp), in.Begin(func() { t.Error("given up") })
	now := intakeStart
	assert.Assert(t, stalled.Grow(600<<10, 600<<10, now))
	now = now.Add(2 * time.Second)
	for range 9 {
		assert.Assert(t, going.Grow(100<<10, 100<<10, now))
		now = now.Add(100 * time.Millisecond)
	}
	<-called
	assert.Equal(t, in.Used(), 900<<10)
	assert.Assert(t, !stalled.Whole() && !stalled.Grow(1, 1, now))
	assert.Assert(t, going.Whole())
	assert.Assert(t, !in.Begin(func() {}).Grow(200<<10, 200<<10, now), "whole requests are not given up")
	going.Release()
	going.Release()
	stalled.Release()
	assert.Equal(t, in.Used(), 0)
	assert.Equal(t, in.GivenUp(), 1)
}

// The load: callers send a byte now and then so as not to count as silent. Guards against
// bodies that hold much and get on too slowly to end.
func TestDrippingRequestLosesToOneThatGetsOn(t *testing.T) {
	in := NewIntake(1<<20, nil)
	drips, going := in.Begin(func() {}), in.Begin(func() {})
	now := intakeStart
	assert.Assert(t, drips.Grow(500<<10, 500<<10, now))
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, drips.Grow(0, 1, now))
		assert.Assert(t, going.Grow(10<<10, 10<<10, now))
	}
	assert.Assert(t, going.Grow(100<<10, 100<<10, now))
	assert.Assert(t, wasGivenUp(drips) && !wasGivenUp(going))
}

// The load: whole large requests hold all the memory while servers work on them. Guards
// against ordinary small requests that are refused because of them.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	in := NewIntake(1<<20, nil)
	large := in.Begin(func() {})
	assert.Assert(t, large.Grow(1<<20, 1<<20, intakeStart) && large.Whole())
	assert.Assert(t, !in.Begin(func() {}).Grow(SmallRequestBytes+1, 1, intakeStart))
	for range 8 {
		small := in.Begin(func() { t.Error("given up") })
		assert.Assert(t, small.Grow(SmallRequestBytes, SmallRequestBytes, intakeStart) && small.Whole())
	}
	assert.Assert(t, !in.Begin(func() {}).Grow(SmallRequestBytes, 1, intakeStart), "their own memory is used up too")
}

// Guards against requests that wait for each other, bytes above the limit and bytes that stay
// counted for ever.
func TestIntakeKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 200 << 10
		in := NewIntake(limit, nil)
		now := intakeStart
		var receipts []*Receipt
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(receipts)).Draw(t, "request")
			if i == len(receipts) {
				receipts = append(receipts, in.Begin(func() {}))
			}
			r := receipts[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				r.Release()
			case 1:
				r.Whole()
			default:
				n := rapid.IntRange(0, 64<<10).Draw(t, "bytes")
				if r.Grow(n, n, now) {
					break
				}
				othersHold := 0
				for other := range in.receiving {
					if other != r {
						othersHold += other.held
					}
				}
				assert.Assert(t, wasGivenUp(r) || r.held > 0 || othersHold == 0, "a request that holds nothing was refused though others can make room")
			}
			assert.Assert(t, in.Used() <= limit+limit/8)
			sum := 0
			for _, r := range receipts {
				sum += r.held
			}
			assert.Equal(t, in.Used(), sum)
		}
		for _, r := range receipts {
			r.Release()
		}
		assert.Equal(t, in.Used(), 0)
		assert.Equal(t, len(in.receiving), 0)
	})
}

func TestIntakeCountsAgainstASharedBudget(t *testing.T) {
	shared := NewBudget(100)
	in := NewIntake(1000, shared)
	r := in.Begin(func() {})
	assert.Assert(t, r.Grow(60, 60, intakeStart))
	assert.Equal(t, shared.Used(), 60)
	assert.Assert(t, !shared.Reserve(50))
	r.Release()
	assert.Equal(t, shared.Used(), 0)
}

// Guards against bodies that are changed, and against chunks that are not counted.
func TestRequestBodyKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := NewIntake(4<<20, nil)
		r := in.Begin(func() {})
		var body RequestBody
		var want []byte
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3*nextChunkBytes), 0, 6).Draw(t, "sizes")
		total := 0
		for _, n := range sizes {
			total += n
		}
		announced := rapid.Bool().Draw(t, "announced")
		for i, n := range sizes {
			piece := bytes.Repeat([]byte{byte(i + 1)}, n)
			left := 0
			if announced {
				left = total - len(want)
			}
			assert.Assert(t, body.Append(r, piece, left, intakeStart))
			want = append(want, piece...)
		}
		held := 0
		for _, c := range body.Chunks() {
			held += cap(c)
		}
		assert.Equal(t, in.Used(), held)
		assert.Assert(t, bytes.Equal(bytes.Join(body.Chunks(), nil), want))
		assert.Equal(t, body.Len(), len(want))
		if announced {
			assert.Equal(t, held, total)
		}
	})
}
