package model

import (
	"fmt"
	"slices"
)

// Hashed models the alternative in which the owner of a caller's key is found by
// hash over the VM list. Entry 0 owns the key in the old list and entry 1 in the
// new one; an entry learns of the new list at any time.
type Hashed struct {
	sent  int
	newer [3]bool // the entry has the new list
	spent [3]bool // the entry holds the key as spent
	runs  int
}

// Key implements State.
func (s Hashed) Key() string { return fmt.Sprint(s) }

// Violation implements State.
func (s Hashed) Violation() string { return ranTwice(s.runs) }

func ranTwice(runs int) string {
	if runs > 1 {
		return fmt.Sprintf("the server ran the key %d times", runs)
	}
	return ""
}

// Steps implements State.
func (s Hashed) Steps() []Step {
	var steps []Step
	for e := range s.newer {
		if !s.newer[e] {
			c := s
			c.newer[e] = true
			steps = append(steps, Step{Label: fmt.Sprintf("entry %d gets the new VM list", e), Next: c})
		}
		if s.sent < maxSendings {
			steps = append(steps, s.send(e))
		}
	}
	return steps
}

const maxSendings = 2

func (s Hashed) send(e int) Step {
	owner := 0
	if s.newer[e] {
		owner = 1
	}
	s.sent++
	label := fmt.Sprintf("the call is sent to entry %d, whose list makes entry %d the owner", e, owner)
	if s.spent[owner] {
		return Step{Label: label + ": the key is spent, nothing runs", Next: s}
	}
	s.spent[owner] = true
	s.runs++
	return Step{Label: label + ": the server runs it", Next: s}
}

const chainLength = 3

// Chain models the alternative in which keys are replicated along a chain of
// entries before a call runs. The first entry that a node believes alive takes
// the call; it runs once every entry believed alive holds the key.
type Chain struct {
	// Cuts allows that entry 0 and the others lose each other.
	Cuts bool
	// Kills bounds the entries that are killed and replaced.
	Kills int

	sent, runs int
	cut        bool
	up, holds  [chainLength]bool
}

// NewChain returns a chain of entries that hold nothing.
func NewChain(cuts bool, kills int) Chain {
	return Chain{Cuts: cuts, Kills: kills, up: [chainLength]bool{true, true, true}}
}

// Key implements State.
func (s Chain) Key() string { return fmt.Sprint(s) }

// Violation implements State.
func (s Chain) Violation() string { return ranTwice(s.runs) }

// Steps implements State.
func (s Chain) Steps() []Step {
	var steps []Step
	if s.Cuts && !s.cut {
		c := s
		c.cut = true
		steps = append(steps, Step{Label: "entry 0 and the others lose each other", Next: c})
	}
	for e := range s.up {
		switch {
		case !s.up[e]:
			steps = append(steps, s.replace(e))
			continue
		case s.Kills > 0:
			c := s
			c.Kills--
			c.up[e], c.holds[e] = false, false
			steps = append(steps, Step{Label: fmt.Sprintf("entry %d is killed", e), Next: c})
		}
		if s.sent < maxSendings {
			steps = append(steps, s.send(e))
		}
	}
	return steps
}

// reaches reports whether two entries believe each other alive.
func (s Chain) reaches(a, b int) bool {
	return s.up[b] && (!s.cut || (a == 0) == (b == 0))
}

// replace starts an empty entry that copies the keys of one that it reaches.
func (s Chain) replace(e int) Step {
	s.up[e] = true
	for other := range s.up {
		s.holds[e] = s.holds[e] || (other != e && s.reaches(e, other) && s.holds[other])
	}
	return Step{Label: fmt.Sprintf("entry %d is replaced and copies the keys of those it reaches", e), Next: s}
}

func (s Chain) send(e int) Step {
	var chain []int
	for other := range s.up {
		if s.reaches(e, other) {
			chain = append(chain, other)
		}
	}
	s.sent++
	label := fmt.Sprintf("the call is sent to entry %d, which sees the chain %v", e, chain)
	if slices.ContainsFunc(chain, func(n int) bool { return s.holds[n] }) {
		return Step{Label: label + ": the key is held, nothing runs", Next: s}
	}
	for _, n := range chain {
		s.holds[n] = true
	}
	s.runs++
	return Step{Label: label + ": all hold the key, the server runs it", Next: s}
}
