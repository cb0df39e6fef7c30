package proof

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
)

const (
	budgetWindow = 4 * time.Second
	budgetRatio  = 0.2 // of the gateways' settings
	budgetPause  = 20 * time.Millisecond
)

// budgetLoad sends requests until it is told to stop and records when.
type budgetLoad struct {
	mu   sync.Mutex
	sent []time.Time
	stop chan struct{}
	done sync.WaitGroup
}

func startBudgetLoad(f *gatewayFleet, callers int) *budgetLoad {
	l := &budgetLoad{stop: make(chan struct{})}
	for c := range callers {
		l.done.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(budgetPause):
				}
				l.mu.Lock()
				l.sent = append(l.sent, time.Now())
				l.mu.Unlock()
				lookOnce(client, f.hosts[c%len(f.hosts)])
			}
		})
	}
	return l
}

// extraArrivals returns when requests reached a server of the fleet that had reached one
// before.
func (f *gatewayFleet) extraArrivals() (extra []time.Time) {
	byCall := make(map[string][]time.Time)
	for _, s := range f.servers {
		for _, a := range s.Arrivals() {
			byCall[a.CallID] = append(byCall[a.CallID], a.At)
		}
	}
	for _, times := range byCall {
		slices.SortFunc(times, time.Time.Compare)
		extra = append(extra, times[1:]...)
	}
	slices.SortFunc(extra, time.Time.Compare)
	return extra
}

func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// checkBudget ends the load and fails if a service got more extra arrivals in any window
// than the budget allows. The requests of a window are its own, those of the window before
// it or those of the one half a window before it, whichever are most.
func (l *budgetLoad) checkBudget(t *testing.T, f *gatewayFleet) {
	t.Helper()
	close(l.stop)
	l.done.Wait()
	extra := f.extraArrivals()
	worst, report := 0.0, "no extra arrivals"
	for _, from := range extra {
		requests := 0
		for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			begin := from.Add(-back)
			requests = max(requests, countBetween(l.sent, begin, begin.Add(budgetWindow)))
		}
		n, allowed := countBetween(extra, from, from.Add(budgetWindow)), budgetRatio*float64(requests)+fleetRetrySlack
		if used := float64(n) / allowed; used > worst {
			worst, report = used, fmt.Sprintf("%d extra arrivals of %d requests in a window from %s on, allowed %.0f", n, requests, from.Format("05.000"), allowed)
		}
	}
	t.Log(report)
	assert.Assert(t, worst > 0, "the case makes no gateway send again")
	assert.Assert(t, worst <= 1, report)
}

// Guards against processes that spend the extra sends of a window once more after a restart
// of all gateways, because their predecessors' sends are forgotten.
func TestFleetThatRestartsKeepsItsRetryBudget(t *testing.T) {
	f := startGatewayFleet(t, gatewayFleetOptions{RetryWindow: budgetWindow})
	l := startBudgetLoad(f, 12)
	time.Sleep(budgetWindow)
	for _, s := range f.servers {
		s.Refuse("")
	}
	time.Sleep(time.Second)
	for i, p := range f.processes {
		assert.NilError(t, p.Kill())
		<-p.ended
		f.start(t, i)
	}
	f.awaitReady(t)
	time.Sleep(2 * budgetWindow)
	l.checkBudget(t, f)
}

// Guards against gateways that each spend the whole slack of the fleet because they have
// never reached another one.
func TestGatewaysCutOffFromEachOtherKeepTheRetryBudget(t *testing.T) {
	f := startGatewayFleet(t, gatewayFleetOptions{
		RetryWindow: budgetWindow, Seeds: []string{standin.GatewayHost(510), standin.GatewayHost(511)}, // nobody listens there
	})
	l := startBudgetLoad(f, 3)
	time.Sleep(6 * time.Second) // the gateways may wait before they use the slack
	for _, s := range f.servers {
		s.Refuse("")
	}
	time.Sleep(budgetWindow)
	l.checkBudget(t, f)
}
