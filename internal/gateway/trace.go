package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// trace records the sends of a request and the data by which their servers were chosen,
// for the request's log line. It is not safe for concurrent use.
type trace struct {
	sends  []sendTrace
	queued bool
	// arrival is how long the request took to arrive; 0 if that was short.
	arrival time.Duration
	// retryBudget is the state of the service's retry budget when the request last asked
	// it for a send; empty if it never did.
	retryBudget string
}

type sendTrace struct {
	server   string
	running  int
	waiting  int
	slots    int
	slowness float64
	// loadAge is the age of the reported load. If loadReported is false the load is an
	// estimate from this gateway's own calls.
	loadAge      time.Duration
	loadReported bool
	failureRate  float64
	remote       bool
	// because says why a server of another data centre was looked for.
	because string
	hedge   bool
	outcome string
}

func (t *trace) markQueued() { t.queued = true }

// addSend adds a send and returns its index. Its outcome is "abandoned" until endSend
// is called.
func (t *trace) addSend(ls *leasedServer, now time.Time) int {
	c := ls.candidate
	t.sends = append(t.sends, sendTrace{
		server: ls.target.info.ID, running: c.Running + c.Unreported, waiting: c.Waiting, slots: c.Slots, slowness: c.Slowness,
		loadAge: now.Sub(ls.answeredAt), loadReported: !ls.answeredAt.IsZero(), failureRate: c.FailureRate, remote: c.Remote, because: ls.because,
		outcome: "abandoned",
	})
	return len(t.sends) - 1
}

// markHedge marks the latest send as a hedge, sent while another is in progress.
func (t *trace) markHedge() { t.sends[len(t.sends)-1].hedge = true }

// setRetryBudget records the extra sends of the window, the number allowed and the number
// of gateways that share the slack, with a question mark if there may be more.
func (t *trace) setRetryBudget(spent int, allowed float64, size fleet.Size) {
	t.retryBudget = strconv.Itoa(spent) + "/" + strconv.FormatFloat(allowed, 'f', 2, 64) + " of " + strconv.Itoa(size.Gateways)
	if !size.Known {
		t.retryBudget += "?"
	}
}

// endSend sets the outcome of the send with the given index.
func (t *trace) endSend(i int, r upstream.Result) {
	s := &t.sends[i]
	switch {
	case r.Err != nil:
		s.outcome = r.Outcome.String() + ": " + r.Err.Error()
	default:
		s.outcome = strconv.Itoa(r.Status)
	}
}

// String returns each send as server(data)=outcome. In the data, load 3+4/6 is 3 running
// and 4 waiting calls at 6 slots, and x1.5 is a slowness of 1.5.
func (t *trace) String() string {
	var b strings.Builder
	for i, s := range t.sends {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(s.server + "(load " + strconv.Itoa(s.running) + "+" + strconv.Itoa(s.waiting) + "/" + strconv.Itoa(s.slots))
		b.WriteString(" x" + strconv.FormatFloat(s.slowness, 'f', 1, 64) + " " + s.loadAgeText())
		if s.failureRate > 0 {
			b.WriteString(" failing " + strconv.FormatFloat(s.failureRate, 'f', 2, 64))
		}
		if s.remote {
			b.WriteString(" far")
			if s.because != "" {
				b.WriteString(":" + s.because)
			}
		}
		if s.hedge {
			b.WriteString(" hedge")
		}
		b.WriteString(")=" + s.outcome)
	}
	return b.String()
}

func (s *sendTrace) loadAgeText() string {
	if !s.loadReported {
		return "guessed"
	}
	return "age " + s.loadAge.Round(100*time.Microsecond).String()
}

// logRequest writes the log line of a request.
func logRequest(log logs.Logger, r *request, a *answer, now time.Time) {
	l := log.With("id", r.id).With("route", r.route.Name).With("service", r.service.name).With("version", r.version).
		With("status", a.status).With("reason", a.reason).With("took", now.Sub(r.received).Round(100*time.Microsecond)).
		With("left", r.deadline.Sub(now).Round(time.Millisecond)).With("sends", r.trace.String())
	if r.trace.queued {
		l = l.With("queued", true)
	}
	if r.trace.arrival > 0 {
		l = l.With("arrived_in", r.trace.arrival.Round(time.Millisecond))
	}
	if waited := r.received.Add(r.route.Objective).Sub(r.objectiveEnd); waited > 0 {
		l = l.With("waited_before", waited.Round(time.Millisecond))
	}
	if r.trace.retryBudget != "" {
		l = l.With("retry_budget", r.trace.retryBudget)
	}
	if a.retryAfter > 0 {
		l = l.With("retry_after", a.retryAfter.Round(time.Millisecond))
	}
	l.Infof("request")
}
