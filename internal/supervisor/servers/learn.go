package servers

import (
	"net/http"
	"strconv"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

const part = "servers"

var log = logs.For(part)

// sent counts an attempt.
func (s *Server) sent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Sent()
}

// done notes the end of an attempt.
func (s *Server) done(end pick.Result) {
	now := s.clock.Now()
	s.mu.Lock()
	ejected := s.state.Done(now, end)
	s.mu.Unlock()
	if ejected {
		s.note("server-ejected", "too many calls failed or were rejected")
	}
}

// refused notes that the server refused a connect: it takes no new call until
// one trial call gets through.
func (s *Server) refused() {
	if defect.On("refused-connects-ignored") {
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	first := s.state.ConnectionRefused(now)
	s.mu.Unlock()
	if first {
		s.pool.dropIdle()
		s.note("server-ejected", "it refuses connects")
	}
}

// learn reads the signals that ride on an answer to a call. A leaving server
// stays out until a probe or the list says that it is live: an answer that was
// on its way for long may be older than the signal.
func (s *Server) learn(h http.Header) {
	s.report(h)
	if h.Get(call.HeaderState) != stateLeaving || defect.On("leaving-signal-ignored") {
		return
	}
	s.setLeaving(true)
}

// learnProbe reads the answer to a probe.
func (s *Server) learnProbe(h http.Header) {
	s.report(h)
	s.setLeaving(h.Get(call.HeaderState) == stateLeaving)
}

const stateLeaving = "leaving"

func (s *Server) report(h http.Header) {
	load, err := strconv.Atoi(h.Get(call.HeaderLoad))
	if err != nil || load < 0 {
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Report(now, load)
}

func (s *Server) setLeaving(leaving bool) {
	now := s.clock.Now()
	s.mu.Lock()
	changed := s.state.SetLeaving(now, leaving)
	s.mu.Unlock()
	switch {
	case changed && leaving:
		s.pool.dropIdle()
		s.note("server-leaving", "it said so on an answer")
	case changed:
		s.note("server-returned", "it answered that it is live")
	}
}

func (s *Server) note(decision, reason string) {
	log.Infof("%s %s: %s", decision, s.Info.ID, reason)
	journal.Note(part, decision, s.Info.ID, reason)
}
