package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// rawFleet starts entries in front of servers that speak bytes.
func rawFleet(ctx context.Context, t *testing.T, entries int, raws ...*standin.RawServer) *standin.Fleet {
	t.Helper()
	return startFleet(ctx, t, standin.FleetOptions{Entries: entries, Started: func(f *standin.Fleet) {
		var list []lists.Server
		for _, raw := range raws {
			t.Cleanup(raw.Close)
			list = append(list, raw.Info)
		}
		f.Platform.Publish(string(lists.ServersName), standin.SampleServers(list))
	}})
}

func startRaw(t *testing.T, id, service string, script func(*standin.RawConn)) *standin.RawServer {
	t.Helper()
	raw, err := standin.StartRawServer(id, service, script)
	assert.NilError(t, err)
	return raw
}

func ranRaw(raw *standin.RawServer, body string) int {
	n := 0
	for _, run := range raw.Ran() {
		if run.Body == body {
			n++
		}
	}
	return n
}

// reset closes a connection with a reset.
func reset(c *standin.RawConn) {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// response returns a whole HTTP answer.
func response(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// answerAll runs each request on a connection and repeats its body.
func answerAll(c *standin.RawConn) {
	for {
		run, err := c.Run()
		if err != nil {
			return
		}
		c.Send(response(http.StatusOK, run.Body))
	}
}

const notStarted = call.HeaderNotStarted + ": true"

// TestServerFaultsAreNotCalledNotRun lets a server break off at each point of a
// booking's exchange, and sends the booking again under the same ticket.
func TestServerFaultsAreNotCalledNotRun(t *testing.T) {
	large := strings.Repeat("x", 900<<10)
	for _, c := range []struct {
		name, body, want string
		ran              int
		script           func(*standin.RawConn)
	}{
		// An entry may see these before it writes, and then not-run is true.
		{"close before reading", "a", "unknown or not-run", 0, func(*standin.RawConn) {}},
		{"reset before reading", "b", "unknown or not-run", 0, reset},
		{"reset within the head", "c", "unknown", 0, func(c *standin.RawConn) {
			_, _ = c.Reader.ReadByte()
			reset(c)
		}},
		{"reset within a large body", large, "unknown", 0, func(c *standin.RawConn) {
			_, _ = c.Reader.Discard(100 << 10)
			reset(c)
		}},
		{"close after running", "e", "unknown", 1, func(c *standin.RawConn) { _, _ = c.Run() }},
		{"reset within the answer", "f", "unknown", 1, func(c *standin.RawConn) {
			_, _ = c.Run()
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			reset(c)
		}},
		{"503 without the mark after running", "g", "answered", 1, func(c *standin.RawConn) {
			_, _ = c.Run()
			c.Send(response(http.StatusServiceUnavailable, "busy"))
		}},
		{"503 with a mark that is not true", "h", "answered", 1, func(c *standin.RawConn) {
			_, _ = c.Run()
			c.Send(response(http.StatusServiceUnavailable, "busy", call.HeaderNotStarted+": false"))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			raw := startRaw(t, "moves-raw", "moves", c.script)
			fleet := rawFleet(ctx, t, 2, raw)
			ticket := mint(ctx, t, fleet.Entries[0])
			for range 2 {
				for _, e := range fleet.Entries {
					res := book(ctx, e, ticket, c.body, testLimit)
					assert.Assert(t, slices.Contains(strings.Split(c.want, " or "), outcomeOf(res)), "%s", outcomeOf(res))
				}
			}
			plain := book(ctx, fleet.Entries[1], "", c.body, testLimit)
			assert.Assert(t, slices.Contains(strings.Split(c.want, " or "), outcomeOf(plain)), "%s", outcomeOf(plain))
			assert.Equal(t, ranRaw(raw, c.body), 2*c.ran, "one run for the ticket and one for the plain call")
		})
	}
}

// TestALostBookingIsNotSentAgain lets every server run a booking and lose the
// connection before it answers.
func TestALostBookingIsNotSentAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	loses := func(c *standin.RawConn) { _, _ = c.Run() }
	first, second := startRaw(t, "moves-1", "moves", loses), startRaw(t, "moves-2", "moves", loses)
	fleet := rawFleet(ctx, t, 2, first, second)
	for i := range 20 {
		body, ticket := fmt.Sprintf("lost %d", i), ""
		if i%2 == 0 {
			ticket = mint(ctx, t, fleet.Entries[0])
		}
		assert.Equal(t, outcomeOf(book(ctx, fleet.Entries[i/2%2], ticket, body, testLimit)), "unknown")
		assert.Equal(t, ranRaw(first, body)+ranRaw(second, body), 1, body)
	}
}

func TestLateServerIsUnknown(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	raw := startRaw(t, "moves-raw", "moves", func(c *standin.RawConn) {
		_, _ = c.Run()
		_, _ = c.Reader.ReadByte()
	})
	fleet := rawFleet(ctx, t, 1, raw)
	header := http.Header{call.HeaderDeadline: {"200"}}
	res, err := standin.Call(ctx, http.MethodPost, fleet.Entries[0].URL()+"/moves/book", "late", header)
	assert.NilError(t, err)
	assert.Equal(t, outcomeOf(res), "unknown")
	assert.Equal(t, ranRaw(raw, "late"), 1)
}

// TestNotRunIsFinalForATicket refuses a booking under a ticket in each way that
// a server allows, and then lets the server work again.
func TestNotRunIsFinalForATicket(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	for _, s := range fleet.Servers {
		s.SetFailing(true)
	}
	owner := fleet.Entries[0]
	ticket := mint(ctx, t, owner)
	refused := book(ctx, fleet.Entries[1], ticket, "rejected", testLimit)
	assert.Equal(t, outcomeOf(refused), "not-run")
	for _, s := range fleet.Servers {
		s.SetFailing(false)
	}
	for _, e := range fleet.Entries {
		assert.Equal(t, outcomeOf(book(ctx, e, ticket, "rejected", testLimit)), "not-run")
	}
	assert.Equal(t, ran(fleet, "rejected"), 0)
	fresh := refused.Header.Get(call.HeaderTicket)
	assert.Assert(t, fresh != "" && fresh != ticket)
	assert.Equal(t, outcomeOf(book(ctx, owner, fresh, "rejected", testLimit)), "answered")
	assert.Equal(t, ran(fleet, "rejected"), 1)
}

func TestRefusedConnectIsNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	raw := startRaw(t, "moves-raw", "moves", answerAll)
	fleet := rawFleet(ctx, t, 1, raw)
	raw.Close()
	ticket := mint(ctx, t, fleet.Entries[0])
	assert.Equal(t, outcomeOf(book(ctx, fleet.Entries[0], ticket, "refused", testLimit)), "not-run")
	listener, err := net.Listen("tcp", raw.Info.Address)
	assert.NilError(t, err)
	defer listener.Close()
	connected := make(chan struct{})
	go func() {
		if c, err := listener.Accept(); err == nil {
			close(connected)
			_ = c.Close()
		}
	}()
	assert.Equal(t, outcomeOf(book(ctx, fleet.Entries[0], ticket, "refused", testLimit)), "not-run")
	select {
	case <-connected:
		t.Fatal("a void ticket reached a server")
	case <-time.After(settleTime):
	}
}

