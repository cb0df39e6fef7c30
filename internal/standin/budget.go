package standin

import (
	"fmt"
	"slices"
	"time"
)

// RetryBudget is how often a service may get requests again: in any window Ratio times the
// requests and Slack times more.
type RetryBudget struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Worst returns the largest use of the budget in any window, as a share of what is allowed,
// and a text on that window. Requests are the times at which requests were sent, and again
// those at which one reached a server not for the first time. The requests of a window are
// its own, those of the window before it or those of the one half a window before it,
// whichever are most.
func (b RetryBudget) Worst(requests, again []time.Time) (used float64, text string) {
	requests, again = slices.Clone(requests), slices.Clone(again)
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(again, time.Time.Compare)
	text = "no request reached a server again"
	for _, from := range again {
		most := 0
		for _, back := range []time.Duration{0, b.Window / 2, b.Window} {
			most = max(most, countFrom(requests, from.Add(-back), b.Window))
		}
		n, allowed := countFrom(again, from, b.Window), b.Ratio*float64(most)+b.Slack
		if share := float64(n) / allowed; share > used {
			used = share
			text = fmt.Sprintf("requests reached servers again %d times in %s from %s on, allowed %.0f for %d requests", n, b.Window, from.Format("15:04:05.000"), allowed, most)
		}
	}
	return used, text
}

// countFrom counts the sorted times in a window.
func countFrom(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}
