// Package outcome defines what the system tells a caller about a call.
package outcome

// Outcome says whether a call ran.
type Outcome uint32

// Outcomes of a call.
const (
	// Unknown means that the call may have run.
	Unknown Outcome = iota
	// Answered means that a server gave a whole answer.
	Answered
	// NotRun means that no server started the call and none will.
	NotRun
)

// String returns the form used in the Baobab-Outcome header.
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
