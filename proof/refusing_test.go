package proof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusingCallers is the number of callers of a fleet with a server that refuses.
const refusingCallers = 18

// Guards against a fleet that sends a third of its requests to a server that refuses all of
// them while it reports that all its slots are free.
func TestFleetServesAroundAServerThatRefusesEverything(t *testing.T) {
	for _, test := range []struct {
		name, retryAfter string
		until            time.Duration // from the recovery until the server carries its share
	}{
		{"without Retry-After", "", 5 * time.Second},
		{"with Retry-After", "4", 4*time.Second + 5*time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startGatewayFleet(t, gatewayFleetOptions{})
			f.load(refusingCallers, time.Second)
			refusing := f.servers[0]
			refusing.Refuse(test.retryAfter)
			f.load(refusingCallers, time.Second)
			before := len(refusing.Arrivals())
			sent, served := f.load(refusingCallers, 5*time.Second)
			refused := len(refusing.Arrivals()) - before
			t.Logf("%d of %d served, %d refused once", served, sent, refused)
			assert.Assert(t, float64(served) >= 0.99*float64(sent), "%d of %d", served, sent)
			assert.Assert(t, float64(refused) < 0.02*float64(sent), "%d of %d", refused, sent)
			refusing.Accept()
			f.load(refusingCallers, test.until)
			before = len(refusing.Arrivals())
			sent, _ = f.load(refusingCallers, time.Second)
			share := float64(len(refusing.Arrivals())-before) / float64(sent)
			t.Logf("share after the recovery: %.2f", share)
			assert.Assert(t, share > 0.8/3, "%.2f", share)
		})
	}
}
