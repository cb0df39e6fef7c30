package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/policy/ticket"
)

var ticketsMinted = metrics.NewCounter("baobab_tickets_minted_total")

var actionNames = map[ticket.Action]string{
	ticket.Run: "run", ticket.Join: "join", ticket.Replay: "replay", ticket.Refuse: "refuse",
}

// countDecision counts a call with a ticket under the decision's action and reason.
func countDecision(a ticket.Action, r ticket.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("baobab_ticket_calls_total{action=%q,reason=%q}", actionNames[a], r)).Inc()
}

// ticketRefusal returns the answer to a call that is refused because of its ticket.
// It has a retry delay only if the outcome is not-run, since sending the call again
// as a new one is safe only then.
func ticketRefusal(o outcome.Outcome, r ticket.Reason) call.Answer {
	var retryAfter time.Duration
	if o == outcome.NotRun {
		retryAfter = defaultRetryAfter
	}
	return call.Refusal(o, ticketStatus(r), string(r), retryAfter)
}

// ticketStatus returns the HTTP status for a refusal reason.
func ticketStatus(r ticket.Reason) int {
	switch r {
	case ticket.Invalid:
		return http.StatusBadRequest
	case ticket.OtherCustomer:
		return http.StatusForbidden
	case ticket.OtherRequest, ticket.Voided, ticket.Expired, reasonStillRunning:
		return http.StatusConflict
	case ticket.AnswerNotKept:
		return http.StatusGone
	case ticket.OwnerGone:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
