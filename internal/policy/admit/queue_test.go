package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// runTime is how long each call runs.
const runTime = 10 * time.Millisecond

// startOrder ends running calls one by one and returns the customers of the
// waiting calls in the order in which they started. It empties names.
func startOrder(q *Queue, now time.Duration, names map[*Waiter]string) []string {
	var out []string
	for len(names) > 0 {
		before := len(names)
		q.Done(now, runTime)
		for w, name := range names {
			select {
			case ok := <-w.Decided():
				delete(names, w)
				if ok {
					out = append(out, name)
				}
			default:
			}
		}
		if len(names) == before {
			return out
		}
	}
	return out
}

// admitCall admits a call and records its customer in names if it waits. Each
// waiting call arrives one millisecond after the one before.
func admitCall(t *testing.T, q *Queue, names map[*Waiter]string, customer string, priority int) {
	t.Helper()
	now := time.Duration(len(names)) * time.Millisecond
	w, decision, _ := q.Admit(now, customer, priority, time.Hour)
	if decision == Wait {
		names[w] = customer
		return
	}
	assert.Equal(t, decision, Run)
}

func TestBacklogOfOneCustomerDoesNotDelayAnother(t *testing.T) {
	q, names := NewQueue(BoundsOf(1, 1000)), map[*Waiter]string{}
	for range 20 {
		admitCall(t, q, names, "noisy", 1)
	}
	admitCall(t, q, names, "quiet", 1)
	started := startOrder(q, 0, names)
	assert.Equal(t, len(started), 20)
	assert.Assert(t, started[0] == "quiet" || started[1] == "quiet", "%v", started)
}

func TestLowerPriorityNumberGoesFirstAndTheOtherIsNotStarved(t *testing.T) {
	q, names := NewQueue(BoundsOf(1, 1000)), map[*Waiter]string{}
	for i := range 3 {
		admitCall(t, q, names, fmt.Sprintf("planner-%d", i), 9)
	}
	for i := range 30 {
		admitCall(t, q, names, fmt.Sprintf("agent-%d", i), 1)
	}
	started := startOrder(q, 0, names)
	var planners []int
	for i, name := range started {
		if name[0] == 'p' {
			planners = append(planners, i)
		}
	}
	assert.DeepEqual(t, planners, []int{oldestFirstInterval - 1, 2*oldestFirstInterval - 1})
}

func TestFullQueueDropsTheLongestBacklog(t *testing.T) {
	q := NewQueue(BoundsOf(1, 1000))
	var last *Waiter
	for range 1 + minWaitingBound {
		last, _, _ = q.Admit(0, "noisy", 1, time.Hour)
	}
	_, decision, _ := q.Admit(0, "noisy", 1, time.Hour)
	assert.Equal(t, decision, Reject)
	_, decision, _ = q.Admit(0, "quiet", 1, time.Hour)
	assert.Equal(t, decision, Wait)
	assert.Assert(t, !<-last.Decided())
}

func TestCallThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	q := NewQueue(BoundsOf(1, 1000))
	_, _, _ = q.Admit(0, "a", 1, time.Hour)
	q.Done(0, time.Second)
	_, _, _ = q.Admit(0, "a", 1, time.Hour)
	_, decision, wait := q.Admit(0, "b", 1, time.Second)
	assert.Equal(t, decision, Reject)
	assert.Equal(t, wait, time.Second)
	late, decision, _ := q.Admit(0, "b", 1, 3*time.Second)
	assert.Equal(t, decision, Wait)
	q.Done(2*time.Second, time.Second)
	assert.Assert(t, !<-late.Decided())
	assert.Assert(t, q.Idle())
}

// The model counts running and waiting calls through random operations; the queue
// must agree and must not leave capacity unused while calls wait.
func TestQueueCountsMatchAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(BoundsOf(rapid.IntRange(1, 4).Draw(t, "limit"), 1000))
		var now time.Duration
		running := 0
		var waiting []*Waiter
		collectDecisions := func() {
			var undecided []*Waiter
			for _, w := range waiting {
				select {
				case ok := <-w.Decided():
					if ok {
						running++
					}
				default:
					undecided = append(undecided, w)
				}
			}
			waiting = undecided
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				waiter, decision, _ := q.Admit(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), rapid.IntRange(1, 3).Draw(t, "priority"), now+time.Second)
				switch decision {
				case Run:
					running++
				case Wait:
					waiting = append(waiting, waiter)
				}
			},
			"done": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				running--
				q.Done(now, runTime)
			},
			"cancel": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waits")
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")
				assert.Assert(t, q.Cancel(waiting[i]))
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			},
			"limit":   func(t *rapid.T) { q.SetBounds(now, BoundsOf(rapid.IntRange(1, 4).Draw(t, "limit"), 1000)) },
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				collectDecisions()
				assert.Equal(t, q.running, running)
				assert.Equal(t, q.Waiting(), len(waiting))
				assert.Assert(t, q.running >= q.bounds.Running || q.waiting == 0, "calls wait although more calls may run")
			},
		})
	})
}
