package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/policy/ticket"
)

// Sending is one time that a caller sends a call with the ticket.
type Sending struct {
	// Customer is who sends it.
	Customer string
	// Request is what is asked for.
	Request string
}

// Tickets configures the model of tickets: the first entry mints one ticket for
// a customer, callers send calls with it to any entry in any order, and the
// server may get each request whole, in part or not at all.
type Tickets struct {
	// Entries is the number of entries.
	Entries int
	// Sendings holds the calls that callers send.
	Sendings []Sending
	// Restarts bounds how often the owner's process is killed and replaced by
	// one with the same VM id and address.
	Restarts int
	// KeepOnNotRun leaves a ticket unspent after a call under it was not run:
	// the rule that the search refutes.
	KeepOnNotRun bool
}

type phase byte

const (
	unsent    phase = iota
	toEntry         // on the way to an entry
	toOwner         // on the way to the ticket's owner
	connected       // the owner has spent the ticket, no byte was written
	written         // all bytes were written
	joined          // waits for another sending's run
	ended
)

// sending is the state of one Sending.
type sending struct {
	phase    phase
	entry    int
	sequence uint64
	late     bool // the deadline has passed
	arrived  bool // the bytes wait at the server
	rejected bool // the server has rejected the call without starting it
	ran      bool // the server has run the call
	told     bool
	outcome  outcome.Outcome
	answer   string
}

type ticketState struct {
	model    *Tickets
	text     string
	owner    *ticket.Owner[string]
	up       bool
	leaving  bool
	restarts int
	sendings []sending
	runs     int
}

// Start returns the first state.
func (m *Tickets) Start() State {
	s := &ticketState{model: m, up: true, sendings: make([]sending, len(m.Sendings))}
	s.owner = m.newOwner(0)
	s.text = s.owner.Mint(m.Sendings[0].Customer, 0)
	return s
}

// newOwner returns the table of the n-th process of the owner's VM.
func (m *Tickets) newOwner(n int) *ticket.Owner[string] {
	return ticket.NewOwner[string](ticket.Config{
		VM: "vm-0", Incarnation: ticket.Incarnation{byte(n)}, Key: []byte{byte(n)},
		Lifetime: time.Hour, Window: 2, MaxRunning: 2, MaxAnswerBytes: 100,
	})
}

// Key implements State. The table is known by how it would decide.
func (s *ticketState) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.up, s.leaving, s.restarts, s.runs, s.sendings)
	for i, request := range s.model.Sendings {
		if slices.Contains(s.model.Sendings[:i], request) {
			continue
		}
		d := s.owner.Clone().Spend(s.text, request.Customer, fingerprint(request), 0)
		fmt.Fprint(&b, d.Action, d.Reason, d.Answer, d.Outcome)
	}
	return b.String()
}

func fingerprint(s Sending) ticket.Fingerprint { return ticket.FingerprintOf([]byte(s.Request)) }

// Violation implements State.
func (s *ticketState) Violation() string {
	if s.runs > 1 {
		return fmt.Sprintf("the server ran the ticket %d times", s.runs)
	}
	for i, x := range s.sendings {
		switch {
		case x.told && x.outcome == outcome.NotRun && s.runs > 0:
			return fmt.Sprintf("sending %d was told not-run and the server ran the ticket", i)
		case x.told && x.outcome == outcome.Answered && x.answer != s.model.Sendings[i].text():
			return fmt.Sprintf("sending %d got the answer to %s", i, x.answer)
		}
	}
	return ""
}

func (s Sending) text() string { return s.Customer + "/" + s.Request }

// clone returns a copy that a step may change.
func (s *ticketState) clone() *ticketState {
	c := *s
	c.owner, c.sendings = s.owner.Clone(), slices.Clone(s.sendings)
	return &c
}

// Steps implements State.
func (s *ticketState) Steps() []Step {
	var steps []Step
	add := func(label string, change func(*ticketState)) {
		c := s.clone()
		change(c)
		steps = append(steps, Step{Label: label, Next: c})
	}
	if s.up && s.restarts < s.model.Restarts {
		add("the owner is killed", (*ticketState).kill)
	}
	if !s.up {
		add("the owner's VM is replaced, same id and address", (*ticketState).replace)
	}
	if s.up && !s.leaving {
		add("the owner starts to shut down", func(c *ticketState) { c.leaving = true })
	}
	for i := range s.sendings {
		s.sendingSteps(i, add)
	}
	return steps
}

func (s *ticketState) kill() {
	s.up = false
	for i, x := range s.sendings {
		if x.phase == connected || x.phase == written || x.phase == joined {
			s.sendings[i].phase = ended
		}
	}
}

func (s *ticketState) replace() {
	s.restarts++
	s.up, s.leaving = true, false
	s.owner = s.model.newOwner(s.restarts)
	s.owner.Mint(s.model.Sendings[0].Customer, 0)
}

