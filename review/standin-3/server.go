package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a server ran.
type run struct {
	at      time.Time
	server  string
	service string
	id      string
	method  string
	path    string
	body    string
}

// backend is a stand-in of a server.
type backend struct {
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	address           string
	server            *http.Server
	onRun             func(run)

	mu       sync.Mutex
	running  int
	sequence int
	leaving  bool
}

func startBackend(id, service, zone, address string, work time.Duration, onRun func(run)) (*backend, error) {
	b := &backend{id: id, service: service, zone: zone, slots: 6, work: work, born: time.Now().UnixMilli(), onRun: onRun}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b.address = l.Addr().String()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

func (b *backend) key() string { return "servers/" + b.id }

// entry returns what the server writes about itself.
func (b *backend) entry(warmup time.Duration) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	out, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"warmup_left": fmt.Sprintf("%dms", warmup.Milliseconds()), "sequence": b.sequence, "born": b.born,
	})
	return out
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", b.id)
		b.mu.Lock()
		h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", b.running, b.slots))
		b.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		h.Set("Instance-Id", b.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	if b.running >= b.slots {
		b.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	b.mu.Unlock()
	b.onRun(run{at: time.Now(), server: b.id, service: b.service, id: id, method: r.Method, path: r.URL.RequestURI(), body: string(body)})
	time.Sleep(b.work)
	b.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", b.running, b.slots))
	b.running--
	b.mu.Unlock()
	h.Set("Server-Signature", "sig."+b.id+"."+id)
	answer := "answer of " + b.service + " " + b.id + " to " + id
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
