package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const slots = 6

type states struct {
	list []State
	now  time.Duration
}

func (s states) Len() int { return len(s.list) }

func (s states) Candidate(i int) (Candidate, bool) { return s.list[i].Candidate(s.now, slots) }

func newStates(n int) states {
	s := states{now: time.Minute}
	for range n {
		s.list = append(s.list, NewState(0))
	}
	return s
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestChooseNeverTakesALeavingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStates(rapid.IntRange(1, 60).Draw(t, "servers"))
		available := 0
		for i := range s.list {
			leaving := rapid.Bool().Draw(t, "leaving")
			s.list[i].SetLeaving(0, leaving)
			if !leaving {
				available++
			}
			for range rapid.IntRange(0, 20).Draw(t, "failures") {
				s.list[i].Observe(0, Result(rapid.IntRange(0, 3).Draw(t, "end")))
			}
		}
		i := Choose(s, rng())
		assert.Equal(t, i >= 0, available > 0)
		assert.Assert(t, i < 0 || !s.list[i].Leaving())
	})
}

func TestChooseTakesTheLeastLoaded(t *testing.T) {
	s := newStates(5)
	for i := range s.list {
		for range 5 - i {
			s.list[i].Sent()
		}
	}
	assert.Equal(t, Choose(s, rng()), 4)
}

func TestReportCountsOnlyOtherEntries(t *testing.T) {
	s := NewState(0)
	s.Sent()
	s.Sent()
	s.Report(0, 5)
	c, _ := s.Candidate(0, slots)
	assert.Equal(t, c.OthersInFlight, 3.0)
	assert.Equal(t, c.ReportWeight, freshReportWeight)
	later, _ := s.Candidate(time.Second, slots)
	assert.Assert(t, later.ReportWeight < 0.01)
}

// A server that fails fast looks idle. While it is ejected it must get only one
// trial call for each ejection.
func TestFailFastServerGetsOnlyTrialCalls(t *testing.T) {
	s := newStates(15)
	s.now = 0
	sent := 0
	for range 100_000 {
		s.now += time.Millisecond
		i := Choose(s, rng())
		s.list[i].Sent()
		if i == 3 {
			sent++
			s.list[i].Done(s.now, Failed)
			continue
		}
		s.list[i].Done(s.now, Succeeded)
	}
	assert.Assert(t, sent < 20, "%d calls", sent)
}

func TestEjectionsAreIgnoredIfMostServersAreEjected(t *testing.T) {
	s := newStates(15)
	for i := range s.list {
		for range 10 {
			s.list[i].Observe(s.now, Failed)
		}
		assert.Assert(t, s.list[i].Ejected())
		assert.Assert(t, Choose(s, rng()) >= 0)
	}
}

func TestEjectedServerReturnsInSlowStart(t *testing.T) {
	s := NewState(0)
	for range 10 {
		s.Observe(time.Minute, Failed)
	}
	c, _ := s.Candidate(time.Minute, slots)
	assert.Assert(t, c.Ejected && !c.Trial)
	now := time.Minute + minEjection
	c, _ = s.Candidate(now, slots)
	assert.Assert(t, c.Trial)
	s.Sent()
	c, _ = s.Candidate(now, slots)
	assert.Assert(t, !c.Trial, "one trial call at a time")
	s.Done(now, Succeeded)
	c, _ = s.Candidate(now, slots)
	assert.Assert(t, !c.Ejected)
	assert.Equal(t, c.SlowStartWeight, minSlowStartWeight)
	c, _ = s.Candidate(now+slowStartTime, slots)
	assert.Equal(t, c.SlowStartWeight, 1.0)
}

func TestEachEjectionLastsLonger(t *testing.T) {
	s := NewState(0)
	now := time.Duration(0)
	var last time.Duration
	for range 8 {
		for !s.Observe(now, Failed) {
		}
		pause := s.ejectedUntil - now
		assert.Assert(t, pause > last || pause == maxEjection)
		last, now = pause, s.ejectedUntil
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	s := newStates(150)
	r := rng()
	assert.Equal(t, testing.AllocsPerRun(100, func() { Choose(s, r) }), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 150, 3400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStates(n)
			for i := range s.list {
				s.list[i].Report(s.now, i%8)
			}
			r := rng()
			b.ReportAllocs()
			for b.Loop() {
				Choose(s, r)
			}
		})
	}
}
