// Package policy measures the decisions of an entry against in-memory queues.
// Arrivals, answers and departures are events of one heap; each message takes a
// fixed one-way delay. Entries share nothing: each knows its own calls and the
// reports on its own answers.
package policy

import (
	"math/rand/v2"
	"time"
)

// kind is what a service's calls are; all but bookings are idempotent.
type kind int

const (
	lookup kind = iota
	booking
	query
)

// service is one service of a deployment; mean is of a call at full speed.
type service struct {
	name           string
	servers, slots int
	mean, delay    time.Duration
	kind           kind
}

var services = []service{
	{"stock", 15, 6, 4 * time.Millisecond, time.Millisecond, lookup},
	{"moves", 6, 6, 8 * time.Millisecond, time.Millisecond, booking},
	{"yard", 13, 6, 40 * time.Millisecond, time.Millisecond, query},
	{"logs", 8, 3, 6 * time.Millisecond, 1500 * time.Microsecond, lookup},
	{"filings", 8, 3, 10 * time.Millisecond, 1500 * time.Microsecond, booking},
	{"surveys", 10, 3, 20 * time.Millisecond, 1500 * time.Microsecond, query},
}

const (
	entryCount   = 17
	queuePerSlot = 10   // calls that wait at a server for each slot
	longShare    = 0.02 // share of attempts that meet a stall of the server
	longFactor   = 10   // length of such an attempt relative to the mean
	reportBytes  = 18   // "Baobab-Load: 12" with its line end, on an answer
	probeBytes   = 180  // request and answer of a probe
	probeBudget  = 0.5  // probes a second that a server takes from all entries
	warmUpShare  = 0.1  // share of the calls that is not counted
	swingFor     = 10 * time.Millisecond
	step         = time.Millisecond // of the servers' speed
)

// condition is what disturbs the servers of a run.
type condition string

const (
	plain      condition = "plain"
	neighbours condition = "neighbours" // each server is slow for tens of ms now and then
	failFast   condition = "fail-fast"  // server 0 fails every call at once
	draining   condition = "draining"   // server 0 says that it is leaving, and later rejects
	coldStart  condition = "cold-start" // server 0 starts slow
	lostShare  condition = "lost-share" // a third of the servers lose part of their speed
)

var conditions = []condition{plain, neighbours, failFast, draining, coldStart, lostShare}

// scenario is one run's arrivals and servers, the same for every policy.
type scenario struct {
	service
	condition condition
	load      float64 // share of the capacity that the servers have under the condition
	seed      uint64
	arrivals  []time.Duration
	speeds    [][]float64 // by server and step
	horizon   time.Duration
}

func newScenario(s service, c condition, load float64, calls int, seed uint64) *scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	work := s.mean.Seconds() * (1 - longShare + longShare*longFactor)
	rate := load * float64(s.servers*s.slots) / work
	sc := &scenario{service: s, condition: c, load: load, seed: seed}
	sc.horizon = time.Duration(float64(calls) / rate * float64(time.Second))
	var sum float64
	for i := range s.servers {
		sc.speeds = append(sc.speeds, sc.speedsOf(i, rng))
		for _, speed := range sc.speeds[i] {
			if i > 0 || (c != failFast && c != draining) {
				sum += speed
			}
		}
	}
	rate *= sum / float64(len(sc.speeds[0])*s.servers)
	var at, change time.Duration
	for factor := 1.0; at < sc.horizon; {
		if at >= change {
			change = at + time.Duration(rng.ExpFloat64()*float64(swingFor))
			factor = []float64{0.4, 1.6}[rng.IntN(2)]
		}
		at += time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second))
		sc.arrivals = append(sc.arrivals, at)
	}
	return sc
}

func (sc *scenario) speedsOf(server int, rng *rand.Rand) []float64 {
	speeds := make([]float64, sc.horizon/step+1)
	slow := false
	for i := range speeds {
		speeds[i] = 1
		switch {
		case sc.condition == neighbours: // slow for 30 ms in 300 ms on average
			slow = slow != (rng.Float64() < map[bool]float64{true: 1.0 / 30, false: 1.0 / 270}[slow])
			speeds[i] = map[bool]float64{true: 0.35, false: 1}[slow]
		case sc.condition == lostShare && server < sc.servers/3:
			speeds[i] = 0.6
		case sc.condition == coldStart && server == 0: // for a quarter of the run
			speeds[i] = min(0.2+0.8*float64(4*i)/float64(len(speeds)), 1)
		}
	}
	return speeds
}

// end returns when work that a server starts at a time is done.
func (sc *scenario) end(server int, at, work time.Duration) time.Duration {
	for {
		i, speed := int(at/step), 1.0
		if i < len(sc.speeds[server]) {
			speed = sc.speeds[server][i]
		}
		left := time.Duration(i+1)*step - at
		if need := time.Duration(float64(work) / speed); need <= left {
			return at + need
		}
		work -= time.Duration(float64(left) * speed)
		at += left
	}
}

// work draws the length of one attempt of a call. Attempts of a call are
// independent: a stall belongs to the server and not to the call.
func (sc *scenario) work(call, attempt int) time.Duration {
	rng := rand.New(rand.NewPCG(sc.seed<<32|uint64(call), uint64(attempt)+2))
	if rng.Float64() < longShare {
		return longFactor * sc.mean
	}
	return time.Duration(float64(sc.mean) * (0.5 + 0.5*rng.ExpFloat64()))
}
