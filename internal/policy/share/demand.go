package share

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate.
const demandWindow = time.Second

// demand estimates an arrival rate as an exponentially decaying average.
type demand struct {
	rate      float64
	updatedAt time.Duration
}

// add counts one arrival.
func (d *demand) add(now time.Duration) {
	d.rate = d.perSecond(now) + 1/demandWindow.Seconds()
	d.updatedAt = now
}

// perSecond returns the estimate in arrivals a second.
func (d *demand) perSecond(now time.Duration) float64 {
	if now <= d.updatedAt {
		return d.rate
	}
	return d.rate * math.Exp(-(now-d.updatedAt).Seconds()/demandWindow.Seconds())
}
