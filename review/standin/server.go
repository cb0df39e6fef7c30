package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// serverOptions configures a backend server.
type serverOptions struct {
	id, service, zone string
	slots, queue      int
	// work is the mean time that a request runs; each varies by a third either way.
	work time.Duration
	// load says that answers carry Server-Load.
	load bool
}

// server stands in for a backend server.
type server struct {
	o        serverOptions
	store    *store
	rec      *recorder
	listener net.Listener
	http     *http.Server
	slots    chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	draining bool
	sequence int
	told     string // the state in the store's entry
	born     int64
	got      map[string]time.Time // by Attempt-Id, when the request arrived
	ran      map[string]time.Time // by Attempt-Id, when it began to run
	stopped  chan struct{}
}

const (
	heartbeat = 1500 * time.Millisecond
	idleClose = 10 * time.Second
)

func newServer(st *store, rec *recorder, o serverOptions) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		o: o, store: st, rec: rec, listener: l, slots: make(chan struct{}, o.slots), born: time.Now().UnixMilli(),
		got: make(map[string]time.Time), ran: make(map[string]time.Time), stopped: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: idleClose}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go s.beats()
	return s, nil
}

func (s *server) beats() {
	for {
		select {
		case <-time.After(heartbeat):
			s.beat()
		case <-s.stopped:
			return
		}
	}
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopped:
		return
	default:
	}
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	if state == s.told {
		return // the store's entry changes only when more than the sequence changes
	}
	s.told = state
	s.store.put("servers/"+s.o.id, map[string]any{
		"service": s.o.service, "address": s.listener.Addr().String(), "zone": s.o.zone, "version": "v1", "slots": s.o.slots,
		"state": state, "warmup_left": "0ms", "sequence": s.sequence, "born": s.born,
	})
}

// drain announces that the server leaves. It goes on serving.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
}

// exit ends the server, which takes its entry out of the store.
func (s *server) exit() {
	s.mu.Lock()
	close(s.stopped)
	s.mu.Unlock()
	_ = s.http.Close()
	s.store.remove("servers/" + s.o.id)
}

// arrived returns when a request reached the server.
func (s *server) arrived(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.got[id]
	return t, ok
}

// began returns when the server began to run a request.
func (s *server) began(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.ran[id]
	return t, ok
}

// tell sets the headers that all answers carry. The lock must be held.
func (s *server) tell(h http.Header) {
	h.Set("Instance-Id", s.o.id)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleClose.Seconds())))
	if s.o.load {
		h.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.o.slots))
	}
	if s.draining {
		h.Set("Connection", "close")
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tell(w.Header())
		if s.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	arrived := time.Now()
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	deadline := arrived.Add(time.Duration(left) * time.Millisecond)
	s.rec.line("server %s got %s", s.o.id, id)
	s.mu.Lock()
	s.got[id] = arrived
	status := 0
	switch {
	case id == "":
		status = http.StatusBadRequest
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != s.o.id:
		status = http.StatusMisdirectedRequest
	case s.waiting >= s.o.queue:
		status = http.StatusServiceUnavailable
	default:
		s.waiting++
	}
	s.mu.Unlock()
	if status != 0 {
		s.reject(w, id, status)
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-timer.C:
		s.leaveQueue()
		s.reject(w, id, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.leaveQueue()
		return
	}
	s.run(w, r, id, body, timer)
}

func (s *server) leaveQueue() {
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}

func (s *server) reject(w http.ResponseWriter, id string, status int) {
	s.rec.line("server %s rejects %s with %d", s.o.id, id, status)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(w.Header())
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Attempt-Id", id)
	w.WriteHeader(status)
}

// run runs a request in a slot, until its work is done, its deadline or the end of its
// connection.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string, body []byte, deadline *time.Timer) {
	s.mu.Lock()
	s.waiting--
	s.running++
	s.ran[id] = time.Now()
	work := time.Duration(float64(s.o.work) * (0.67 + 0.66*rand.Float64()))
	s.mu.Unlock()
	s.rec.line("server %s runs %s", s.o.id, id)
	status := http.StatusOK
	select {
	case <-time.After(work):
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		status = 0
	}
	s.mu.Lock()
	s.tell(w.Header())
	s.running--
	s.mu.Unlock()
	<-s.slots
	s.rec.line("server %s ended %s: %d", s.o.id, id, status)
	if status == 0 {
		return // the caller has left
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Signature", "sig."+id)
	text := id + " " + r.Method + " " + r.RequestURI + " " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
