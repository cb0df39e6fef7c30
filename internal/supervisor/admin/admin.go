// Package admin serves the operators' listener: health, readiness, status and
// metrics.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Service runs the admin listener under supervision.
type Service struct {
	address   string
	holder    *view.Holder
	listening func() bool
	unready   atomic.Bool
	log       logs.Logger
}

// SetUnready makes the readiness check fail from now on.
func (s *Service) SetUnready() { s.unready.Store(true) }

// NewService returns the admin service. Listening reports whether the entry accepts
// callers' connections; until then it isn't ready.
func NewService(address string, holder *view.Holder, listening func() bool) *Service {
	return &Service{address: address, holder: holder, listening: listening, log: logs.For("admin")}
}

const maxBodyBytes = 64 << 10

// Serve listens until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /journal", s.entries)
	mux.HandleFunc("GET /metrics", s.metrics)
	server, err := httpserver.Start(httpserver.Options{Name: "admin", Address: s.address, MaxBodyBytes: maxBodyBytes, Handler: mux})
	if err != nil {
		return err
	}
	s.log.Infof("listen on %s", server.Address())
	<-ctx.Done()
	server.Stop()
	return ctx.Err()
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	if s.unready.Load() || !s.listening() || !s.holder.Load().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Status is the answer of GET /status.
type Status struct {
	// Ready and Leaving are the entry's state.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Versions holds the lists in force.
	Versions map[string]uint64 `json:"versions"`
	// Lists holds the state of each list.
	Lists map[string]ListStatus `json:"lists"`
	// Services holds the servers by service.
	Services map[string][]ServerStatus `json:"services"`
	// Peers is the number of other entries in the VM list.
	Peers int `json:"peers"`
}

// ServerStatus is one server in Status.
type ServerStatus struct {
	// ID and Address identify the server.
	ID      string `json:"id"`
	Address string `json:"address"`
	// TakesWork says whether new calls go to it.
	TakesWork bool `json:"takes_work"`
	// InFlight is the number of this entry's calls there.
	InFlight int `json:"in_flight"`
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.holder.Load()
	status := Status{
		Ready: snapshot.Ready, Leaving: snapshot.Leaving, Peers: len(snapshot.Peers),
		Lists: listStatuses(snapshot), Versions: make(map[string]uint64), Services: make(map[string][]ServerStatus),
	}
	for name, list := range snapshot.Lists {
		status.Versions[string(name)] = list.Version
	}
	for name, list := range snapshot.Services {
		for _, server := range list {
			status.Services[name] = append(status.Services[name], ServerStatus{
				ID: server.Info.ID, Address: server.Info.Address, TakesWork: server.TakesWork(), InFlight: server.InFlight(),
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (s *Service) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}
