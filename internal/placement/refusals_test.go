package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusalFleet simulates entries that spread calls over three servers, of which the first
// refuses everything from 1 s to recovery while it reports that all its slots are free. Each
// entry prefers that server, as it would go by the report.
type refusalFleet struct {
	entries  []refusalEntry
	rng      *rand.Rand
	recovery time.Duration

	calls, refused, unserved, atFirst [60]int // by second
}

type refusalEntry struct {
	servers [3]Refusals
	sends   int
}

// call places one call with up to two attempts.
func (f *refusalFleet) call(e *refusalEntry, at time.Duration) {
	now, second := time.Unix(1000, 0).Add(at), int(at.Seconds())
	f.calls[second]++
	for attempt := range 2 {
		server := 1 + f.rng.IntN(2)
		first := &e.servers[0]
		if attempt == 0 && (!first.LeftOut() && f.rng.IntN(3) == 0 || first.LeftOut() && first.ClaimTrial(e.sends, now)) {
			server = 0
		}
		e.sends++
		if server == 0 && at >= time.Second && at < f.recovery {
			f.refused[second]++
			first.Refused(e.sends, now)
			continue
		}
		e.servers[server].Accepted()
		if server == 0 {
			f.atFirst[second]++
		}
		return
	}
	f.unserved[second]++
}

// A server refuses every call although it reports free slots, with room at two others. Its
// load report attracts calls; only what it does may count.
func TestServerThatRefusesWhatItHasRoomForIsTriedRarely(t *testing.T) {
	const end = 40 * time.Second
	for _, test := range []struct {
		name      string
		entries   int
		perSecond float64 // calls of the whole fleet
	}{
		{"three entries, many calls", 3, 900},
		{"seventeen entries, few calls", 17, 118},
		{"a hundred entries, some calls", 124, 567},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := &refusalFleet{entries: make([]refusalEntry, test.entries), rng: rand.New(rand.NewPCG(1, 2)), recovery: 25 * time.Second}
			for at := time.Duration(0); at < end; at += time.Duration(f.rng.ExpFloat64() / test.perSecond * float64(time.Second)) {
				f.call(&f.entries[f.rng.IntN(test.entries)], at)
			}
			calls, refused, unserved := 0, 0, 0
			for second := 2; second < 25; second++ {
				calls, refused, unserved = calls+f.calls[second], refused+f.refused[second], unserved+f.unserved[second]
			}
			t.Logf("%d of %d calls refused once, %d unserved", refused, calls, unserved)
			assert.Equal(t, unserved, 0)
			assert.Assert(t, float64(refused) < 0.02*float64(calls), "%d of %d", refused, calls)
			share := float64(f.atFirst[30]+f.atFirst[31]) / float64(f.calls[30]+f.calls[31])
			t.Logf("share of the server 5 s after its recovery: %.2f", share)
			if test.perSecond/float64(test.entries) > 30 {
				assert.Assert(t, share > 0.9/3, "%.2f", share)
			}
		})
	}
}

func TestCallsComeBackGraduallyAfterAPause(t *testing.T) {
	const long, short = time.Minute, time.Second
	assert.Equal(t, ReturnShare(0, long), firstReturnShare)
	assert.Equal(t, ReturnShare(maxReturnTime/2, long), 0.5)
	assert.Equal(t, ReturnShare(maxReturnTime, long), 1.0)
	assert.Equal(t, ReturnShare(time.Hour, long), 1.0)
	assert.Equal(t, ReturnShare(0, short), firstReturnShare)
	assert.Equal(t, ReturnShare(short/2, short), 0.5)
	assert.Equal(t, ReturnShare(short, short), 1.0)
	assert.Equal(t, ReturnShare(0, 0), 1.0)
}

// The load: callers have sent calls that take longer than others wait, and the route's service
// time is estimated by them. Guards against a route that is refused to all others for good,
// because no call corrects the estimate.
func TestRouteIsServedAfterLongCalls(t *testing.T) {
	const objective = 200 * time.Millisecond
	e := NewServiceTimeEstimator(objective)
	idle := Candidate{Slots: 4, Slowness: 1}
	for range 200 {
		e.Observe(time.Second, idle)
	}
	estimate, crowded := e.Estimate()
	assert.Assert(t, estimate > 900*time.Millisecond)
	d := Demand{ServiceTime: estimate, CrowdedFactor: crowded, Objective: objective, TimeLeft: 900 * time.Millisecond}
	assert.Equal(t, Decide(&idle, d, 0, objective), Send)
	full := Candidate{Running: 4, Slots: 4, Slowness: 1}
	assert.Equal(t, Decide(&full, d, 0, objective), Wait)
	assert.Equal(t, Decide(&full, d, objective, objective), Refuse)
}
