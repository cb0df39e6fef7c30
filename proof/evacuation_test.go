package proof

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/platform/fake"
)

// evacuationTime is the time within which all gateways follow an evacuation. The platform
// allows more.
const evacuationTime = 3 * time.Second

// lookEverywhere sends lookups to all gateways, and returns how many reached a server.
func (f *gatewayFleet) lookEverywhere(server int) int {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	before := len(f.servers[server].Arrivals())
	for range 4 {
		for _, host := range f.hosts {
			lookOnce(client, host)
		}
	}
	return len(f.servers[server].Arrivals()) - before
}

// awaitEvacuated waits until a server gets no lookups, or gets some again.
func (f *gatewayFleet) awaitEvacuated(t *testing.T, server int, evacuated bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if (f.lookEverywhere(server) == 0) == evacuated {
			return poll.Success()
		}
		return poll.Continue("evacuated: want %t", evacuated)
	}, poll.WithTimeout(evacuationTime))
}

// Guards against gateways that go on sending to an evacuated data centre because the store
// turns them away, and against ones that restart meanwhile and send there before they know.
func TestEvacuationReachesGatewaysThatTheStoreTurnsAway(t *testing.T) {
	f := startGatewayFleet(t, gatewayFleetOptions{})
	f.awaitEvacuated(t, 0, false)
	f.store.Trouble(fake.Busy, f.hosts[0])
	time.Sleep(300 * time.Millisecond)
	f.store.Evacuate("z0") // the data centre of the gateway that is turned away
	f.awaitEvacuated(t, 0, true)
	assert.Equal(t, f.lookEverywhere(0), 0)

	before := len(f.servers[0].Arrivals())
	assert.NilError(t, f.processes[0].Kill())
	<-f.processes[0].ended
	f.start(t, 0)
	f.awaitReady(t)
	assert.Equal(t, f.lookEverywhere(0), 0)
	assert.Equal(t, len(f.servers[0].Arrivals()), before, "it sent there before it knew")

	f.store.TakeBack("z0")
	f.awaitEvacuated(t, 0, false)
}

// Guards against an evacuation that some gateways never hear of because the one that reads the
// store for them has lost it.
func TestEvacuationIsFollowedWhenTheReaderLosesTheStore(t *testing.T) {
	f := startGatewayFleet(t, gatewayFleetOptions{})
	f.store.Trouble(fake.Reset)
	time.Sleep(300 * time.Millisecond)
	f.store.Evacuate("z1")
	f.store.Compact()
	f.store.Trouble(fake.Reset, f.hosts[1], f.hosts[2])
	f.awaitEvacuated(t, 1, true)
	assert.Equal(t, f.lookEverywhere(1), 0)
	f.store.Trouble(fake.Fine)
	f.store.TakeBack("z1")
	f.awaitEvacuated(t, 1, false)
}
