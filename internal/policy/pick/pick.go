// Package pick chooses a server for a call. Its decisions are pure: time and
// randomness are arguments.
package pick

import "math/rand/v2"

// Candidate is what an entry knows of one server at the time of a decision.
type Candidate struct {
	// InFlight is the number of this entry's own calls at the server.
	InFlight int
	// Others is the estimate of other entries' calls at the server.
	Others float64
	// Slots is the number of calls that the server runs at a time.
	Slots int
	// Success is the share of recent calls that succeeded, 0 to 1.
	Success float64
	// Ramp is the slow-start weight, 0 to 1.
	Ramp float64
}

const minWeight = 0.05

// Score estimates how long a new call would wait; lower is better.
func (c Candidate) Score() float64 {
	load := (float64(c.InFlight) + c.Others + 1) / float64(max(c.Slots, 1))
	return load / max(c.Success*c.Ramp, minWeight)
}

// Least returns the index of the candidate with the lowest score, ties broken
// by random choice, or -1 if there is none.
func Least(candidates []Candidate, rng *rand.Rand) int {
	best, ties := -1, 0
	var bestScore float64
	for i, c := range candidates {
		score := c.Score()
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, ties = i, score, 1
		case score == bestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
