package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

const stateLimit = 2_000_000

func TestTicketsHoldInEveryState(t *testing.T) {
	agents := Sending{Customer: "agents", Request: "a"}
	for name, m := range map[string]*Tickets{
		"re-sends":       {Entries: 3, Restarts: 1, Sendings: []Sending{agents, agents, agents}},
		"two restarts":   {Entries: 2, Restarts: 2, Sendings: []Sending{agents, agents, agents}},
		"other request":  {Entries: 2, Restarts: 1, Sendings: []Sending{agents, agents, {Customer: "agents", Request: "b"}}},
		"other customer": {Entries: 2, Restarts: 1, Sendings: []Sending{agents, agents, {Customer: "clerks", Request: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := Search(m.Start(), stateLimit)
			assert.Equal(t, r.Violation, "", "%v", r.Trace)
			assert.Assert(t, r.Complete, "%d states", r.States)
			t.Logf("%d states", r.States)
		})
	}
}

func TestKeepingATicketAfterNotRunFails(t *testing.T) {
	agents := Sending{Customer: "agents", Request: "a"}
	m := &Tickets{Entries: 2, Sendings: []Sending{agents, agents}, KeepOnNotRun: true}
	r := Search(m.Start(), stateLimit)
	assert.Assert(t, r.Violation != "")
	logTrace(t, r)
}

func logTrace(t *testing.T, r Result) {
	t.Helper()
	for i, label := range r.Trace {
		t.Logf("%2d. %s", i+1, label)
	}
	t.Logf("=> %s (%d states)", r.Violation, r.States)
}

func TestRejectedAlternativesFail(t *testing.T) {
	for name, start := range map[string]State{
		"owner by hash, two lists":             Hashed{},
		"chain, partition":                     NewChain(true, 0),
		"chain, all holders lost one by one":   NewChain(false, chainLength),
		"chain, fewer kills than holders":      NewChain(false, chainLength-1),
		"chain, kills and a partition at once": NewChain(true, 1),
	} {
		t.Run(name, func(t *testing.T) {
			r := Search(start, stateLimit)
			if name == "chain, fewer kills than holders" {
				assert.Equal(t, r.Violation, "", "%v", r.Trace)
				assert.Assert(t, r.Complete)
				return
			}
			assert.Assert(t, r.Violation != "")
			logTrace(t, r)
		})
	}
}
