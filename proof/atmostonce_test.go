package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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

const (
	testLimit = time.Minute
	pollEvery = 10 * time.Millisecond
	// settleTime gives a call that should not run the time to run all the same.
	settleTime = 300 * time.Millisecond
)

// book sends a booking under a ticket. The zero response means that no answer
// came within the wait.
func book(ctx context.Context, entry *standin.EntryProcess, ticket, body string, wait time.Duration) standin.Response {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	header := make(http.Header)
	if ticket != "" {
		header.Set(call.HeaderTicket, ticket)
	}
	res, err := standin.Call(ctx, http.MethodPost, entry.URL()+"/moves/book", body, header)
	if err != nil {
		return standin.Response{}
	}
	return res
}

func outcomeOf(res standin.Response) string { return res.Header.Get(call.HeaderOutcome) }

func reasonOf(res standin.Response) string { return res.Header.Get(call.HeaderReason) }

// mint gets a ticket from an entry.
func mint(ctx context.Context, t *testing.T, entry *standin.EntryProcess) string {
	t.Helper()
	res, err := standin.Call(ctx, http.MethodGet, entry.URL()+"/.baobab/ticket", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.Status, http.StatusOK, res.Body)
	return strings.TrimSpace(res.Body)
}

// ran counts how often the fake servers ran a booking.
func ran(fleet *standin.Fleet, body string) int {
	n := 0
	for _, s := range fleet.Servers {
		for _, run := range s.Ran() {
			if run.Body == body {
				n++
			}
		}
	}
	return n
}

// eventually polls until the condition holds.
func eventually(ctx context.Context, t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// checkOnce compares what callers were told of a booking with what ran.
func checkOnce(t *testing.T, fleet *standin.Fleet, body string, responses ...standin.Response) {
	t.Helper()
	n := ran(fleet, body)
	assert.Assert(t, n <= 1, "%s ran %d times", body, n)
	for _, res := range responses {
		switch outcomeOf(res) {
		case "not-run":
			assert.Equal(t, n, 0, "%s ran after not-run (%s)", body, reasonOf(res))
		case "answered":
			assert.Equal(t, n, 1, body)
			var reply standin.Reply
			assert.NilError(t, json.Unmarshal([]byte(res.Body), &reply))
			assert.Equal(t, reply.Body, body)
		}
	}
}

// setSlow multiplies the work of the moves servers.
func setSlow(fleet *standin.Fleet, factor float64) {
	for _, s := range fleet.Servers {
		s.SetSlow(factor)
	}
}

func restart(ctx context.Context, t *testing.T, fleet *standin.Fleet, e *standin.EntryProcess) {
	t.Helper()
	assert.NilError(t, fleet.StartEntry(e))
	assert.NilError(t, e.WaitReady(ctx))
}

func kill(t *testing.T, e *standin.EntryProcess) {
	t.Helper()
	assert.NilError(t, e.Signal(syscall.SIGKILL))
	_ = e.Wait()
}

func TestResendsAfterTheOwnerIsKilledOrReplaced(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3})
	owner := fleet.Entries[0]
	for moment, want := range map[string]int{"before": 0, "during": 1, "after": 1} {
		ticket, body := mint(ctx, t, owner), "killed "+moment
		switch moment {
		case "during":
			setSlow(fleet, 200)
			go book(ctx, owner, ticket, body, testLimit)
			eventually(ctx, t, "the booking runs", func() bool { return ran(fleet, body) == 1 })
		case "after":
			assert.Equal(t, outcomeOf(book(ctx, owner, ticket, body, testLimit)), "answered")
		}
		kill(t, owner)
		for _, e := range fleet.Entries[1:] {
			assert.Equal(t, outcomeOf(book(ctx, e, ticket, body, testLimit)), "unknown")
		}
		setSlow(fleet, 1)
		restart(ctx, t, fleet, owner)
		for _, e := range fleet.Entries {
			res := book(ctx, e, ticket, body, testLimit)
			assert.Equal(t, outcomeOf(res), "unknown")
			assert.Assert(t, reasonOf(res) == "owner-gone" || e != owner, reasonOf(res))
		}
		assert.Equal(t, ran(fleet, body), want, moment)
	}
}

