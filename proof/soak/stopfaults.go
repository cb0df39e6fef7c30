package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/baobabstack/baobabstack/platform/fake"
)

// stopFaults are planned stops in unusual orders.
var stopFaults = []fault{
	{"stops in series", func(s *Soak, rng *rand.Rand) func() {
		pause := time.Duration(rng.Int64N(int64(seriesTime / time.Duration(len(s.gateways)))))
		s.later(func() {
			for _, g := range s.gateways {
				g.signal(syscall.SIGTERM)
				time.Sleep(pause)
			}
		})
		return nil
	}},
	{"stop told twice", func(s *Soak, rng *rand.Rand) func() { s.stopThen(rng, syscall.SIGTERM); return nil }},
	{"reload while stopping", func(s *Soak, rng *rand.Rand) func() { s.stopThen(rng, syscall.SIGHUP); return nil }},
	{"stop after a planned start", func(s *Soak, rng *rand.Rand) func() { s.stopOnStart(rng, syscall.SIGTERM); return nil }},
	{"stop after a start", func(s *Soak, rng *rand.Rand) func() { s.stopOnStart(rng, syscall.SIGKILL); return nil }},
}

// endlessFaults are servers that send bytes without end.
var endlessFaults = []fault{
	{"server sends an endless head", endless(fake.EndlessHead)},
	{"server sends an endless body", endless(fake.EndlessBody)},
	{"server sends on after a stated length", endless(fake.EndlessAfterLength)},
}

const (
	// seriesTime bounds the time of a series of stops over all gateways, and secondSignal
	// that between two signals.
	seriesTime   = 6 * time.Second
	secondSignal = 5 * time.Second
	// endlessServers send without end at a time at most. They take much of the processors.
	endlessServers = 8
	// stopOnStartBound is the time between a start and the SIGTERM behind it.
	stopOnStartBound = time.Second
)

// stopThen stops a gateway and sends another signal while it stops.
func (s *Soak) stopThen(rng *rand.Rand, sig syscall.Signal) {
	g := s.gateways[rng.IntN(len(s.gateways))]
	pause := time.Duration(rng.Int64N(int64(secondSignal)))
	started, _ := g.since()
	g.signal(syscall.SIGTERM)
	s.later(func() {
		time.Sleep(pause)
		if again, _ := g.since(); again.Equal(started) {
			g.signal(sig)
		}
	})
}

// stopOnStart ends a gateway with a signal and stops its next process soon after its start.
func (s *Soak) stopOnStart(rng *rand.Rand, sig syscall.Signal) {
	g := s.gateways[rng.IntN(len(s.gateways))]
	pause := time.Duration(rng.Int64N(int64(stopOnStartBound)))
	started, _ := g.since()
	g.signal(sig)
	s.later(func() {
		for end := time.Now().Add(stopGrace + stopSlack); time.Now().Before(end); time.Sleep(workTime) {
			if again, _ := g.since(); !again.Equal(started) {
				time.Sleep(pause)
				g.signal(syscall.SIGTERM)
				return
			}
		}
	})
}

// later does the rest of a fault beside others. The faults end when it is done.
func (s *Soak) later(do func()) { s.rest.Go(do) }

// endless makes some servers send without end, to each request or to some.
func endless(f fake.Fault) func(*Soak, *rand.Rand) func() {
	return func(s *Soak, rng *rand.Rand) func() {
		all := s.serverList()
		var ends []func()
		each := 1 + rng.IntN(3)
		for range 1 + rng.IntN(min(len(all), endlessServers)) {
			ends = append(ends, breaking(failingEach(each, f))(all[rng.IntN(len(all))]))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
}