// TestOnlyTheOwnerSaysNotRun sends calls with a ticket that an entry refuses
// before it knows the ticket's state.
func TestOnlyTheOwnerSaysNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	ticket := mint(ctx, t, fleet.Entries[0])
	for _, e := range fleet.Entries {
		assert.Equal(t, outcomeOf(bookAs(ctx, t, e, "no such key", ticket, "x")), "unknown")
		assert.Equal(t, outcomeOf(bookAs(ctx, t, e, standin.SampleKey, "no ticket", "x")), "unknown")
		for _, path := range []string{"/moves/none", "/none/book"} {
			res, err := standin.Call(ctx, http.MethodPost, e.URL()+path, "x", http.Header{call.HeaderTicket: {ticket}})
			assert.NilError(t, err)
			assert.Equal(t, outcomeOf(res), "unknown", path)
		}
	}
}

// TestALostLookupIsNeverCalledNotRun mixes a server that loses the connection
// after it ran a lookup with one that rejects lookups.
func TestALostLookupIsNeverCalledNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	loses := startRaw(t, "stock-loses", "stock", func(c *standin.RawConn) { _, _ = c.Run() })
	rejects := startRaw(t, "stock-rejects", "stock", func(c *standin.RawConn) {
		for {
			if _, err := c.Request(); err != nil {
				return
			}
			c.Send(response(http.StatusServiceUnavailable, "rejected", notStarted))
		}
	})
	fleet := rawFleet(ctx, t, 1, loses, rejects)
	for i := range 60 {
		target := fmt.Sprintf("/stock/lookup?box=%d", i)
		res, err := standin.Call(ctx, http.MethodGet, fleet.Entries[0].URL()+target, "", nil)
		assert.NilError(t, err)
		for _, run := range loses.Ran() {
			assert.Assert(t, run.Target != target || outcomeOf(res) != "not-run", "%s ran, the caller was told %s (%s)", target, outcomeOf(res), reasonOf(res))
		}
	}
}

