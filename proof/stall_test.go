package proof

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

func TestStalledServiceLeavesRoomForAnother(t *testing.T) {
	const bookers = 800
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{
		Entries: 1, Allowances: limitedAllowances(3000, 3000, 3000), CallersSettings: "max_in_flight = 400",
		Servers: map[string][]standin.ServerOptions{
			"stock": {sampleServer("stock-1")},
			"moves": {{ID: "moves-1", Slots: 6, Queue: bookers, Work: 2 * time.Millisecond}},
		},
	})
	for _, s := range fleet.Servers {
		if s.Info.Service == "moves" {
			s.SetSlow(1000)
		}
	}
	url := fleet.Entries[0].URL()
	loadCtx, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	var mu sync.Mutex
	reasons := make(map[string]int)
	for range bookers {
		loads.Go(func() {
			for loadCtx.Err() == nil {
				res, err := standin.Call(loadCtx, http.MethodPost, url+"/moves/book", "move", nil)
				if err == nil {
					mu.Lock()
					reasons[res.Header.Get(call.HeaderReason)]++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	full := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return reasons["overloaded"]+reasons["entry-full"] > 0
	}
	for !full() {
		assert.NilError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 200 {
		res, err := standin.Call(ctx, http.MethodGet, url+"/stock/lookup", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Status, http.StatusOK, "lookup %d: %s", i, res.Body)
	}
	stop()
	loads.Wait()
	t.Logf("bookings: %v", reasons)
}

// TestBodiesStayWithinTheMemoryBudget sends bodies over many connections, all but
// their last byte, and checks that those beyond the budget are refused, that the
// refused ones were not run and that what is counted returns to nothing.
func TestBodiesStayWithinTheMemoryBudget(t *testing.T) {
	const conns, bodyBytes = 60, 200 << 10
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{
		Entries: 1, Allowances: limitedAllowances(3000, 3000, 3000), CallersSettings: "memory_bytes = 4194304",
	})
	entry := fleet.Entries[0]
	body := strings.Repeat("x", bodyBytes)
	var all []net.Conn
	for range conns {
		c, err := net.Dial("tcp", entry.Callers)
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /moves/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			standin.SampleKey, bodyBytes, body[1:])
		assert.NilError(t, err)
		all = append(all, c)
	}
	waitFor(t, "bodies to be held", func() bool { return bodyBytesOf(t, entry) > 4<<20-bodyBytes })
	assert.Assert(t, bodyBytesOf(t, entry) < 5<<20, "what is held stays near callers.memory_bytes")
	var ran, refused int
	for i, c := range all {
		// Half of them leave before the last byte.
		if i%2 == 1 {
			assert.NilError(t, c.Close())
			continue
		}
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		switch res.Header.Get(call.HeaderReason) {
		case "":
			assert.Equal(t, res.StatusCode, http.StatusOK)
			ran++
		case "memory":
			assert.Equal(t, res.Header.Get(call.HeaderOutcome), "not-run")
			refused++
		default:
			t.Fatalf("unexpected refusal %v", res.Header)
		}
	}
	t.Logf("ran %d, refused %d", ran, refused)
	assert.Assert(t, refused > 0)
	started := 0
	for _, s := range fleet.Servers {
		started += len(s.Ran())
	}
	assert.Equal(t, started, ran)
	waitFor(t, "a booking to fit", func() bool {
		// A call makes the garbage collector's work seen.
		res, err := standin.Call(ctx, http.MethodPost, entry.URL()+"/moves/book", body[:bodyBytes/2], nil)
		assert.NilError(t, err)
		return res.Status == http.StatusOK && bodyBytesOf(t, entry) < bodyBytes
	})
}

// bodyBytesOf reads what the entry counts against its memory budget.
func bodyBytesOf(t *testing.T, e *standin.EntryProcess) float64 {
	t.Helper()
	res, err := http.Get("http://" + e.Admin + "/metrics")
	assert.NilError(t, err)
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "baobab_body_bytes "); ok {
			value, err := strconv.ParseFloat(text, 64)
			assert.NilError(t, err)
			return value
		}
	}
	t.Fatal("the entry has no metric baobab_body_bytes")
	return 0
}