func TestResendsWhileTheOwnerIsFrozen(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})
	owner, other := fleet.Entries[0], fleet.Entries[1]
	for _, moment := range []string{"before", "during"} {
		ticket, body := mint(ctx, t, owner), "frozen "+moment
		if moment == "during" {
			setSlow(fleet, 200)
			go book(ctx, other, ticket, body, testLimit)
			eventually(ctx, t, "the booking runs", func() bool { return ran(fleet, body) == 1 })
		}
		assert.NilError(t, owner.Signal(syscall.SIGSTOP))
		responses := []standin.Response{book(ctx, owner, ticket, body, settleTime), book(ctx, other, ticket, body, testLimit)}
		assert.Equal(t, outcomeOf(responses[1]), "unknown")
		assert.NilError(t, owner.Signal(syscall.SIGCONT))
		setSlow(fleet, 1)
		var last standin.Response
		eventually(ctx, t, "an answer after the wake-up", func() bool {
			last = book(ctx, other, ticket, body, testLimit)
			responses = append(responses, last)
			return outcomeOf(last) != "unknown"
		})
		time.Sleep(settleTime)
		checkOnce(t, fleet, body, responses...)
		if moment == "during" {
			assert.Equal(t, outcomeOf(last), "answered")
		}
	}
}

// relayedFleet starts two entries; the second one reaches the first through a
// relay only.
func relayedFleet(ctx context.Context, t *testing.T) (*standin.Fleet, *standin.Relay) {
	t.Helper()
	platform := standin.NewPlatform()
	var relay *standin.Relay
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2, PlatformFor: func(entry int) *standin.Platform {
		if entry == 0 {
			return nil
		}
		return platform
	}, Started: func(f *standin.Fleet) {
		var err error
		relay, err = standin.NewRelay(f.Entries[0].Peers)
		assert.NilError(t, err)
		t.Cleanup(relay.Close)
		first := f.Entries[0].VM()
		first.Address = relay.Address
		var servers []lists.Server
		for _, s := range f.Servers {
			servers = append(servers, s.Info)
		}
		platform.Publish(string(lists.PlansName), standin.SamplePlans())
		platform.Publish(string(lists.AllowancesName), standin.SampleAllowances())
		platform.Publish(string(lists.ServersName), standin.SampleServers(servers))
		platform.Publish(string(lists.VMsName), standin.SampleVMs([]lists.VM{first, f.Entries[1].VM()}))
	}})
	return fleet, relay
}

func TestResendsOverACutLinkBetweenEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet, relay := relayedFleet(ctx, t)
	owner, other := fleet.Entries[0], fleet.Entries[1]
	setSlow(fleet, 100)
	ticket, body := mint(ctx, t, owner), "link cut during"
	first := make(chan standin.Response, 1)
	go func() { first <- book(ctx, other, ticket, body, testLimit) }()
	eventually(ctx, t, "the booking runs", func() bool { return ran(fleet, body) == 1 })
	relay.Cut()
	responses := []standin.Response{<-first, book(ctx, other, ticket, body, testLimit)}
	for _, res := range responses {
		assert.Equal(t, outcomeOf(res), "unknown")
	}
	relay.Heal()
	eventually(ctx, t, "an answer after the link is back", func() bool {
		res := book(ctx, other, ticket, body, testLimit)
		responses = append(responses, res)
		return outcomeOf(res) == "answered"
	})
	responses = append(responses, book(ctx, owner, ticket, body, testLimit))
	checkOnce(t, fleet, body, responses...)
}

func TestResendsOverASilentLinkBetweenEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet, relay := relayedFleet(ctx, t)
	owner, other := fleet.Entries[0], fleet.Entries[1]
	for i := range 3 {
		opening := fmt.Sprintf("link open %d", i)
		assert.Equal(t, outcomeOf(book(ctx, other, mint(ctx, t, owner), opening, testLimit)), "answered")
		ticket, body := mint(ctx, t, owner), fmt.Sprintf("link silent %d", i)
		relay.Silence()
		first := book(ctx, other, ticket, body, testLimit)
		assert.Equal(t, outcomeOf(first), "unknown")
		assert.Equal(t, reasonOf(first), "owner-unreachable")
		again := book(ctx, other, ticket, body, testLimit)
		assert.Equal(t, outcomeOf(again), "answered", "the next forward uses a new connection")
		checkOnce(t, fleet, body, first, again)
	}
}