// sendingSteps adds what may happen to one sending.
func (s *ticketState) sendingSteps(i int, add func(string, func(*ticketState))) {
	x := s.sendings[i]
	name := fmt.Sprintf("sending %d (%s)", i, s.model.Sendings[i].text())
	if !x.late && x.phase == connected {
		add(name+": the deadline passes", func(c *ticketState) { c.sendings[i].late = true })
	}
	if x.arrived {
		add(name+": the server runs it", func(c *ticketState) {
			c.sendings[i].arrived, c.sendings[i].ran = false, true
			c.runs++
		})
		add(name+": the server rejects it, not started", func(c *ticketState) {
			c.sendings[i].arrived, c.sendings[i].rejected = false, true
		})
	}
	switch x.phase {
	case unsent:
		for e := range s.model.Entries {
			add(fmt.Sprintf("%s: is sent to entry %d", name, e), func(c *ticketState) {
				c.sendings[i].phase, c.sendings[i].entry = toEntry, e
			})
		}
	case toEntry, toOwner:
		s.arrivalSteps(i, name, add)
	case connected, written:
		if s.up {
			s.attemptSteps(i, name, add)
		}
	case joined, ended:
	}
}

func (s *ticketState) arrivalSteps(i int, name string, add func(string, func(*ticketState))) {
	x := s.sendings[i]
	if x.phase == toEntry && x.entry != 0 {
		add(fmt.Sprintf("%s: entry %d forwards it to the owner", name, x.entry), func(c *ticketState) { c.sendings[i].phase = toOwner })
		return
	}
	if s.up {
		add(name+": the owner gets it", func(c *ticketState) { c.decide(i) })
	}
}

// decide is the owner's answer to an arrival, by the table that entries use.
func (s *ticketState) decide(i int) {
	request := s.model.Sendings[i]
	decide := s.owner.Spend
	if s.leaving {
		decide = func(text, customer string, f ticket.Fingerprint, _ time.Duration) ticket.Decision[string] {
			return s.owner.Refuse(text, customer, f, ticket.Leaving)
		}
	}
	switch d := decide(s.text, request.Customer, fingerprint(request), 0); d.Action {
	case ticket.Run:
		s.sendings[i].phase, s.sendings[i].sequence = connected, d.Sequence
	case ticket.Join:
		s.sendings[i].phase = joined
	case ticket.Replay:
		s.tell(i, kind(d.Answer), d.Answer)
	case ticket.Refuse:
		s.tell(i, d.Outcome, "")
	}
}

// kind returns the outcome of a kept answer.
func kind(answer string) outcome.Outcome {
	switch answer {
	case "not-run":
		return outcome.NotRun
	case "unknown":
		return outcome.Unknown
	default:
		return outcome.Answered
	}
}

// attemptSteps adds the steps of the owner's attempt at a server.
func (s *ticketState) attemptSteps(i int, name string, add func(string, func(*ticketState))) {
	x := s.sendings[i]
	finish := func(label string, result outcome.Outcome) {
		add(name+": "+label, func(c *ticketState) { c.finish(i, result) })
	}
	if x.phase == connected {
		finish("the owner can't connect to a server", outcome.NotRun)
		if x.late {
			finish("the owner sees before the first byte that it is too late", outcome.NotRun)
			return
		}
		finish("the connection is cut within the request's bytes", outcome.Unknown)
		add(name+": the owner writes the whole request", func(c *ticketState) {
			c.sendings[i].phase, c.sendings[i].arrived = written, true
		})
		return
	}
	finish("the owner sees the connection cut or the deadline pass", outcome.Unknown)
	if x.ran {
		finish("the owner gets the answer", outcome.Answered)
	}
	if x.rejected {
		finish("the owner gets the rejection", outcome.NotRun)
	}
}

// finish ends a run and tells those who wait for it.
func (s *ticketState) finish(i int, result outcome.Outcome) {
	answer := result.String()
	if result == outcome.Answered {
		answer = s.model.Sendings[i].text()
	}
	s.owner.Finish(s.sendings[i].sequence, result, answer, len(answer))
	if result == outcome.NotRun && s.model.KeepOnNotRun {
		s.owner = s.model.newOwner(s.restarts)
		s.owner.Mint(s.model.Sendings[0].Customer, 0)
	}
	s.tell(i, result, answer)
	for j, x := range s.sendings {
		if x.phase == joined {
			s.tell(j, result, answer)
		}
	}
}

// tell answers the caller of a sending. An answer that is delayed or lost claims
// no more than one that comes at once.
func (s *ticketState) tell(i int, result outcome.Outcome, answer string) {
	x := &s.sendings[i]
	x.phase, x.told, x.outcome, x.answer = ended, true, result, answer
}
