package upstream

import "time"

// Dialect holds the names of the headers that servers read and write, and the parser of
// the load header.
type Dialect struct {
	// CallID carries the id of a call; servers echo it.
	CallID string
	// Deadline carries the time left for a call in milliseconds.
	Deadline string
	// ExpectServer names the server that a call is for; others reject it.
	ExpectServer string
	// ServerID names the server that answers a health check.
	ServerID string
	// Load carries the load of the server.
	Load string
	// WarmupLeft says in the answer to a health check how long the server stays cold. A
	// server without it is as its record says.
	WarmupLeft string
	// LoadCountsCall says that the load in an answer still counts the answered call as
	// running.
	LoadCountsCall bool
	// NotRun marks an answer to a call that the server has not run and will not run.
	NotRun string
	// Signature is set on each answer made by the server's application.
	Signature string
	// Leaving is set on each answer of a server that leaves and takes no new work.
	Leaving string
	// ParseLoad parses the load header; it returns false if the value is malformed.
	ParseLoad func(value string) (Load, bool)
	// ParseWarmupLeft parses the value of WarmupLeft; it returns false if it is malformed.
	ParseWarmupLeft func(value string) (time.Duration, bool)
}

// Load is the load that a server reports.
type Load struct {
	// Running and Waiting count the calls of all callers.
	Running, Waiting int
	// Slots is the number of calls that run at once.
	Slots int
	// Slowness is the ratio of the current service time to the usual one.
	Slowness float64
	// ReceivedAt is when the answer was read.
	ReceivedAt time.Time
}