// TestAHedgedLookupIsNeverCalledNotRun mixes a server that runs lookups and never
// answers with one that rejects the second attempts beside them.
func TestAHedgedLookupIsNeverCalledNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	stalls := startRaw(t, "stock-stalls", "stock", func(c *standin.RawConn) {
		_, _ = c.Run()
		_, _ = c.Reader.ReadByte()
	})
	rejects := startRaw(t, "stock-rejects", "stock", func(c *standin.RawConn) {
		for {
			if _, err := c.Run(); err != nil {
				return
			}
			c.Send(response(http.StatusServiceUnavailable, "rejected", notStarted))
		}
	})
	fleet := rawFleet(ctx, t, 1, stalls, rejects)
	told := make([]standin.Response, 120)
	var all sync.WaitGroup
	for i := range told {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			url := fmt.Sprintf("%s/stock/lookup?box=%d", fleet.Entries[0].URL(), i)
			told[i], _ = standin.Call(ctx, http.MethodGet, url, "", http.Header{call.HeaderDeadline: {"300"}})
		})
	}
	all.Wait()
	both := 0
	for i, res := range told {
		target := fmt.Sprintf("/stock/lookup?box=%d", i)
		reached := func(run standin.Run) bool { return run.Target == target }
		if !slices.ContainsFunc(stalls.Ran(), reached) {
			continue
		}
		assert.Equal(t, outcomeOf(res), "unknown", "%s (%s)", target, reasonOf(res))
		if slices.ContainsFunc(rejects.Ran(), reached) {
			both++
		}
	}
	assert.Assert(t, both > 0, "no lookup reached both servers")
	t.Logf("%d lookups reached both servers", both)
}

// TestShutdownTellsNoLies stops an entry while bookings with and without
// tickets arrive at all entries.
func TestShutdownTellsNoLies(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	leaving := fleet.Entries[0]
	setSlow(fleet, 10)
	var mu sync.Mutex
	told := make(map[string][]standin.Response)
	var all sync.WaitGroup
	for i := range 60 {
		ticket, body := "", fmt.Sprintf("shutdown %d", i)
		if i%2 == 0 {
			ticket = mint(ctx, t, leaving)
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			res := book(ctx, fleet.Entries[i/2%2], ticket, body, testLimit)
			mu.Lock()
			defer mu.Unlock()
			told[body] = append(told[body], res)
		})
	}
	time.Sleep(60 * time.Millisecond)
	assert.NilError(t, leaving.Signal(syscall.SIGTERM))
	assert.NilError(t, leaving.Wait())
	all.Wait()
	time.Sleep(settleTime)
	counts := make(map[string]int)
	for body, responses := range told {
		checkOnce(t, fleet, body, responses...)
		for _, res := range responses {
			counts[outcomeOf(res)]++
		}
	}
	t.Logf("outcomes: %v", counts)
	restart(ctx, t, fleet, leaving)
}
