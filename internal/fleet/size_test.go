package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

const sizeWindow = 10 * time.Second

// Guards against gateways that spend the part of one that has left with its part spent, or of
// one that runs on unheard.
func TestPartsOfMembersThatAreGoneStayReserved(t *testing.T) {
	m := newTestMembers(testMember("a", "x", 1), testMember("b", "x", 1), testMember("c", "y", 1), testMember("d", "y", 1))
	gateways := func(at time.Duration) int { return m.Size(sizeWindow, now.Add(at)).Gateways }
	local := func(at time.Duration) int { return m.Size(sizeWindow, now.Add(at)).Local }
	assert.Equal(t, gateways(0), 4)
	assert.Equal(t, local(0), 2)
	leaving := testMember("b", "x", 1)
	leaving.Beat, leaving.Leaving = 2, true
	m.Merge([]*fleetwire.Member{leaving}, now)
	assert.Equal(t, m.LiveCount(now), 3)
	assert.Equal(t, gateways(sizeWindow-time.Second), 4)
	assert.Equal(t, gateways(sizeWindow+time.Second), 4, "within a window of the loss")
	assert.Equal(t, local(sizeWindow+time.Second), 2)
	assert.Equal(t, gateways(4*sizeWindow), 3, "the member that left")
	assert.Equal(t, local(4*sizeWindow), 1)

	silent := forgetTimeout - time.Second
	assert.Equal(t, m.LiveCount(now.Add(silent)), 1, "no beats for liveTimeout")
	assert.Equal(t, gateways(silent), 3, "members that fell silent may be cut off")
	m.Merge(nil, now.Add(forgetTimeout+time.Second)) // forgets them
	assert.Equal(t, gateways(forgetTimeout+4*sizeWindow), 1)
	m.findUnheardSeeds([]string{"a:2"}, now, now)
	assert.Assert(t, m.Size(sizeWindow, now.Add(forgetTimeout+4*sizeWindow)).Known, "its own address is the only seed")
	m.findUnheardSeeds([]string{"a:2", "b:2"}, now, now)
	assert.Assert(t, !m.Size(sizeWindow, now.Add(forgetTimeout+4*sizeWindow)).Known, "cut off from the start on")
}

// Guards against gateways that take the few members that they know for the whole fleet: the
// parts of a limit must not add up to more than the limit, whenever data centres are cut off
// from each other, and must add up to nearly all of it in a fleet that is whole.
func TestPartsOfALimitAddUpToTheLimit(t *testing.T) {
	const gateways, zones, minSum, maxSum = 100, 5, 0.95, 1.05
	for _, whole := range []int{0, 1, 3, 6, 12, 15, 30} { // rounds until the cut
		s := newGossipSimulation(t, gateways, zones)
		sum := func() (sum float64) {
			for _, g := range s.gateways {
				if size := g.members.Size(sizeWindow, s.clock); size.Known {
					sum += 1 / float64(size.Gateways)
				}
			}
			return sum
		}
		run := func(rounds int) {
			for range rounds {
				s.round()
				assert.Assert(t, sum() <= maxSum, "cut after %d rounds: %.2f", whole, sum())
			}
		}
		run(whole)
		s.cut = func(a, b string) bool { return a != b }
		run(60)
		s.cut = nil
		run(40)
		assert.Assert(t, sum() >= minSum, "cut after %d rounds: %.2f when whole again", whole, sum())
	}
}

// Guards against a gateway that never uses its part because a seed has been gone since before
// its start.
func TestSizeIsKnownInTheEndWithoutASeed(t *testing.T) {
	m := newTestMembers(testMember("a", "x", 2), testMember("b", "x", 1))
	settled := now.Add(settleTime)
	seeds := []string{"a:2", "b:2", "gone:2"}
	assert.DeepEqual(t, m.findUnheardSeeds(seeds, now, settled.Add(-stableTime)), []string(nil))
	beat := testMember("b", "x", 1)
	beat.Beat = 2
	m.Merge([]*fleetwire.Member{beat}, settled)
	assert.DeepEqual(t, m.findUnheardSeeds(seeds, now, settled), []string{"gone:2"})
	assert.Assert(t, !m.Size(sizeWindow, settled).Known)
	assert.DeepEqual(t, m.findUnheardSeeds(seeds, now, settled.Add(forgetTimeout)), []string(nil))
	assert.Assert(t, m.Size(sizeWindow, settled.Add(forgetTimeout)).Known)

	m = newTestMembers(testMember("a", "x", 1))
	m.findUnheardSeeds([]string{"a:2"}, now, now)
	assert.DeepEqual(t, m.Size(sizeWindow, now), Size{Gateways: 1, Local: 1, Known: true})
	m.Merge([]*fleetwire.Member{testMember("b", "x", 1)}, now)
	assert.DeepEqual(t, m.Size(sizeWindow, now), Size{Gateways: 2, Local: 2})
}
