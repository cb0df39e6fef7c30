package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
)

// ServerOptions configures a fake backend server.
type ServerOptions struct {
	// ID identifies the server.
	ID string
	// Slots is the number of calls that run at a time.
	Slots int
	// Queue is the number of calls that may wait for a slot; more are shed.
	Queue int
	// Work is how long a call runs.
	Work time.Duration
}

// Server is a fake backend server with slots, a queue, load reports on its
// answers, shedding, drain, deadlines and cancellation. It records each call
// that it ran.
type Server struct {
	options ServerOptions
	slots   chan struct{}
	load    atomic.Int64
	probes  atomic.Int64

	mu      sync.Mutex
	ran     []Run
	leaving bool
	failing bool
	slow    float64
}

// Run is one call that a server ran.
type Run struct {
	// Target is the request target.
	Target string `json:"target"`
	// Body is the request body.
	Body string `json:"body"`
	// At is when the call started, by the server's clock.
	At time.Time `json:"at"`
}

// Reply is the body of a fake server's answer.
type Reply struct {
	// Server is the server's id.
	Server string `json:"server"`
	// Target and Body repeat the request, so that a caller can tell its own
	// answer.
	Target string `json:"target"`
	Body   string `json:"body"`
}

// NewServer returns a fake server.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, slots: make(chan struct{}, o.Slots), slow: 1}
}

// Ran returns the calls that the server ran.
func (s *Server) Ran() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.ran...)
}

// SetLeaving makes the server say on its answers that it is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetFailing makes the server reject every call at once without starting it.
func (s *Server) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// SetSlow multiplies the work of each call.
func (s *Server) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Probes returns the number of probes received.
func (s *Server) Probes() int { return int(s.probes.Load()) }

// Handler serves the server. GET /_ran lists what ran; PUT /_set changes
// leaving, failing and slow.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ran", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Ran()) })
	mux.HandleFunc("PUT /_set", s.set)
	mux.HandleFunc("GET /_load", s.probe)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) set(_ http.ResponseWriter, r *http.Request) {
	if v := r.FormValue("leaving"); v != "" {
		s.SetLeaving(v == "true")
	}
	if v := r.FormValue("failing"); v != "" {
		s.SetFailing(v == "true")
	}
	if v, err := strconv.ParseFloat(r.FormValue("slow"), 64); err == nil {
		s.SetSlow(v)
	}
}

func (s *Server) probe(w http.ResponseWriter, _ *http.Request) {
	s.probes.Add(1)
	s.signals(w.Header())
}

func (s *Server) signals(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(call.HeaderLoad, strconv.FormatInt(s.load.Load(), 10))
	state := "live"
	if s.leaving {
		state = "leaving"
	}
	h.Set(call.HeaderState, state)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	load := s.load.Add(1)
	defer s.load.Add(-1)
	s.mu.Lock()
	failing, slow := s.failing, s.slow
	s.mu.Unlock()
	if failing || int(load) > s.options.Slots+s.options.Queue {
		s.reject(w)
		return
	}
	deadline := time.After(deadlineOf(r.Header))
	select {
	case s.slots <- struct{}{}:
	case <-deadline:
		s.reject(w)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	run := Run{Target: r.URL.RequestURI(), Body: string(body), At: time.Now()}
	s.record(run)
	time.Sleep(time.Duration(float64(s.options.Work) * slow))
	s.signals(w.Header())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Server: s.options.ID, Target: run.Target, Body: run.Body})
}

func (s *Server) record(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, r)
}

func (s *Server) reject(w http.ResponseWriter) {
	s.signals(w.Header())
	w.Header().Set(call.HeaderNotStarted, "true")
	http.Error(w, "rejected", http.StatusServiceUnavailable)
}

const defaultDeadline = time.Minute

func deadlineOf(h http.Header) time.Duration {
	ms, err := strconv.Atoi(h.Get(call.HeaderDeadline))
	if err != nil {
		return defaultDeadline
	}
	return time.Duration(ms) * time.Millisecond
}
