package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

const noisyKey = "noisy-key"

// noisyPlans is the sample list with one more customer of the same plan.
func noisyPlans() []byte {
	return fmt.Appendf(nil, `[customers.shipping-agents]
plan = "agent"
key_hash = %q

[customers.noisy]
plan = "agent"
key_hash = %q

[end]
customers = 2
`, lists.HashKey(standin.SampleKey), lists.HashKey(noisyKey))
}

// TestNoisyCustomerCostsAnotherNoCall lets one customer offer several times what
// the servers can run, all of it within its allowance, and checks that none of
// another customer's calls is refused.
func TestNoisyCustomerCostsAnotherNoCall(t *testing.T) {
	const noisyCallers, quietCalls = 400, 12
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	slow := standin.ServerOptions{ID: "stock-1", Slots: 6, Queue: 100, Work: 200 * time.Millisecond}
	fleet := startFleet(ctx, t, standin.FleetOptions{
		Entries: 1, Plans: noisyPlans(),
		Allowances: bytes.Replace(limitedAllowances(60000, 30000, 30000), []byte(`deadline = "1s"`), []byte(`deadline = "4s"`), 1),
		Servers:    map[string][]standin.ServerOptions{"stock": {slow}, "moves": {sampleServer("moves-1")}},
	})
	url := fleet.Entries[0].URL() + "/stock/lookup"
	loadCtx, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	var refused atomic.Int64
	for range noisyCallers {
		loads.Go(func() {
			for loadCtx.Err() == nil {
				if noisyCall(loadCtx, url) == http.StatusServiceUnavailable {
					refused.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	waitFor(t, "a refusal", func() bool { return refused.Load() > 0 })
	began := time.Now()
	for i := range quietCalls {
		res, err := standin.Call(ctx, http.MethodGet, url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, http.StatusOK, "call %d: %s after %s", i, res.Header.Get(call.HeaderReason), time.Since(began))
	}
	stop()
	loads.Wait()
	t.Logf("%d quiet calls in %s, %d noisy ones refused", quietCalls, time.Since(began), refused.Load())
}

// noisyCall makes one call of the noisy customer and returns its status.
func noisyCall(ctx context.Context, url string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+noisyKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
