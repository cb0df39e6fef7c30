// Package pick chooses a server for a call. Its decisions are pure: time and
// randomness are arguments.
package pick

import "math/rand/v2"

// Candidate is what an entry knows of one server at the time of a decision.
type Candidate struct {
	// InFlight is the number of this entry's own calls at the server.
	InFlight int
	// OthersInFlight is the latest report of other entries' calls at the server.
	OthersInFlight float64
	// ReportWeight is how much the report says of the server now, 0 to 1; the rest is
	// taken from the mean of all servers looked at. It is 0 without a report.
	ReportWeight float64
	// Slots is the number of calls that the server runs at a time.
	Slots int
	// SuccessRate is the share of recent calls that succeeded, 0 to 1.
	SuccessRate float64
	// SlowStartWeight is the slow-start weight, 0 to 1.
	SlowStartWeight float64
	// Ejected marks a server that failed and is left out.
	Ejected bool
	// Trial marks a server whose ejection is over and that gets one call.
	Trial bool
}

const (
	// MaxScan is the most servers that a choice looks at. A service with more
	// servers is sampled.
	MaxScan = 16
	// maxEjectedShare is the share of the servers looked at above which
	// ejections no longer count.
	maxEjectedShare = 0.5
	// minWeight bounds how much success and slow start raise a score.
	minWeight = 0.05
)

// Score estimates how long a new call would wait; lower is better. Mean is the
// mean of Others.
func (c Candidate) Score(mean float64) float64 {
	others := mean + c.ReportWeight*(c.OthersInFlight-mean)
	load := (float64(c.InFlight) + others + 1) / float64(max(c.Slots, 1))
	return load / max(c.SuccessRate*c.SlowStartWeight, minWeight)
}

// Source gives the servers to choose from.
type Source interface {
	// Len returns the number of servers.
	Len() int
	// Candidate returns the state of server i, and false if it takes no call.
	Candidate(i int) (Candidate, bool)
}

// scan holds the servers that a choice looks at.
type scan struct {
	index [MaxScan]int
	from  [MaxScan]Candidate
	n     int
}

// Choose returns the index of the server for the next call, or -1 if no server
// takes one. It looks at all servers of a small service and at a random sample
// of MaxScan of a large one, and takes the lowest score, ties broken by random
// choice. Its cost does not grow with the number of servers unless the whole
// sample takes no call.
func Choose[S Source](src S, rng *rand.Rand) int {
	var s scan
	n := src.Len()
	if n <= MaxScan {
		for i := range n {
			add(&s, src, i)
		}
		return s.best(rng)
	}
	for range MaxScan {
		add(&s, src, rng.IntN(n))
	}
	if s.n > 0 {
		return s.best(rng)
	}
	start := rng.IntN(n)
	for i := 0; i < n && s.n < MaxScan; i++ {
		add(&s, src, (start+i)%n)
	}
	return s.best(rng)
}

func add[S Source](s *scan, src S, i int) {
	c, ok := src.Candidate(i)
	if !ok {
		return
	}
	s.index[s.n], s.from[s.n] = i, c
	s.n++
}

// survey returns the mean of Others over the servers with a report, and whether
// so many are ejected that ejections don't count.
func (s *scan) survey() (mean float64, useEjected bool) {
	reports, ejected := 0, 0
	for i := range s.n {
		c := &s.from[i]
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

func (s *scan) best(rng *rand.Rand) int {
	mean, useEjected := s.survey()
	best, ties := -1, 0
	var bestScore float64
	for i := range s.n {
		c := &s.from[i]
		if c.Trial {
			return s.index[i]
		}
		if c.Ejected && !useEjected {
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
