package proof

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
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

// checkBudget ends the load and fails if servers got requests again more often than allowed
// in any window.
func (l *budgetLoad) checkBudget(t *testing.T, f *gatewayFleet) {
	t.Helper()
	close(l.stop)
	l.done.Wait()
	_, again := fake.Arrivals(f.servers...)
	used, text := standin.RetryBudget{Ratio: budgetRatio, Slack: fleetRetrySlack, Window: budgetWindow}.Worst(l.sent, again)
	t.Log(text)
	assert.Assert(t, used > 0, "the case makes no gateway send again")
	assert.Assert(t, used <= 1, text)
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
