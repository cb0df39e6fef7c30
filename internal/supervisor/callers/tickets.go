package callers

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// ticketPath is where a caller gets a ticket without making a call.
const ticketPath = "/.baobab/ticket"

// Minter makes single-use tickets.
type Minter interface {
	// Mint returns a ticket's text, or "" if none may be made.
	Mint(customer string) string
}

// ticketOffice knows which plans need tickets. It is safe for concurrent use.
type ticketOffice struct {
	minter Minter
	plans  atomic.Pointer[ticketPlans]
}

// ticketPlans holds, for one allowances list, the plans that include an
// operation that is not idempotent.
type ticketPlans struct {
	list  *lists.Allowances
	plans map[string]bool
}

// mint returns a ticket for a customer whose plan needs them, else "".
func (o *ticketOffice) mint(customer lists.Customer, list *lists.Allowances) string {
	known := o.plans.Load()
	if known == nil || known.list != list {
		known = newTicketPlans(list)
		o.plans.Store(known)
	}
	if !known.plans[customer.Plan] {
		return ""
	}
	return o.minter.Mint(customer.Name)
}

func newTicketPlans(list *lists.Allowances) *ticketPlans {
	p := &ticketPlans{list: list, plans: make(map[string]bool)}
	for plan, services := range list.Plans {
		for service := range services {
			for _, op := range list.Services[service].Operations {
				p.plans[plan] = p.plans[plan] || !op.Idempotent
			}
		}
	}
	return p
}

// ticketAnswer answers GET /.baobab/ticket with a ticket as its body.
func (h *Handler) ticketAnswer(r *http.Request) call.Answer {
	snapshot := h.holder.Load()
	if !snapshot.Ready {
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "not-ready", time.Second)
	}
	customer, ok := authenticate(snapshot.Plans, r.Header.Get("Authorization"))
	if !ok {
		return call.Refusal(outcome.NotRun, http.StatusUnauthorized, "unknown-key", 0)
	}
	text := h.tickets.minter.Mint(customer.Name)
	if text == "" {
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "leaving", time.Second)
	}
	return call.Answer{
		Outcome: outcome.Answered, Status: http.StatusOK, Body: []byte(text + "\n"), Ticket: text,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "Cache-Control": {"no-store"}},
	}
}

// withoutClaim returns a refusal that claims nothing about earlier sendings: only
// the owner of a ticket may say that a call with it was not run.
func withoutClaim(r *http.Request, a call.Answer) call.Answer {
	if r.Header.Get(call.HeaderTicket) == "" || defect.On("claim-without-owner") {
		return a
	}
	return call.Refusal(outcome.Unknown, a.Status, a.Reason, a.RetryAfter)
}
