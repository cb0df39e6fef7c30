// Package fault defines the project's typed errors. Each one names a kind, the
// place of the fault and the remedy, so that an operator knows what to edit.
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies a fault.
type Kind string

// Kinds of fault.
const (
	// Settings marks a fault in the settings file.
	Settings Kind = "settings"
	// List marks a fault in an operator's or platform's list.
	List Kind = "list"
	// Request marks a fault in a caller's request.
	Request Kind = "request"
	// Peer marks a fault in a message from another entry.
	Peer Kind = "peer"
	// Server marks a fault of a backend server.
	Server Kind = "server"
	// Limit marks a refusal because a limit is reached.
	Limit Kind = "limit"
	// Internal marks a fault of this process.
	Internal Kind = "internal"
)

// Error is a typed fault.
type Error struct {
	// Kind is the class of the fault.
	Kind Kind
	// Place names where the fault is: file:line: key, a header or an address.
	Place string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to do about it.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// New returns a fault without a cause.
func New(kind Kind, place, problem, remedy string) *Error {
	return &Error{Kind: kind, Place: place, Problem: problem, Remedy: remedy}
}

// Wrap returns a fault caused by err.
func Wrap(err error, kind Kind, place, problem, remedy string) *Error {
	return &Error{Kind: kind, Place: place, Problem: problem, Remedy: remedy, Cause: err}
}

// Error implements error on one line: place, problem, cause and remedy.
func (e *Error) Error() string {
	msg := e.Problem
	if e.Cause != nil {
		msg = fmt.Sprintf("%s: %v", msg, e.Cause)
	}
	if e.Place != "" {
		msg = e.Place + ": " + msg
	}
	if e.Remedy != "" {
		msg = msg + "; " + e.Remedy
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsKind reports whether err or one of its causes is a fault of this kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
