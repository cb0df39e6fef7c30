package proof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/policy/share"
	"github.com/baobabstack/baobabstack/internal/standin"
)

const limitedDeadline = time.Second

// limitedAllowances is a list for three entries with one limited plan.
func limitedAllowances(rate, burst, concurrency int) []byte {
	return fmt.Appendf(nil, `entries = 3

[services.stock]
slots = 6
connections = 3000
probes_per_second = 0.5
operations.lookup = { method = "GET", idempotent = true }

[services.moves]
slots = 6
connections = 3000
probes_per_second = 0.5
operations.book = { method = "POST" }

[plans.agent.stock]
rate = %d
burst = %d
concurrency = %d
deadline = "%s"

[plans.agent.moves]
rate = 60000
burst = 30000
concurrency = 30000
deadline = "1s"

[end]
services = 2
plans = 1
`, rate, burst, concurrency, limitedDeadline)
}

// load sends lookups to an entry at an even pace until the context ends, each in
// a goroutine of its own, and returns when all have ended.
func load(ctx context.Context, e *standin.EntryProcess, perSecond int) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*limitedDeadline)
				defer cancel()
				_, _ = standin.Call(callCtx, http.MethodGet, e.URL()+"/stock/lookup", "", nil)
			})
		}
	}
}

// starts returns when the stock servers started calls, in order.
func starts(fleet *standin.Fleet) []time.Time {
	var all []time.Time
	for _, s := range fleet.Servers {
		if s.Info.Service != "stock" {
			continue
		}
		for _, r := range s.Ran() {
			all = append(all, r.At)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// checkAllowance checks every window of the calls that servers started. A call
// may start up to its deadline after its token was taken, so a window counts as
// longer by that; from the beginning, when no token was taken, it does not.
func checkAllowance(t *testing.T, began time.Time, all []time.Time, rate, burst float64) {
	t.Helper()
	for i, first := range all {
		sinceBegan := burst + rate*first.Sub(began).Seconds()
		assert.Assert(t, float64(i+1) <= sinceBegan, "%d calls in %s, allowed %.0f", i+1, first.Sub(began), sinceBegan)
		for j, last := range all[i:] {
			window := last.Sub(first) + limitedDeadline
			allowed := burst + rate*window.Seconds()
			assert.Assert(t, float64(j+1) <= allowed, "%d calls in %s, allowed %.0f", j+1, last.Sub(first), allowed)
		}
	}
}

func TestAllowanceHoldsWhileEntriesRestartFreezeAndReload(t *testing.T) {
	const rate, burst = 12, 120
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3, Allowances: limitedAllowances(rate, burst, 300)})
	began := time.Now()

	loadCtx, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	for i, perSecond := range []int{20 * rate, rate / 6, rate / 6} {
		loads.Go(func() { load(loadCtx, fleet.Entries[i], perSecond) })
	}
	killed, frozen := fleet.Entries[1], fleet.Entries[2]
	for round := range rounds(12, 4) {
		assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
		assert.NilError(t, killed.Signal(syscall.SIGKILL))
		_ = killed.Wait()
		assert.NilError(t, fleet.StartEntry(killed))
		// Longer than a transfer may take.
		time.Sleep(2 * share.TransferTimeout)
		assert.NilError(t, frozen.Signal(syscall.SIGCONT))
		assert.NilError(t, killed.WaitReady(ctx))
		// Between two plans that both stay within the bound that is checked.
		fleet.Platform.Publish("allowances", limitedAllowances(rate-round%2, burst, 300))
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	loads.Wait()
	all := starts(fleet)
	t.Logf("%d calls started in %s", len(all), time.Since(began))
	least := rate / 6 * time.Since(began).Seconds()
	assert.Assert(t, float64(len(all)) >= least, "%d calls, half of one entry's own share is %.0f", len(all), least)
	checkAllowance(t, began, all, rate, burst)
}

func TestTransfersGiveDemandAtOneEntryMostOfTheAllowance(t *testing.T) {
	const rate, burst, phase = 150, 75, 4 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3, Allowances: limitedAllowances(rate, burst, 300)})

	serve := func() int {
		before := len(starts(fleet))
		loadCtx, stop := context.WithTimeout(ctx, phase)
		defer stop()
		load(loadCtx, fleet.Entries[0], 3*rate)
		return len(starts(fleet)) - before
	}
	began := time.Now()
	together := serve()
	for _, e := range fleet.Entries[1:] {
		assert.NilError(t, e.Signal(syscall.SIGSTOP))
	}
	time.Sleep(share.HoldTime)
	cut := time.Now()
	alone := serve()
	own := (burst + rate*time.Since(cut).Seconds()) / 3
	t.Logf("with transfers %d, without %d, own share at most %.0f", together, alone, own)
	assert.Assert(t, float64(alone) <= own, "%d without transfers, own share %.0f", alone, own)
	assert.Assert(t, together >= 2*alone, "%d with transfers, %d without", together, alone)
	checkAllowance(t, began, starts(fleet), rate, burst)
}

func TestRefusalsWithinThePlanAreTypedAndNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	slow := []standin.ServerOptions{{ID: "stock-1", Slots: 6, Queue: 12, Work: 50 * time.Millisecond}}
	fleet := startFleet(ctx, t, standin.FleetOptions{
		Entries: 1, Allowances: limitedAllowances(9, 30, 6),
		Servers: map[string][]standin.ServerOptions{"stock": slow, "moves": {sampleServer("moves-1")}},
	})
	reasons := make(map[string]int)
	var mu sync.Mutex
	for round := 0; reasons["rate"] == 0 || reasons["concurrency"] == 0; round++ {
		assert.Assert(t, round < 20, "refusals: %v", reasons)
		if round%2 == 1 {
			// Long enough for more tokens than calls may be in flight.
			time.Sleep(time.Second)
		}
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				res, err := standin.Call(ctx, http.MethodGet, fleet.Entries[0].URL()+"/stock/lookup", "", nil)
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, err)
				reasons[res.Header.Get(call.HeaderReason)]++
				if res.Status == http.StatusOK {
					return
				}
				assert.Check(t, res.Status == http.StatusTooManyRequests)
				assert.Check(t, res.Header.Get(call.HeaderOutcome) == "not-run")
				assert.Check(t, res.Header.Get("Retry-After") >= "1")
				assert.Check(t, res.Header.Get(call.HeaderRetryAfterMs) != "")
			})
		}
		calls.Wait()
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(starts(fleet)), reasons[""])
}
