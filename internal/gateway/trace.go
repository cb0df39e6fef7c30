package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// trace collects what decided a request's way, for its log line. It is used by
// one goroutine at a time.
type trace struct {
	sends  []sendTrace
	queued bool
}

type sendTrace struct {
	server  string
	running int
	waiting int
	slots   int
	slow    float64
	// loadAge is how old the server's own figures were; they are a guess by own
	// calls if told is false.
	loadAge time.Duration
	told    bool
	failing float64
	far     bool
	hedge   bool
	outcome string
}

func (t *trace) waited() { t.queued = true }

// sent notes a send and returns its index.
func (t *trace) sent(o *offer, now time.Time) int {
	c := o.candidate
	t.sends = append(t.sends, sendTrace{
		server: o.target.info.ID, running: c.Running + c.Unreported, waiting: c.Waiting, slots: c.Slots, slow: c.Slowness,
		loadAge: now.Sub(o.answeredAt), told: !o.answeredAt.IsZero(), failing: c.FailureRate, far: c.Remote,
		outcome: "abandoned",
	})
	return len(t.sends) - 1
}

// hedged marks the latest send as a second one beside another.
func (t *trace) hedged() { t.sends[len(t.sends)-1].hedge = true }

func (t *trace) ended(i int, r upstream.Result) {
	s := &t.sends[i]
	switch {
	case r.Err != nil:
		s.outcome = r.Outcome.String() + ": " + r.Err.Error()
	default:
		s.outcome = strconv.Itoa(r.Status)
	}
}

// String returns the sends as server(load inputs)=outcome.
func (t *trace) String() string {
	var b strings.Builder
	for i, s := range t.sends {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(s.server + "(load " + strconv.Itoa(s.running) + "+" + strconv.Itoa(s.waiting) + "/" + strconv.Itoa(s.slots))
		b.WriteString(" x" + strconv.FormatFloat(s.slow, 'f', 1, 64) + " " + s.age())
		if s.failing > 0 {
			b.WriteString(" failing " + strconv.FormatFloat(s.failing, 'f', 2, 64))
		}
		if s.far {
			b.WriteString(" far")
		}
		if s.hedge {
			b.WriteString(" hedge")
		}
		b.WriteString(")=" + s.outcome)
	}
	return b.String()
}

func (s *sendTrace) age() string {
	if !s.told {
		return "guessed"
	}
	return "age " + s.loadAge.Round(100*time.Microsecond).String()
}

// logRequest writes the line of a request.
func logRequest(log logs.Logger, r *request, a *answer, now time.Time) {
	l := log.With("id", r.id).With("route", r.route.Name).With("service", r.service.name).With("version", r.version).
		With("status", a.status).With("reason", a.reason).With("took", now.Sub(r.received).Round(100*time.Microsecond)).
		With("left", r.deadline.Sub(now).Round(time.Millisecond)).With("sends", r.trace.String())
	if r.trace.queued {
		l = l.With("queued", true)
	}
	if waited := r.received.Add(r.route.Objective).Sub(r.onTimeUntil); waited > 0 {
		l = l.With("waited_before", waited.Round(time.Millisecond))
	}
	if a.retryAfter > 0 {
		l = l.With("retry_after", a.retryAfter.Round(time.Millisecond))
	}
	l.Infof("request")
}
