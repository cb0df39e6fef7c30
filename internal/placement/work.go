package placement

import (
	"sync"
	"time"
)

// ServiceTimeEstimator estimates how long the calls of a route run at a server that is as fast as
// usual. It is safe for concurrent use.
type ServiceTimeEstimator struct {
	mu       sync.Mutex
	usual    float64 // seconds
	crowding float64 // times longer at a server that is nearly full
	samples  int
}

const (
	// initialShare of the objective is taken for a route's work until calls have
	// ended.
	initialShare = 0.4
	// initialCrowding is taken until calls at nearly full servers have ended.
	initialCrowding = 1.3
	// workWeight is the weight of the latest call in the estimates.
	workWeight = 0.05
	// maxOutlier bounds what one call may say, in usual times: servers turn slow
	// while a call runs.
	maxOutlier = 4.0
)

// NewServiceTimeEstimator returns the estimate of a route before any call has ended.
func NewServiceTimeEstimator(objective time.Duration) *ServiceTimeEstimator {
	return &ServiceTimeEstimator{usual: initialShare * objective.Seconds(), crowding: initialCrowding}
}

// Observe takes the time of a call that found a free slot at the candidate.
func (w *ServiceTimeEstimator) Observe(took time.Duration, c Candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := min(took.Seconds()/max(c.Slowness, minSlowness), maxOutlier*w.usual)
	if c.Crowded() {
		w.crowding += workWeight * (run/w.usual - w.crowding)
		return
	}
	w.samples++
	w.usual += max(workWeight, 1/float64(w.samples+1)) * (run - w.usual)
}

// Estimate returns the estimate, and how many times longer calls run at a server that
// is nearly full.
func (w *ServiceTimeEstimator) Estimate() (usual time.Duration, crowding float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.usual * float64(time.Second)), max(w.crowding, 1)
}
