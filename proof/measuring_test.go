package proof

import (
	"bytes"
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// allowances returns the sample list for a number of entries, with limits for
// each server over the whole fleet.
func allowances(entries, connections, probesPerSecond int) []byte {
	list := standin.SampleAllowances()
	list = bytes.Replace(list, []byte("entries = 17"), fmt.Appendf(nil, "entries = %d", entries), 1)
	list = bytes.ReplaceAll(list, []byte("connections = 260"), fmt.Appendf(nil, "connections = %d", connections))
	return bytes.ReplaceAll(list, []byte("probes_per_second = 0.5"), fmt.Appendf(nil, "probes_per_second = %d", probesPerSecond))
}

// restartAll kills all entries at once and starts them again.
func restartAll(ctx context.Context, t *testing.T, fleet *standin.Fleet) {
	t.Helper()
	for _, e := range fleet.Entries {
		assert.NilError(t, e.Signal(syscall.SIGKILL))
	}
	for _, e := range fleet.Entries {
		_ = e.Wait()
	}
	for _, s := range fleet.Servers {
		waitFor(t, s.Info.ID+" to see the connections close", func() bool { return s.Open() == 0 })
	}
	for _, e := range fleet.Entries {
		assert.NilError(t, fleet.StartEntry(e))
	}
	for _, e := range fleet.Entries {
		assert.NilError(t, e.WaitReady(ctx))
	}
}

// All entries restart at once, twice, while load comes and goes and the VM list
// names one entry only. Servers count the probes of the whole fleet.
func TestProbesStayWithinTheBudget(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const entries, perSecond = 6, 2
	start := time.Now()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: entries, Allowances: allowances(entries, 8, perSecond)})
	fleet.Platform.Publish("vms", standin.SampleVMs([]lists.VM{fleet.Entries[0].VM()}))
	for range rounds(2, 1) {
		callers := startTraffic(t, fleet, 16, 0)
		time.Sleep(500 * time.Millisecond)
		callers.stop()
		time.Sleep(5 * time.Second)
		restartAll(ctx, t, fleet)
	}
	for _, s := range fleet.Servers {
		most := perSecond * time.Since(start).Seconds()
		assert.Assert(t, float64(s.Probes()) <= most, "%s got %d probes, at most %f", s.Info.ID, s.Probes(), most)
		assert.Assert(t, s.Probes() > 0, "%s got no probe, so this shows nothing", s.Info.ID)
	}
}

// More callers than connections, on slow servers, while all entries restart at
// once. Servers count the connections of the whole fleet.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const entries, connections = 4, 8
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: entries, Allowances: allowances(entries, connections, 4)})
	for _, s := range fleet.Servers {
		s.SetSlow(10)
	}
	for range 2 {
		callers := startTraffic(t, fleet, 64, 0)
		waitFor(t, "answers", func() bool { return callers.answered() > 200 })
		tally := callers.stop()
		assert.Equal(t, tally["GET 200 answered"]+tally["POST 200 answered"], sum(tally), "%v", tally)
		restartAll(ctx, t, fleet)
	}
	for _, s := range fleet.Servers {
		assert.Assert(t, s.MostOpen() <= connections, "%s had %d connections", s.Info.ID, s.MostOpen())
		assert.Assert(t, s.MostOpen() > connections/2, "%s had %d connections, so this shows nothing", s.Info.ID, s.MostOpen())
	}
}

func sum(tally map[string]int) int {
	total := 0
	for _, n := range tally {
		total += n
	}
	return total
}
