package servers

import (
	"net/http"
	"strconv"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

const part = "servers"

var log = logs.For(part)

// noteSent records the start of an attempt.
func (s *Server) noteSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Sent()
}

// noteEnd records the end of an attempt.
func (s *Server) noteEnd(end pick.Result) {
	now := s.clock.Now()
	s.mu.Lock()
	ejected := s.state.Done(now, end)
	s.mu.Unlock()
	if ejected {
		s.logDecision("server-ejected", "too many calls failed or were rejected")
	}
}

// noteRefusedConnect ejects a server that refused a connection: it gets no new calls
// until one trial call succeeds.
func (s *Server) noteRefusedConnect() {
	if defect.On("refused-connects-ignored") {
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	first := s.state.ConnectionRefused(now)
	s.mu.Unlock()
	if first {
		s.pool.dropIdle()
		s.logDecision("server-ejected", "it refused a connection")
	}
}

// learnFromCall reads the load and state headers of an answer to a call. It never
// clears the leaving state, since a delayed answer may be older than the one that
// set it; only a probe or the server list clears it.
func (s *Server) learnFromCall(h http.Header) {
	s.noteLoad(h)
	if h.Get(call.HeaderState) != stateLeaving || defect.On("leaving-signal-ignored") {
		return
	}
	s.setLeaving(true)
}

// learnFromProbe reads the load and state headers of an answer to a probe.
func (s *Server) learnFromProbe(h http.Header) {
	s.noteLoad(h)
	s.setLeaving(h.Get(call.HeaderState) == stateLeaving)
}

const stateLeaving = "leaving"

// noteLoad records the load header, if it is valid.
func (s *Server) noteLoad(h http.Header) {
	load, err := strconv.Atoi(h.Get(call.HeaderLoad))
	if err != nil || load < 0 {
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Report(now, load)
}

// setLeaving records whether the server is leaving. If it starts to leave, its idle
// connections are closed.
func (s *Server) setLeaving(leaving bool) {
	now := s.clock.Now()
	s.mu.Lock()
	changed := s.state.SetLeaving(now, leaving)
	s.mu.Unlock()
	switch {
	case changed && leaving:
		s.pool.dropIdle()
		s.logDecision("server-leaving", "an answer carried the state leaving")
	case changed:
		s.logDecision("server-returned", "a probe or the server list says that it is live")
	}
}

// logMalformed writes a malformed answer to the log, and no other error.
func (s *Server) logMalformed(to string, err error) {
	if httpwire.IsMalformed(err) {
		log.Warnf("%s to server %s at %s failed: %v", to, s.Info.ID, s.Info.Address, err)
	}
}

// logDecision writes a decision about the server to the log and the journal.
func (s *Server) logDecision(decision, reason string) {
	log.Infof("%s %s: %s", decision, s.Info.ID, reason)
	journal.Note(part, decision, s.Info.ID, reason)
}
