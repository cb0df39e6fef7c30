// Package pick chooses a server for a call by load, success rate and slow start.
// Its functions are pure: time and randomness are arguments.
package pick

import "math/rand/v2"

// Candidate is what an entry knows about one server when it chooses.
type Candidate struct {
	// InFlight is the number of this entry's calls in flight to the server.
	InFlight int
	// OthersInFlight is the number of other entries' calls in flight to the
	// server, as last reported by it.
	OthersInFlight float64
	// ReportWeight is the weight of that report in the load estimate, 0 to 1. The
	// mean over all sampled servers gets the rest. It is 0 without a report.
	ReportWeight float64
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// SuccessRate is the fraction of recent calls that succeeded, 0 to 1.
	SuccessRate float64
	// SlowStartWeight, 0 to 1, rises to 1 after a server is added or recovers.
	SlowStartWeight float64
	// Ejected excludes a server that failed too often.
	Ejected bool
	// Trial marks an ejected server that is due one call to test its recovery.
	Trial bool
}

const (
	// MaxScan is the maximum number of servers that one choice compares. A
	// service with more servers is sampled.
	MaxScan = 16
	// maxEjectedShare is the fraction of the examined servers above which
	// ejections are ignored.
	maxEjectedShare = 0.5
	// minHealthWeight limits how much success rate and slow start raise a score.
	minHealthWeight = 0.05
)

// Score returns the estimated load per slot, raised for a low success rate and
// during slow start; lower is better. Mean is the mean of OthersInFlight.
func (c Candidate) Score(mean float64) float64 {
	others := mean + c.ReportWeight*(c.OthersInFlight-mean)
	load := (float64(c.InFlight) + others + 1) / float64(max(c.Slots, 1))
	return load / max(c.SuccessRate*c.SlowStartWeight, minHealthWeight)
}

// Source is the list of servers to choose from.
type Source interface {
	// Len returns the number of servers.
	Len() int
	// Candidate returns the state of server i, or false if it must get no calls.
	Candidate(i int) (Candidate, bool)
}

// sample holds the servers that one choice examines.
type sample struct {
	index      [MaxScan]int
	candidates [MaxScan]Candidate
	n          int
}

// Choose returns the index of the server for the next call, or -1 if none is
// available. It examines all servers of a small service and a random sample of
// MaxScan of a large one, and returns the one with the lowest score; ties are
// broken at random. A server due a trial call is chosen first. The cost does not
// grow with the number of servers unless the whole sample is unavailable.
func Choose[S Source](src S, rng *rand.Rand) int {
	var s sample
	n := src.Len()
	if n <= MaxScan {
		for i := range n {
			addCandidate(&s, src, i)
		}
		return s.best(rng)
	}
	for range MaxScan {
		addCandidate(&s, src, rng.IntN(n))
	}
	if s.n > 0 {
		return s.best(rng)
	}
	start := rng.IntN(n)
	for i := 0; i < n && s.n < MaxScan; i++ {
		addCandidate(&s, src, (start+i)%n)
	}
	return s.best(rng)
}

func addCandidate[S Source](s *sample, src S, i int) {
	c, ok := src.Candidate(i)
	if !ok {
		return
	}
	s.index[s.n], s.candidates[s.n] = i, c
	s.n++
}

// summarize returns the mean of OthersInFlight over the servers with a report,
// and whether so many servers are ejected that ejections are ignored.
func (s *sample) summarize() (mean float64, ignoreEjections bool) {
	reports, ejected := 0, 0
	for i := range s.n {
		c := &s.candidates[i]
		if c.Ejected {
			ejected++
		}
		if c.ReportWeight > 0 {
			reports++
			mean += c.OthersInFlight
		}
	}
	return mean / float64(max(reports, 1)), float64(ejected) > maxEjectedShare*float64(s.n)
}

func (s *sample) best(rng *rand.Rand) int {
	mean, ignoreEjections := s.summarize()
	best, ties := -1, 0
	var bestScore float64
	for i := range s.n {
		c := &s.candidates[i]
		if c.Trial {
			return s.index[i]
		}
		if c.Ejected && !ignoreEjections {
			continue
		}
		score := c.Score(mean)
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, ties = s.index[i], score, 1
		case score == bestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = s.index[i]
			}
		}
	}
	return best
}
