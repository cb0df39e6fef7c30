package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
)

const (
	// defaultPause is the pause for a server that asks for one in a way that can't be read.
	defaultPause = time.Second
	// maxPause is the longest pause that a server can ask for.
	maxPause = 5 * time.Minute
)

// ErrLeftAlone says that nothing was sent, because the server leaves or has asked for a pause.
var ErrLeftAlone = errors.New("the server leaves or has asked to be left alone for a time")

// Notice is a change of what a server asks for.
type Notice struct {
	// CallID is the id of the call whose answer asked for it, empty for a health check.
	CallID string
	// Leaving says that the server leaves.
	Leaving bool
	// Until is the end of the pause that the server asks for, zero if it asks for none.
	Until time.Time
	// Unreadable is the value that asks for a pause but is no usable number of seconds.
	Unreadable string
}

// Standing is what one run of a server has asked of its callers in its answers: no new work
// because it leaves, or none for a time. It outlives the connections. It is safe for
// concurrent use.
type Standing struct {
	notify func(Notice)

	mu          sync.Mutex
	leaving     bool
	pausedUntil time.Time     // the end of the last pause
	pause       time.Duration // its length
	unreadable  bool          // an unreadable value was reported
	resumed     bool          // the end of the last pause was reported
}

// NewStanding returns the standing of a server that has asked for nothing. The function is
// called with each change.
func NewStanding(notify func(Notice)) *Standing { return &Standing{notify: notify, resumed: true} }

// Leaving reports whether the server leaves.
func (s *Standing) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// LastPause returns the end and the length of the last pause that the server asked for; the
// end is the zero time if it asked for none.
func (s *Standing) LastPause() (end time.Time, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pausedUntil, s.pause
}

// Available reports whether requests may be sent to the server now.
func (s *Standing) Available(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && !now.Before(s.pausedUntil) || defect.On("gateway-ignore-standing")
}

// Resumed reports once that a pause has ended.
func (s *Standing) Resumed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed || s.leaving || now.Before(s.pausedUntil) {
		return false
	}
	s.resumed = true
	return true
}

// observe takes what an answer's head asks for. The id is that of the answered call.
func (s *Standing) observe(d *Dialect, status int, h http.Header, id string, now time.Time) {
	n := Notice{CallID: id}
	if value := h.Get(d.Leaving); value != "" && value != "0" {
		n.Leaving = true
	}
	value := h.Get("Retry-After")
	if status == http.StatusServiceUnavailable && value != "" {
		pause, ok := parsePause(value)
		if !ok {
			n.Unreadable = value
		}
		if pause > 0 {
			n.Until = now.Add(pause)
		}
	}
	if s.change(&n, now) {
		s.notify(n)
	}
}

// change applies a notice and reports whether it says anything new. Of several pauses the
// latest end holds.
func (s *Standing) change(n *Notice, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.Leaving = n.Leaving && !s.leaving
	s.leaving = s.leaving || n.Leaving
	if s.unreadable {
		n.Unreadable = ""
	}
	s.unreadable = s.unreadable || n.Unreadable != ""
	if !n.Until.After(s.pausedUntil) {
		n.Until = time.Time{}
		return n.Leaving || n.Unreadable != ""
	}
	// Each answer to calls that were on their way moves the end a little; that is no news.
	news := n.Until.Sub(s.pausedUntil) > defaultPause
	s.pausedUntil, s.pause, s.resumed = n.Until, n.Until.Sub(now), false
	return news || n.Leaving || n.Unreadable != ""
}

// parsePause parses a number of seconds, which may have a fraction. The boolean is false if
// the value is out of bounds or no number; the pause is then the nearest bound, or
// defaultPause.
func parsePause(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case math.IsNaN(seconds), err != nil && !errors.Is(err, strconv.ErrRange):
		return defaultPause, false
	case seconds < 0:
		return 0, false
	case seconds > maxPause.Seconds():
		return maxPause, false
	default:
		return time.Duration(seconds * float64(time.Second)), true
	}
}
