package supervisor

import (
	"fmt"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

// pollEvery is the pause between two looks at what is still in flight.
const pollEvery = 5 * time.Millisecond

// stopper stops an entry without cutting a call in flight.
type stopper struct {
	settings settings.Stop
	control  interface{ Send(control.Event) bool }
	holder   *view.Holder
	// unready makes the readiness check fail.
	unready func()
	// callers is the listener towards callers.
	callers interface {
		Drain()
		GiveUp()
		Busy() int
	}
	// owned counts the calls that run for other entries.
	owned interface{ Busy() int }
	log   logs.Logger
}

// drainShare is the share of the drain bound in which calls may run. It leaves time to
// write the last answers.
const drainShare = 0.875

// stop fails readiness, takes calls for the lame-duck time, then refuses new
// ones and returns when all calls are answered in full. The drain bound limits
// the last step; calls that still run shortly before its end are given up.
func (s *stopper) stop() {
	begin := time.Now()
	s.unready()
	s.callers.Drain()
	s.note("stop-begun", fmt.Sprintf("not ready; calls are taken for %s more", s.settings.LameDuck))
	time.Sleep(s.settings.LameDuck.Duration)
	drainBegin := time.Now()
	deadline := drainBegin.Add(s.settings.Drain.Duration)
	s.refuseNew(deadline)
	if defect.On("cut-on-stop") {
		return
	}
	idle := func() bool { return s.callers.Busy() == 0 && s.owned.Busy() == 0 }
	if !poll(drainBegin.Add(time.Duration(drainShare*float64(s.settings.Drain.Duration))), idle) {
		s.note("stop-gives-up", fmt.Sprintf("%d calls of callers and %d of entries still run after %s", s.callers.Busy(), s.owned.Busy(), time.Since(begin).Round(time.Millisecond)))
		s.callers.GiveUp()
	}
	if poll(deadline, idle) {
		s.note("stop-drained", fmt.Sprintf("all calls are answered after %s", time.Since(begin).Round(time.Millisecond)))
		return
	}
	s.note("stop-cut", fmt.Sprintf("%d calls of callers and %d of entries are unanswered after %s", s.callers.Busy(), s.owned.Busy(), s.settings.Drain))
}

// refuseNew waits until the control goroutine has published that no new call is
// taken. A full event queue delays it.
func (s *stopper) refuseNew(deadline time.Time) {
	sent := poll(deadline, func() bool { return s.control.Send(control.StopRequested{}) })
	if !sent || !poll(deadline, func() bool { return s.holder.Load().Leaving }) {
		s.log.Errorf("the control goroutine does not answer")
	}
}

func (s *stopper) note(decision, reason string) {
	s.log.Infof("%s: %s", decision, reason)
	journal.Note("supervisor", decision, "entry", reason)
}

// poll waits until the condition holds and reports whether it did in time.
func poll(deadline time.Time, condition func() bool) bool {
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollEvery)
	}
	return true
}
