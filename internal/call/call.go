// Package call defines a caller's request and its answer inside an entry.
package call

import (
	"net/http"
	"time"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// Names of the headers that the system reads or writes.
const (
	// HeaderOutcome states the outcome on every answer: answered, not-run or
	// unknown.
	HeaderOutcome = "Baobab-Outcome"
	// HeaderReason says in a word why the system itself answered.
	HeaderReason = "Baobab-Reason"
	// HeaderRetryAfterMs says when to call again, in milliseconds. Retry-After
	// says the same in whole seconds.
	HeaderRetryAfterMs = "Baobab-Retry-After-Ms"
	// HeaderServer names the server that answered.
	HeaderServer = "Baobab-Server"
	// HeaderTrace carries the trace id of the call.
	HeaderTrace = "Baobab-Trace-Id"
	// HeaderTicket carries a ticket, in either direction.
	HeaderTicket = "Baobab-Ticket"
	// HeaderDeadline carries the time left for the call, in milliseconds.
	HeaderDeadline = "Baobab-Deadline-Ms"
	// HeaderDepth carries the number of entries that the call has passed.
	HeaderDepth = "Baobab-Depth"
	// HeaderLoad carries a server's calls in flight on its answers.
	HeaderLoad = "Baobab-Load"
	// HeaderState carries a server's own signal on its answers: live or leaving.
	HeaderState = "Baobab-State"
	// HeaderNotStarted is set to true on a server's rejection of a call that
	// it did not start.
	HeaderNotStarted = "Baobab-Not-Started"
)

// MaxDepth is the most entries that a call may pass.
const MaxDepth = 7

// Request is one call as the callers' listener hands it on.
type Request struct {
	// Customer is the authenticated customer.
	Customer lists.Customer
	// Service and Operation name what is called.
	Service, Operation string
	// Idempotent says that the operation may run more than once.
	Idempotent bool
	// Method and Target are the HTTP method and request target.
	Method, Target string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole request body.
	Body []byte
	// Deadline is the monotonic time after which the answer is of no use.
	Deadline time.Duration
	// Depth is the number of entries that the call has passed.
	Depth int
	// Ticket is the single-use ticket sent with the call, if any.
	Ticket string
	// TraceParent is the W3C trace context to send on.
	TraceParent string
}

// Answer is what the caller gets.
type Answer struct {
	// Outcome says whether the call ran.
	Outcome outcome.Outcome
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Server is the id of the server that answered, if any.
	Server string
	// Reason says in a word why the system itself answered.
	Reason string
	// RetryAfter suggests when to call again; 0 gives no advice.
	RetryAfter time.Duration
	// Ticket is a fresh ticket for the caller, if any.
	Ticket string
}

// Refusal returns an answer that the system itself makes.
func Refusal(o outcome.Outcome, status int, reason string, retryAfter time.Duration) Answer {
	return Answer{
		Outcome:    o,
		Status:     status,
		Header:     http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:       []byte(o.String() + ": " + reason + "\n"),
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
