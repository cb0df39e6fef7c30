package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// handler is the HTTP handler of the callers' listener.
type handler struct {
	options      *Options
	dispatcher   *dispatcher
	current      *latestSnapshot
	log          logs.Logger
	metrics      *counters
	splitCounter atomic.Uint64
}

// limits returns the limits on callers' requests from the current configuration, or no
// limits before the first configuration.
func (h *handler) limits() httpserver.Limits {
	s := h.current.get()
	if s == nil {
		return httpserver.Limits{}
	}
	l := s.table.Limits
	return httpserver.Limits{HeadBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	d := h.options.Dialect
	id := r.Header.Get(d.CallID)
	s := h.current.wait(r, d.Deadline)
	if s == nil {
		a := answer{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: noConfigurationRetryAfter}
		h.log.With("id", id).With("status", a.status).With("reason", a.reason).With("took", time.Since(received).Round(100*time.Microsecond)).Infof("request refused")
		h.write(w, id, a)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := s.table.Match(r.Host, path)
	if !ok {
		a := answer{status: http.StatusNotFound, reason: "no-route"}
		h.log.With("id", id).With("host", r.Host).With("path", path).With("version", s.table.Version).With("status", a.status).Infof("no route for the request")
		h.write(w, id, a)
		return
	}
	req, a := h.newRequest(r, s, route, id, received)
	if req != nil {
		defer req.answers.release()
		a = h.dispatcher.dispatch(r.Context(), req)
		h.recordAnswer(r.Context(), req, &a)
	}
	h.write(w, id, a)
}

// newRequest reads a caller's request. If the request is malformed or its body can't be
// read it returns nil and the answer to the caller.
func (h *handler) newRequest(r *http.Request, s *snapshot, route *routing.Route, id string, received time.Time) (*request, answer) {
	timeout, waited := route.Timeout, time.Duration(0)
	if text := r.Header.Get(h.options.Dialect.Deadline); text != "" {
		remaining, err := parseDeadline(text)
		if err != nil || remaining < 0 {
			return nil, answer{status: http.StatusBadRequest, reason: "bad-deadline"}
		}
		timeout, waited = min(timeout, remaining), h.dispatcher.callerWaits(route).Observe(remaining)
	}
	body, err := httpserver.BodyChunks(r)
	if err != nil {
		h.log.With("id", id).Warnf("read the request's body: %v", err)
		return nil, answer{status: http.StatusBadRequest, reason: "bad-body"}
	}
	return &request{
		id: id, route: route, service: s.services[route.Pick(h.nextSplitPoint())], version: s.table.Version,
		call: upstream.Call{
			ID: id, Method: r.Method, Target: r.RequestURI, Head: upstreamHeader(r, h.options.Dialect), Body: body,
		},
		received: received, deadline: received.Add(timeout), objectiveEnd: received.Add(route.Objective - waited),
		cameBack: waited > 0 || httpserver.FirstOnConnection(r.Context()),
		trace:    &trace{arrival: httpserver.ArrivalTime(r.Context())},
		answers:  &answerBodies{},
	}, answer{}
}

// parseDeadline parses how much longer a caller waits, given in milliseconds.
func parseDeadline(text string) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 32)
	return time.Duration(ms) * time.Millisecond, err
}

// goldenRatio is the step of a low-discrepancy sequence: with it the shares of a
// traffic split hold even over few requests.
const goldenRatio = 0.6180339887498949

// nextSplitPoint returns the next point of a low-discrepancy sequence in [0, 1).
func (h *handler) nextSplitPoint() float64 {
	x := float64(h.splitCounter.Add(1)) * goldenRatio
	return x - float64(int64(x))
}

// hopHeaders are the headers that apply to one connection only and are not forwarded
// (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// upstreamHeader returns the header lines to send to the server.
func upstreamHeader(r *http.Request, d *upstream.Dialect) []byte {
	const typicalHeaderBytes = 256
	out := make([]byte, 0, typicalHeaderBytes)
	out = append(out, "Host: "+r.Host+"\r\n"...)
	dropped := connectionOptions(r.Header)
	for name, values := range r.Header {
		if hopHeaders[name] || dropped[name] || name == "Host" || name == d.Deadline || name == d.ExpectServer {
			continue
		}
		for _, v := range values {
			out = append(out, name+": "+v+"\r\n"...)
		}
	}
	return out
}

// connectionOptions returns the names of the headers that the Connection headers list.
// The listed headers apply to one connection only.
func connectionOptions(h http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if out == nil {
				out = make(map[string]bool)
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// recordAnswer counts and logs the answer to a request.
func (h *handler) recordAnswer(ctx context.Context, r *request, a *answer) {
	now := time.Now()
	if ctx.Err() != nil {
		a.reason = "caller-left"
		if errors.Is(context.Cause(ctx), errStopping) {
			a.reason = "cut-by-stop"
		}
	}
	h.metrics.countAnswer(a.status, now.Sub(r.received))
	log := h.log
	if stopping, ok := h.dispatcher.stop.since(r.received); ok {
		log = log.With("stopping", stopping.Round(time.Millisecond))
	}
	logRequest(log, r, a, now)
}

// write sends an answer to the caller, without the headers that applied to the server's
// connection.
func (h *handler) write(w http.ResponseWriter, id string, a answer) {
	header := w.Header()
	dropped := connectionOptions(a.header)
	for name, values := range a.header {
		if !hopHeaders[name] && !dropped[name] {
			header[name] = values
		}
	}
	if a.header == nil && id != "" {
		header.Set(h.options.Dialect.CallID, id)
	}
	if a.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(a.status)
	httpserver.SendBody(w, a.body.Move())
}

func newHandler(o *Options, m *counters) *handler {
	h := &handler{options: o, current: newLatestSnapshot(o.started), log: logs.For("gateway"), metrics: m}
	h.splitCounter.Store(rand.Uint64N(1 << 20))
	h.dispatcher = &dispatcher{options: o, metrics: m, routes: make(map[string]*routeState)}
	return h
}
