// Package outcome defines the outcome of a call as reported to the caller.
package outcome

// Outcome says whether a call was executed.
type Outcome uint32

// Outcomes of a call.
const (
	// Unknown means that the call may have been executed.
	Unknown Outcome = iota
	// Answered means that a server returned a complete response.
	Answered
	// NotRun means that no server has started the call and none will.
	NotRun
)

// String returns the value of the Baobab-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
