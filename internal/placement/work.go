package placement

import (
	"math"
	"sync"
	"time"
)

// ServiceTimeEstimator estimates how long the calls of a route run at a server of
// usual speed. It is safe for concurrent use.
type ServiceTimeEstimator struct {
	mu            sync.Mutex
	serviceTime   float64 // seconds
	crowdedFactor float64 // ratio of the run time at a nearly full server to serviceTime
	deviation     float64 // mean absolute deviation of the run time, as a share of serviceTime
	samples       int
}

const (
	// initialShare is the initial estimate as a share of the route's objective.
	initialShare = 0.4
	// initialCrowdedFactor is the crowded factor until the first call at a nearly full
	// server has ended.
	initialCrowdedFactor = 1.3
	// initialDeviation is the mean absolute deviation until the first calls have ended.
	initialDeviation = 0.3
	// deviationsToSpread is the ratio of the standard deviation to the mean absolute
	// deviation of a normal distribution.
	deviationsToSpread = 1.25
	// sampleWeight is the weight of the latest call in the moving averages.
	sampleWeight = 0.05
	// maxOutlier limits a sample to this multiple of the estimate, since a server may
	// turn slow while a call runs.
	maxOutlier = 4.0
)

// NewServiceTimeEstimator returns an estimator without samples.
func NewServiceTimeEstimator(objective time.Duration) *ServiceTimeEstimator {
	return &ServiceTimeEstimator{serviceTime: initialShare * objective.Seconds(), crowdedFactor: initialCrowdedFactor, deviation: initialDeviation}
}

// Observe records the run time of a call that found a free slot at candidate c.
func (w *ServiceTimeEstimator) Observe(took time.Duration, c Candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := min(took.Seconds()/max(c.Slowness, minSlowness), maxOutlier*w.serviceTime)
	if c.Crowded() {
		w.crowdedFactor += sampleWeight * (run/w.serviceTime - w.crowdedFactor)
		return
	}
	w.samples++
	w.deviation += sampleWeight * (math.Abs(run/w.serviceTime-1) - w.deviation)
	w.serviceTime += max(sampleWeight, 1/float64(w.samples+1)) * (run - w.serviceTime)
}

// Estimate returns the service time at a server of usual speed, and the ratio of the run
// time at a nearly full server to that service time, at least 1.
func (w *ServiceTimeEstimator) Estimate() (serviceTime time.Duration, crowdedFactor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.serviceTime * float64(time.Second)), max(w.crowdedFactor, 1)
}

// Spread returns the standard deviation of the run time as a share of the service time.
func (w *ServiceTimeEstimator) Spread() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return deviationsToSpread * w.deviation
}
