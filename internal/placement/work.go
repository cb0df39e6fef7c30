package placement

import (
	"sync"
	"time"
)

// ServiceTimeEstimator estimates how long the calls of a route run at a server of
// usual speed. It is safe for concurrent use.
type ServiceTimeEstimator struct {
	mu            sync.Mutex
	usual         float64 // seconds
	crowdedFactor float64 // factor at a server that is nearly full
	samples       int
}

const (
	// initialShare is the initial estimate as a share of the route's objective.
	initialShare = 0.4
	// initialCrowdedFactor is used until calls at nearly full servers have ended.
	initialCrowdedFactor = 1.3
	// workWeight is the weight of the latest call in the moving averages.
	workWeight = 0.05
	// maxOutlier limits a sample to this multiple of the estimate, since a server may
	// turn slow while a call runs.
	maxOutlier = 4.0
)

// NewServiceTimeEstimator returns an estimator without samples.
func NewServiceTimeEstimator(objective time.Duration) *ServiceTimeEstimator {
	return &ServiceTimeEstimator{usual: initialShare * objective.Seconds(), crowdedFactor: initialCrowdedFactor}
}

// Observe adds the run time of a call that found a free slot at the candidate.
func (w *ServiceTimeEstimator) Observe(took time.Duration, c Candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := min(took.Seconds()/max(c.Slowness, minSlowness), maxOutlier*w.usual)
	if c.Crowded() {
		w.crowdedFactor += workWeight * (run/w.usual - w.crowdedFactor)
		return
	}
	w.samples++
	w.usual += max(workWeight, 1/float64(w.samples+1)) * (run - w.usual)
}

// Estimate returns the service time, and the factor by which calls run longer at a
// server that is nearly full.
func (w *ServiceTimeEstimator) Estimate() (usual time.Duration, crowding float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.usual * float64(time.Second)), max(w.crowdedFactor, 1)
}
