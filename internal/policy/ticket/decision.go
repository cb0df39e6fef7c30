package ticket

import "github.com/baobabstack/baobabstack/internal/policy/outcome"

// Action tells the owner's process how to handle a call that carries a ticket.
type Action int

// Actions that a Decision can hold.
const (
	// Refuse answers with the decision's outcome and reason. The call is not run.
	Refuse Action = iota
	// Run runs the call. Owner.Finish must be called when it ends.
	Run
	// Join waits for the result of the same call, which is already running.
	Join
	// Replay answers with the stored answer of the earlier run.
	Replay
)

// Reason is the code that tells the caller why a call with a ticket is refused.
type Reason string

// Reasons for refusing a call with a ticket.
const (
	// Invalid means that the text is malformed or that its authentication code is
	// wrong.
	Invalid Reason = "ticket-invalid"
	// OwnerGone means that the process that minted the ticket has ended.
	OwnerGone Reason = "owner-gone"
	// Expired means that the ticket is older than its lifetime or that its state
	// is no longer stored.
	Expired Reason = "ticket-expired"
	// OtherCustomer means that the ticket was minted for another customer.
	OtherCustomer Reason = "ticket-other-customer"
	// OtherRequest means that the ticket was spent on another request.
	OtherRequest Reason = "ticket-other-request"
	// Voided means that the ticket can't be spent and that its call did not run.
	Voided Reason = "ticket-void"
	// TooManyRunning means that Config.MaxRunning calls with tickets are running.
	TooManyRunning Reason = "tickets-full"
	// AnswerNotKept means that the ticket was spent and that the call's answer is
	// not stored, because it was evicted or is too large.
	AnswerNotKept Reason = "answer-not-kept"
	// Leaving means that the owner is shutting down and takes no new calls.
	Leaving Reason = "leaving"
)

// Decision tells how to handle one call that carries a ticket.
type Decision[A any] struct {
	// Action selects which of the other fields are set.
	Action Action
	// Sequence identifies the ticket for Run, Join and Replay.
	Sequence uint64
	// Answer is the stored answer for Replay.
	Answer A
	// Outcome is what the caller learns about its call on Refuse. It is NotRun
	// only if the ticket is void.
	Outcome outcome.Outcome
	// Reason is why the call is refused, for Refuse.
	Reason Reason
}

func refuse[A any](o outcome.Outcome, r Reason) Decision[A] {
	return Decision[A]{Action: Refuse, Outcome: o, Reason: r}
}
