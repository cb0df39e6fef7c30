// Package call defines the request and answer types that an entry passes between
// its packages, and the headers of the protocol with callers and servers.
package call

import (
	"net/http"
	"time"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// Names of the protocol's headers.
const (
	// HeaderOutcome carries the outcome of the call on every answer: answered,
	// not-run or unknown.
	HeaderOutcome = "Baobab-Outcome"
	// HeaderReason carries a short reason code on answers that an entry made
	// itself.
	HeaderReason = "Baobab-Reason"
	// HeaderRetryAfterMs carries the suggested delay before a retry, in
	// milliseconds. Retry-After carries it in seconds, rounded up.
	HeaderRetryAfterMs = "Baobab-Retry-After-Ms"
	// HeaderServer carries the id of the server that answered.
	HeaderServer = "Baobab-Server"
	// HeaderTrace carries the trace id of the call.
	HeaderTrace = "Baobab-Trace-Id"
	// HeaderTicket carries the call's ticket on a request and a new ticket on an
	// answer.
	HeaderTicket = "Baobab-Ticket"
	// HeaderDeadline carries the time left for the call on a request, in
	// milliseconds.
	HeaderDeadline = "Baobab-Deadline-Ms"
	// HeaderDepth carries the number of entries that the call has passed through,
	// so that loops are detected.
	HeaderDepth = "Baobab-Depth"
	// HeaderLoad carries the number of calls in flight at a server, on its
	// answers.
	HeaderLoad = "Baobab-Load"
	// HeaderState carries the state that a server reports on its answers: live or
	// leaving.
	HeaderState = "Baobab-State"
	// HeaderNotStarted is set to true by a server that rejects a call without
	// having started it.
	HeaderNotStarted = "Baobab-Not-Started"
)

// MaxDepth is the maximum number of entries that a call may pass through.
const MaxDepth = 7

// Request is a call received from a caller or forwarded by another entry.
type Request struct {
	// Customer is the authenticated customer.
	Customer lists.Customer
	// Service and Operation are the names from the request path.
	Service, Operation string
	// Idempotent is true if the operation may run more than once.
	Idempotent bool
	// Method and Target are the HTTP method and request target.
	Method, Target string
	// Header holds the headers without those that RemoveHopHeaders removes.
	Header http.Header
	// Body is the complete request body.
	Body []byte
	// Deadline is the time on the entry's clock.Clock after which the caller no
	// longer needs the answer.
	Deadline time.Duration
	// Depth is the number of entries that the call passed through before this one.
	Depth int
	// Ticket is the single-use ticket sent with the call; empty if there is none.
	Ticket string
	// TraceParent is the W3C trace context to send to the server; empty if there
	// is none.
	TraceParent string
}

// Answer is the answer to a call, from a server or made by an entry.
type Answer struct {
	// Outcome states whether the call ran.
	Outcome outcome.Outcome
	// Status is the HTTP status code.
	Status int
	// Header holds the headers without those that RemoveHopHeaders removes.
	Header http.Header
	// Body is the complete response body.
	Body []byte
	// Server is the id of the server that answered; empty if an entry made the
	// answer.
	Server string
	// Reason is the reason code of an answer that an entry made; empty otherwise.
	Reason string
	// RetryAfter is the suggested delay before a retry; 0 means no suggestion.
	RetryAfter time.Duration
	// Ticket is a new ticket for a later call of the caller; empty if there is none.
	Ticket string
}

// Refusal returns an answer that an entry makes itself. Its outcome may be unknown:
// the call may have run at a server.
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
