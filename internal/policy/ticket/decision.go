package ticket

import "github.com/baobabstack/baobabstack/internal/policy/outcome"

// Action is what the owner does with a call that carries a ticket.
type Action int

// Actions of a decision.
const (
	// Refuse answers with the decision's outcome and reason; nothing runs.
	Refuse Action = iota
	// Run runs the call; Finish must follow.
	Run
	// Join waits for the run that is under way.
	Join
	// Replay answers with the kept answer.
	Replay
)

// Reason says in a word why a call with a ticket is refused.
type Reason string

// Reasons of a refusal.
const (
	// Invalid marks a text that the entry did not mint.
	Invalid Reason = "ticket-invalid"
	// OwnerGone marks a ticket whose owner's process has ended.
	OwnerGone Reason = "owner-gone"
	// Expired marks a ticket that is too old.
	Expired Reason = "ticket-expired"
	// OtherCustomer marks a ticket of another customer.
	OtherCustomer Reason = "ticket-other-customer"
	// OtherRequest marks a ticket that was spent on another request.
	OtherRequest Reason = "ticket-other-request"
	// Voided marks a ticket that can no longer be spent and never was.
	Voided Reason = "ticket-void"
	// TooManyRunning marks that the owner runs as many calls with tickets as it may.
	TooManyRunning Reason = "tickets-full"
	// AnswerNotKept marks a call that ran and whose answer is no longer kept.
	AnswerNotKept Reason = "answer-not-kept"
	// Leaving marks that the owner takes no new calls.
	Leaving Reason = "leaving"
)

// Decision is what the owner does with a call that carries a ticket.
type Decision[A any] struct {
	// Action is what to do.
	Action Action
	// Sequence identifies the ticket for Run, Join and Replay.
	Sequence uint64
	// Answer is the kept answer for Replay.
	Answer A
	// Outcome is told to the caller on Refuse. It is NotRun only if the ticket
	// is void.
	Outcome outcome.Outcome
	// Reason says why on Refuse.
	Reason Reason
}

func refuse[A any](o outcome.Outcome, r Reason) Decision[A] {
	return Decision[A]{Action: Refuse, Outcome: o, Reason: r}
}
