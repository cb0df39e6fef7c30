package upstream

import "time"

// Dialect holds the names of the headers that servers read and write.
type Dialect struct {
	// CallID carries the id of a call; servers echo it.
	CallID string
	// Deadline carries the time left for a call in milliseconds.
	Deadline string
	// ExpectServer names the server that a call is for; others reject it.
	ExpectServer string
	// ServerID names the server that answers a health check.
	ServerID string
	// Load carries a server's load.
	Load string
	// LoadCountsCall says that the load in an answer counts the call that is answered
	// as running.
	LoadCountsCall bool
	// NotRun marks an answer to a call that the server has not run.
	NotRun string
	// Signature is on each answer that a server's application made.
	Signature string
	// ParseLoad reads the value of the load header.
	ParseLoad func(value string) (Load, bool)
}

// Load is what a server says of itself.
type Load struct {
	// Running and Waiting count calls of all callers.
	Running, Waiting int
	// Slots is the number of calls that run at once.
	Slots int
	// Slowness is how many times longer than usual work takes at this moment.
	Slowness float64
	// ReceivedAt is when the answer arrived.
	ReceivedAt time.Time
}
