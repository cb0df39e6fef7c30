package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// evacuationBound is the time within which gateways send nothing more to an evacuated data
	// centre.
	evacuationBound = 3 * time.Second
	// maxEvacuation is the longest evacuation.
	maxEvacuation = 7 * time.Second
	// warmup is how long servers are cold when their data centre is taken back.
	warmup = 3 * time.Second
	// coldOverage and coldSlack are those of the gateways' settings.
	coldOverage = 1.5
	coldSlack   = 8
)

// place is what happened to a data centre.
type place struct {
	evacuated []span
	cold      []span // of its servers
}

// placeFaults are evacuations of data centres, whose servers are cold afterwards.
var placeFaults = []fault{
	{"data centre evacuated", func(s *Soak, rng *rand.Rand) func() { s.evacuate(rng); return nil }},
}

// evacuate evacuates a data centre for a time. The other one stays, so that there are servers.
func (s *Soak) evacuate(rng *rand.Rand) {
	name, length := zone(rng.IntN(2)), evacuationBound+time.Duration(rng.Int64N(int64(maxEvacuation-evacuationBound)))
	if !s.evacuating.TryLock() {
		return
	}
	s.store.Evacuate(name)
	from := time.Now()
	s.later(func() {
		defer s.evacuating.Unlock()
		time.Sleep(length)
		for _, n := range s.serverList() {
			if n.zone == name {
				n.server.Cool(warmup)
			}
		}
		cold := time.Now()
		s.store.TakeBack(name)
		s.mu.Lock()
		defer s.mu.Unlock()
		p := s.places[name]
		p.evacuated = append(p.evacuated, span{from: from, to: cold})
		p.cold = append(p.cold, span{from: cold, to: cold.Add(warmup)})
		s.places[name] = p
	})
}

// checkPlaces checks that evacuated data centres get no work from gateways that were calm, and
// that no server gets more requests in a second while it is cold than it tolerates.
func (s *Soak) checkPlaces() {
	sent := make(map[string]claim, len(s.claims))
	for _, c := range s.claims {
		sent[c.id] = c
	}
	for _, n := range s.serverList() {
		p := s.places[n.zone]
		for _, a := range n.server.Arrivals() {
			if c, known := sent[a.CallID]; known {
				s.checkEvacuated(n, &c, a.At, p.evacuated)
			}
		}
		s.checkCold(n, p.cold)
	}
}

// checkEvacuated checks a request that reached a server against the evacuations of its data
// centre.
func (s *Soak) checkEvacuated(n *serverNode, c *claim, at time.Time, evacuated []span) {
	for _, e := range evacuated {
		since, calmFrom := at.Sub(e.from), e.from.Add(-contact)
		if since > evacuationBound && at.Before(e.to) && !c.gateway.touchedBetween(calmFrom, at) && s.storeCalm().Before(calmFrom) {
			s.violation(c.id, "%s sent it to %s, whose data centre was evacuated %s before", c.gateway.id, n.server.ID(), since.Round(time.Millisecond))
		}
	}
}

// checkCold checks what reached a server while it was cold.
func (s *Soak) checkCold(n *serverNode, cold []span) {
	const most = int(fake.WarmupPerSecond*coldOverage + coldSlack)
	for _, e := range cold {
		var latest []time.Time // within a second
		for _, a := range n.server.Arrivals() {
			if a.At.Before(e.from) || a.At.After(e.to) {
				continue
			}
			latest = slices.DeleteFunc(latest, func(at time.Time) bool { return a.At.Sub(at) >= time.Second })
			if latest = append(latest, a.At); len(latest) == most+1 {
				s.violation("", "%s got %d requests in a second while it was cold, %d are allowed", n.server.ID(), len(latest), most)
			}
		}
	}
}
