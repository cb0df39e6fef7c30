package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const run = 10 * time.Millisecond

// order lets calls finish one by one and returns the customers in the order in
// which their calls started.
func order(q *Queue, now time.Duration, names map[*Waiter]string) []string {
	var out []string
	for len(names) > 0 {
		before := len(names)
		q.Done(now, run)
		for t, name := range names {
			select {
			case ok := <-t.Decided():
				delete(names, t)
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

func arrive(t *testing.T, q *Queue, names map[*Waiter]string, customer string, priority int) {
	t.Helper()
	now := time.Duration(len(names)) * time.Millisecond
	waiter, v, _ := q.Admit(now, customer, priority, time.Hour)
	if v == Wait {
		names[waiter] = customer
		return
	}
	assert.Equal(t, v, Run)
}

func TestBacklogOfOneCustomerDoesNotDelayAnother(t *testing.T) {
	q, names := NewQueue(BoundsOf(1, 1000)), map[*Waiter]string{}
	for range 20 {
		arrive(t, q, names, "noisy", 1)
	}
	arrive(t, q, names, "quiet", 1)
	started := order(q, 0, names)
	assert.Equal(t, len(started), 20)
	assert.Assert(t, started[0] == "quiet" || started[1] == "quiet", "%v", started)
}

func TestLowerPriorityNumberGoesFirstAndTheOtherIsNotStarved(t *testing.T) {
	q, names := NewQueue(BoundsOf(1, 1000)), map[*Waiter]string{}
	for i := range 3 {
		arrive(t, q, names, fmt.Sprintf("planner-%d", i), 9)
	}
	for i := range 30 {
		arrive(t, q, names, fmt.Sprintf("agent-%d", i), 1)
	}
	started := order(q, 0, names)
	var planners []int
	for i, name := range started {
		if name[0] == 'p' {
			planners = append(planners, i)
		}
	}
	assert.DeepEqual(t, planners, []int{oldestEvery - 1, 2*oldestEvery - 1})
}

func TestFullQueueDropsTheLongestBacklog(t *testing.T) {
	q := NewQueue(BoundsOf(1, 1000))
	var last *Waiter
	for range 1 + minWaiting {
		last, _, _ = q.Admit(0, "noisy", 1, time.Hour)
	}
	_, v, _ := q.Admit(0, "noisy", 1, time.Hour)
	assert.Equal(t, v, Reject)
	_, v, _ = q.Admit(0, "quiet", 1, time.Hour)
	assert.Equal(t, v, Wait)
	assert.Assert(t, !<-last.Decided())
}

func TestCallThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	q := NewQueue(BoundsOf(1, 1000))
	_, _, _ = q.Admit(0, "a", 1, time.Hour)
	q.Done(0, time.Second)
	_, _, _ = q.Admit(0, "a", 1, time.Hour)
	_, v, wait := q.Admit(0, "b", 1, time.Second)
	assert.Equal(t, v, Reject)
	assert.Equal(t, wait, time.Second)
	late, v, _ := q.Admit(0, "b", 1, 3*time.Second)
	assert.Equal(t, v, Wait)
	q.Done(2*time.Second, time.Second)
	assert.Assert(t, !<-late.Decided())
	assert.Assert(t, q.Idle())
}

func TestQueueKeepsItsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(BoundsOf(rapid.IntRange(1, 4).Draw(t, "limit"), 1000))
		var now time.Duration
		running := 0
		var waiting []*Waiter
		settle := func() {
			var still []*Waiter
			for _, w := range waiting {
				select {
				case ok := <-w.Decided():
					if ok {
						running++
					}
				default:
					still = append(still, w)
				}
			}
			waiting = still
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				waiter, v, _ := q.Admit(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), rapid.IntRange(1, 3).Draw(t, "priority"), now+time.Second)
				switch v {
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
				q.Done(now, run)
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
				settle()
				assert.Equal(t, q.running, running)
				assert.Equal(t, q.Waiting(), len(waiting))
				assert.Assert(t, q.running >= q.bounds.Running || q.waiting == 0, "a place is free while calls wait")
			},
		})
	})
}
