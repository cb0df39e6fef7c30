package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// silentFleet starts an entry that reaches its servers through relays, gives it
// many idle connections, and then makes all of these silent; new ones work.
func silentFleet(ctx context.Context, t *testing.T) *standin.Fleet {
	t.Helper()
	var relays []*standin.Relay
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1, Started: func(f *standin.Fleet) {
		var list []lists.Server
		for _, s := range f.Servers {
			relay, err := standin.NewRelay(s.Info.Address)
			assert.NilError(t, err)
			t.Cleanup(relay.Close)
			info := s.Info
			info.Address = relay.Address
			list = append(list, info)
			relays = append(relays, relay)
		}
		f.Platform.Publish(string(lists.ServersName), standin.SampleServers(list))
	}})
	callers := startTraffic(t, fleet, 32, 0)
	waitFor(t, "idle connections", func() bool { return callers.answered() > 1000 })
	callers.stop()
	for _, r := range relays {
		assert.Assert(t, r.Open() >= 4, "%d connections, so this shows nothing", r.Open())
		r.Silence()
	}
	return fleet
}

// freshTime is longer than an idle connection may carry a booking.
const freshTime = time.Second

func TestNoBookingIsSentIntoASilentConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := silentFleet(ctx, t)
	time.Sleep(freshTime)
	var wait sync.WaitGroup
	results := make(chan standin.Response, 8)
	for i := range cap(results) {
		wait.Go(func() {
			res, err := standin.Call(ctx, http.MethodPost, fleet.Entries[0].URL()+"/moves/book", fmt.Sprint("booking ", i), nil)
			assert.Check(t, err)
			results <- res
		})
	}
	wait.Wait()
	close(results)
	for res := range results {
		assert.Equal(t, res.Status, http.StatusOK, res.Body)
	}
}

// Only the first lookups meet silent connections: the others are dropped once
// one is overdue.
func TestLookupsLeaveSilentConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := silentFleet(ctx, t)
	start := time.Now()
	for i := range 10 {
		res, err := standin.Call(ctx, http.MethodGet, fmt.Sprint(fleet.Entries[0].URL(), "/stock/lookup?i=", i), "", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, http.StatusOK, "lookup %d after %s: %s", i, time.Since(start), res.Body)
	}
	t.Logf("10 lookups took %s", time.Since(start))
}

// A slow server does not make a booking run at another one too.
func TestBookingsAreNeverHedged(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1})
	callers := startTraffic(t, fleet, 8, 0)
	waitFor(t, "a short delay of hedges", func() bool { return callers.answered() > 1000 })
	callers.stop()
	for _, s := range fleet.Servers {
		s.SetSlow(200)
	}
	for i := range 3 {
		body := fmt.Sprint("slow booking ", i)
		res, err := standin.Call(ctx, http.MethodPost, fleet.Entries[0].URL()+"/moves/book", body, nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, http.StatusOK, res.Body)
		assert.Equal(t, ran(fleet, body), 1)
	}
}
