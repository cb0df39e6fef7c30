package soak

import (
	"math/rand/v2"
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
	const most = fake.WarmupPerSecond*coldOverage + coldSlack
	for _, n := range s.serverList() {
		p := s.places[n.zone]
		var cold []time.Time // arrivals
		for _, a := range n.server.Arrivals() {
			c, known := sent[a.CallID]
			for _, e := range p.evacuated {
				since := a.At.Sub(e.from)
				if known && since > evacuationBound && a.At.Before(e.to) && !c.gateway.touchedBetween(e.from.Add(-contact), a.At) && s.storeCalm().Before(e.from.Add(-contact)) {
					s.violation(c.id, "%s sent it to %s, whose data centre was evacuated %s before", c.gateway.id, n.server.ID(), since.Round(time.Millisecond))
				}
			}
			for _, e := range p.cold {
				if a.At.After(e.from) && a.At.Before(e.to) {
					cold = append(cold, a.At)
				}
			}
		}
		first := 0
		for i, at := range cold {
			for at.Sub(cold[first]) >= time.Second {
				first++
			}
			if i-first+1 > int(most) {
				s.violation("", "%s got %d requests in a second while it was cold, %.0f are allowed", n.server.ID(), i-first+1, most)
				break
			}
		}
	}
}
