package servers

import (
	"context"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/probe"
)

const (
	probePath    = "/_load"
	probeTimeout = time.Second
)

// ProbeDue reports whether to probe the server now, at most rate times per second.
// Only live servers that said they are leaving or have no recent load report are
// probed. The schedule counts a due probe as sent even if it is not needed. Random is
// uniform in [0,1).
func (s *Server) ProbeDue(now time.Duration, rate, random float64) bool {
	if s.Info.State != lists.Live {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	needed := s.state.Leaving() || probe.Stale(s.state.ReportAge(now))
	return s.schedule.Take(now, rate, random) && needed
}

// Probe asks the server for its load and state. Its connection counts against the
// same limit as those of calls.
func (s *Server) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := s.pool.get(ctx, idleTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.noteRefusedConnect()
	}
	if err != nil {
		return err
	}
	r := c.exchange(ctx, newProbe(s.Info.Address), func() {})
	if r.err != nil {
		s.logMalformed("probe", r.err)
		s.pool.discard(c)
		return r.err
	}
	if r.status == http.StatusOK {
		s.learnFromProbe(r.header)
	}
	s.pool.put(c)
	return nil
}

func newProbe(address string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: probePath}, Host: address,
		Header: make(http.Header), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// Trim closes idle connections that are unusable or have been idle for idleTimeout.
func (s *Server) Trim() { s.pool.trim() }
