// Package model searches small models of at-most-once protocols exhaustively. A
// message that is lost is one whose delivery never comes, and a frozen process
// is one that takes no step for a while, so neither needs a step of its own.
package model

// State is one state of a model. States are never changed.
type State interface {
	// Key identifies the state.
	Key() string
	// Steps returns what may happen next.
	Steps() []Step
	// Violation says which invariant the state breaks, or "".
	Violation() string
}

// Step is one thing that may happen.
type Step struct {
	// Label says what happens.
	Label string
	// Next is the state after it.
	Next State
}

// Result is the outcome of a search.
type Result struct {
	// States is the number of different states visited.
	States int
	// Complete is true if every reachable state was visited.
	Complete bool
	// Violation says which invariant broke, or "".
	Violation string
	// Trace is a shortest list of steps to the violation.
	Trace []string
}

type visit struct {
	state  State
	parent int
	label  string
}

// Search visits the states reachable from start, nearest first, until one breaks
// an invariant or limit states were visited.
func Search(start State, limit int) Result {
	queue := []visit{{state: start, parent: -1}}
	seen := map[string]bool{start.Key(): true}
	for i := 0; i < len(queue); i++ {
		if v := queue[i].state.Violation(); v != "" {
			return Result{States: len(seen), Violation: v, Trace: trace(queue, i)}
		}
		for _, step := range queue[i].state.Steps() {
			key := step.Next.Key()
			if seen[key] {
				continue
			}
			if len(seen) >= limit {
				return Result{States: len(seen)}
			}
			seen[key] = true
			queue = append(queue, visit{state: step.Next, parent: i, label: step.Label})
		}
		queue[i].state = nil
	}
	return Result{States: len(seen), Complete: true}
}

func trace(queue []visit, i int) []string {
	var labels []string
	for ; queue[i].parent >= 0; i = queue[i].parent {
		labels = append([]string{queue[i].label}, labels...)
	}
	return labels
}
