package httpserver

import "time"

// Limits bound what callers may send. They may change while a listener runs; a
// field that is zero leaves the bound of the options in force.
type Limits struct {
	// HeadBytes bounds a request's head, up to MaxHeadBytes.
	HeadBytes int
	// BodyBytes bounds a request's body, up to the options' bound.
	BodyBytes int
	// HeadTimeout bounds the time from a request's first byte to the end of its
	// head.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// limits returns the bounds in force.
func (s *Server) limits() Limits {
	var l Limits
	if s.options.Limits != nil {
		l = s.options.Limits()
	}
	return Limits{
		HeadBytes:   within(l.HeadBytes, MaxHeadBytes),
		BodyBytes:   within(l.BodyBytes, s.options.MaxBodyBytes),
		HeadTimeout: within(l.HeadTimeout, s.options.RequestTimeout),
		IdleTimeout: within(l.IdleTimeout, s.options.IdleTimeout),
	}
}

// within returns the limit, or the bound if the limit is unset or above it.
func within[T int | time.Duration](limit, bound T) T {
	if limit <= 0 || limit > bound {
		return bound
	}
	return limit
}
