package share

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate.
const demandWindow = time.Second

// demand estimates a rate of arrivals by an exponentially weighted average.
type demand struct {
	rate float64
	at   time.Duration
}

// add counts one arrival.
func (d *demand) add(now time.Duration) {
	d.rate = d.perSecond(now) + 1/demandWindow.Seconds()
	d.at = now
}

// perSecond returns the estimate in arrivals a second.
func (d *demand) perSecond(now time.Duration) float64 {
	if now <= d.at {
		return d.rate
	}
	return d.rate * math.Exp(-(now-d.at).Seconds()/demandWindow.Seconds())
}
