package proof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/standin"
)

// leavingLimit is the time within which new work must stop.
const leavingLimit = 3 * time.Second

// A server says on its answers that it is leaving, while the list lags and the
// configuration service is down.
func TestServerThatSaysItIsLeavingGetsNoNewWork(t *testing.T) {
	checkLeaving(t, func(s *standin.RunningServer) { s.SetLeaving(true) }, true)
}

// A server refuses connects but still answers on open connections.
func TestServerThatRefusesConnectsGetsNoNewWork(t *testing.T) {
	checkLeaving(t, func(s *standin.RunningServer) { s.CloseListener() }, true)
}

// The platform's list says that a server is leaving.
func TestServerThatLeavesByListGetsNoNewWork(t *testing.T) {
	checkLeaving(t, nil, false)
}

func checkLeaving(t *testing.T, leave func(*standin.RunningServer), platformDown bool) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	callers := startTraffic(t, fleet, 16, time.Millisecond)
	leaving := []*standin.RunningServer{fleet.Servers["stock-1"], fleet.Servers["moves-1"]}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, s := range leaving {
			if len(s.Ran()) < 20 {
				return poll.Continue("%s ran %d calls", s.Info.ID, len(s.Ran()))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	fleet.Platform.SetDown(platformDown)
	for _, s := range leaving {
		if leave != nil {
			leave(s)
			continue
		}
		s.Info.State = "leaving"
		fleet.PublishServers()
	}
	time.Sleep(leavingLimit)
	before, answered := []int{len(leaving[0].Ran()), len(leaving[1].Ran())}, callers.answered()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if callers.answered() < answered+200 {
			return poll.Continue("%d answers", callers.answered()-answered)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	tally := callers.stop()
	for i, s := range leaving {
		assert.Equal(t, len(s.Ran()), before[i], "%s got new work", s.Info.ID)
	}
	for kind := range tally {
		assert.Assert(t, kind == "GET 200 answered" || kind == "POST 200 answered", "%v", tally)
	}
}

// A server that said that it is leaving gets work again once it answers a probe
// that it is live.
func TestServerThatStaysGetsWorkAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1, Allowances: allowances(2, 8, 4)})
	callers := startTraffic(t, fleet, 8, time.Millisecond)
	s := fleet.Servers["stock-1"]
	s.SetLeaving(true)
	waitFor(t, "stock-1 to be left out", func() bool {
		n := len(s.Ran())
		answered := callers.answered()
		for callers.answered() < answered+50 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return n > 0 && len(s.Ran()) == n
	})
	n := len(s.Ran())
	s.SetLeaving(false)
	waitFor(t, "stock-1 to get work", func() bool { return len(s.Ran()) > n })
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("wait for %s", what)
	}, poll.WithTimeout(30*time.Second))
}