func TestAnotherCustomerOrRequestNeverGetsTheAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	const clerksKey = "clerks-key"
	plans := fmt.Appendf(nil, "[customers.agents]\nplan = \"agent\"\nkey_hash = %q\n[customers.clerks]\nplan = \"agent\"\nkey_hash = %q\n[end]\ncustomers = 2\n",
		lists.HashKey(standin.SampleKey), lists.HashKey(clerksKey))
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2, Plans: plans})
	ticket := mint(ctx, t, fleet.Entries[0])
	answered := book(ctx, fleet.Entries[0], ticket, "own move", testLimit)
	assert.Equal(t, outcomeOf(answered), "answered")
	for _, e := range fleet.Entries {
		res := bookAs(ctx, t, e, clerksKey, ticket, "own move")
		assert.Equal(t, outcomeOf(res), "unknown")
		assert.Equal(t, reasonOf(res), "ticket-other-customer")
		assert.Assert(t, !strings.Contains(res.Body, "own move"))
		res = book(ctx, e, ticket, "other move", testLimit)
		assert.Equal(t, outcomeOf(res), "unknown")
		assert.Equal(t, reasonOf(res), "ticket-other-request")
		res = book(ctx, e, ticket, "own move", testLimit)
		assert.Equal(t, res.Body, answered.Body)
	}
	assert.Equal(t, ran(fleet, "own move"), 1)
	assert.Equal(t, ran(fleet, "other move"), 0)
}

func bookAs(ctx context.Context, t *testing.T, e *standin.EntryProcess, key, ticket, body string) standin.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/moves/book", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(call.HeaderTicket, ticket)
	return do(t, req)
}

func do(t *testing.T, req *http.Request) standin.Response {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return standin.Response{Status: res.StatusCode, Header: res.Header, Body: string(data)}
}

// resends sends one booking several times at once through random entries.
func resends(ctx context.Context, rng *rand.Rand, fleet *standin.Fleet, ticket, body string) []standin.Response {
	const sendings = 6
	responses := make([]standin.Response, sendings)
	var all sync.WaitGroup
	for i := range responses {
		entry := fleet.Entries[rng.IntN(len(fleet.Entries))]
		wait := time.Duration(rng.IntN(20)) * time.Millisecond
		all.Go(func() {
			time.Sleep(wait)
			responses[i] = book(ctx, entry, ticket, body, 10*time.Second)
		})
	}
	all.Wait()
	return responses
}

func TestConcurrentResendsThroughAllEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3})
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 0))
		setSlow(fleet, 1+4*rng.Float64())
		body := fmt.Sprintf("concurrent %d", seed)
		ticket := mint(ctx, t, fleet.Entries[rng.IntN(len(fleet.Entries))])
		responses := resends(ctx, rng, fleet, ticket, body)
		for _, res := range responses {
			assert.Equal(t, outcomeOf(res), "answered", "seed %d: %s", seed, reasonOf(res))
		}
		checkOnce(t, fleet, body, responses...)
	}
}

// TestResendsWhileEntriesFreezeAndServersReject lets callers send bookings
// several times each while entries freeze and wake up and servers reject.
func TestResendsWhileEntriesFreezeAndServersReject(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 3})
	told := make(map[string][]standin.Response)
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		body := fmt.Sprintf("chaos %d", seed)
		ticket := mint(ctx, t, fleet.Entries[rng.IntN(len(fleet.Entries))])
		frozen := fleet.Entries[rng.IntN(len(fleet.Entries))]
		failing := rng.IntN(2) == 0
		for _, s := range fleet.Servers {
			s.SetFailing(failing)
		}
		pause := time.Duration(rng.IntN(30)) * time.Millisecond
		var faults sync.WaitGroup
		faults.Go(func() {
			time.Sleep(pause)
			_ = frozen.Signal(syscall.SIGSTOP)
			time.Sleep(10 * pause)
			_ = frozen.Signal(syscall.SIGCONT)
			for _, s := range fleet.Servers {
				s.SetFailing(false)
			}
		})
		told[body] = resends(ctx, rng, fleet, ticket, body)
		faults.Wait()
		told[body] = append(told[body], resends(ctx, rng, fleet, ticket, body)...)
	}
	time.Sleep(settleTime)
	for body, responses := range told {
		checkOnce(t, fleet, body, responses...)
	}
}
