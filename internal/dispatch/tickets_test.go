package dispatch

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/view"
)

// forwardRecorder records the VMs that calls are forwarded to.
type forwardRecorder struct{ to []lists.VM }

func (r *forwardRecorder) Forward(_ context.Context, owner lists.VM, _ *call.Request) call.Answer {
	r.to = append(r.to, owner)
	return call.Answer{Outcome: outcome.Answered}
}

func newTestTickets(vm string, f Forwarder, peers ...lists.VM) *Tickets {
	holder := &view.Holder{}
	holder.Store(&view.Snapshot{Peers: peers})
	return NewTickets(vm, 2, holder, clock.Boot{}, f)
}

func ticketCall(ticket string, wait time.Duration) *call.Request {
	return &call.Request{
		Customer: lists.Customer{Name: "agents"}, Ticket: ticket, Method: http.MethodPost,
		Target: "/moves/book", Deadline: clock.Boot{}.Now() + wait,
	}
}

// TestJoinedCallWaitsOnlyUntilItsOwnDeadline sends a call again while it runs under
// its ticket. The call must run once, and each sending must wait no longer than its
// own deadline.
func TestJoinedCallWaitsOnlyUntilItsOwnDeadline(t *testing.T) {
	tickets := newTestTickets("vm-1", &forwardRecorder{})
	text := tickets.Mint("agents")
	started, end := make(chan struct{}), make(chan struct{})
	run := func(context.Context, *call.Request) call.Answer {
		close(started)
		<-end
		return call.Answer{Outcome: outcome.Answered, Body: []byte("booked")}
	}
	never := func(context.Context, *call.Request) call.Answer { panic("the call ran twice") }
	var all sync.WaitGroup
	all.Go(func() {
		answer := tickets.call(t.Context(), ticketCall(text, time.Minute), run)
		assert.Check(t, answer.Outcome == outcome.Answered)
	})
	<-started
	early := tickets.call(t.Context(), ticketCall(text, time.Millisecond), never)
	assert.Equal(t, early.Outcome, outcome.Unknown)
	assert.Equal(t, early.Reason, "still-running")
	for range 4 {
		all.Go(func() {
			answer := tickets.call(t.Context(), ticketCall(text, time.Minute), never)
			assert.Check(t, string(answer.Body) == "booked")
		})
	}
	close(end)
	all.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if tickets.Busy() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d calls with tickets are in flight", tickets.Busy())
	})
	again := tickets.call(t.Context(), ticketCall(text, time.Minute), never)
	assert.Equal(t, string(again.Body), "booked")
}

// TestCallsAreForwardedOnlyToListedVMs guards against a ticket that directs a call to
// a VM that is not, or no longer, in the VM list.
func TestCallsAreForwardedOnlyToListedVMs(t *testing.T) {
	text := newTestTickets("vm-2", nil).Mint("agents")
	never := func(context.Context, *call.Request) call.Answer {
		panic("a call ran at an entry that does not own its ticket")
	}
	f := &forwardRecorder{}
	gone := newTestTickets("vm-1", f).call(t.Context(), ticketCall(text, time.Minute), never)
	assert.Equal(t, gone.Outcome, outcome.Unknown)
	assert.Equal(t, gone.Reason, "owner-gone")
	assert.Equal(t, len(f.to), 0)
	vm := lists.VM{ID: "vm-2", Address: "10.0.0.2:7000"}
	newTestTickets("vm-1", f, vm).call(t.Context(), ticketCall(text, time.Minute), never)
	assert.DeepEqual(t, f.to, []lists.VM{vm})
	replaced := newTestTickets("vm-2", f).call(t.Context(), ticketCall(text, time.Minute), never)
	assert.Equal(t, replaced.Reason, "owner-gone")
}

// TestPanicDuringACallLeavesItsOutcomeUnknown guards against a ticket that stays
// running forever, or runs again, after a panic.
func TestPanicDuringACallLeavesItsOutcomeUnknown(t *testing.T) {
	tickets := newTestTickets("vm-1", &forwardRecorder{})
	text := tickets.Mint("agents")
	func() {
		defer func() { _ = recover() }()
		tickets.call(t.Context(), ticketCall(text, time.Minute), func(context.Context, *call.Request) call.Answer { panic("broken") })
	}()
	answer := tickets.call(t.Context(), ticketCall(text, time.Minute), func(context.Context, *call.Request) call.Answer { panic("the call ran twice") })
	assert.Equal(t, answer.Outcome, outcome.Unknown)
	assert.Equal(t, tickets.Busy(), 0)
}
