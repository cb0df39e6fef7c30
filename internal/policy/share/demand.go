package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand estimate.
const demandTimeConstant = time.Second

// demand estimates an arrival rate as an exponentially decaying average.
type demand struct {
	rate      float64
	updatedAt time.Duration
}

// add counts one arrival.
func (d *demand) add(now time.Duration) {
	d.rate = d.perSecond(now) + 1/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// perSecond returns the estimate in arrivals a second.
func (d *demand) perSecond(now time.Duration) float64 {
	if now <= d.updatedAt {
		return d.rate
	}
	return d.rate * math.Exp(-(now-d.updatedAt).Seconds()/demandTimeConstant.Seconds())
}
