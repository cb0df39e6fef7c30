package callers

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

// Service runs the callers' listener under supervision.
type Service struct {
	options  httpserver.Options
	log      logs.Logger
	server   atomic.Pointer[httpserver.Server]
	draining atomic.Bool
}

// NewService returns the service of a handler. It fails if the certificate
// can't be read.
func NewService(s settings.Callers, h *Handler) (*Service, error) {
	log := logs.For("callers")
	config, err := newTLSConfig(s.TLS, log)
	if err != nil {
		return nil, err
	}
	return &Service{
		options: httpserver.Options{
			Name: "callers", Address: s.Address, Handler: h,
			MaxBodyBytes: s.MaxBodyBytes, MemoryBytes: s.MemoryBytes + httpserver.MaxHeadMemory, SharedMemory: h.memory.budget,
			RequestTimeout: s.RequestTimeout.Duration, WriteTimeout: s.WriteTimeout.Duration, IdleTimeout: s.IdleTimeout.Duration,
			TLS: config,
		},
		log: log,
	}, nil
}

// Serve listens until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	server, err := httpserver.Start(s.options)
	if err != nil {
		return err
	}
	s.server.Store(server)
	if s.draining.Load() {
		server.Drain()
	}
	s.log.Infof("listen on %s", server.Address())
	<-ctx.Done()
	s.server.Store(nil)
	server.Stop()
	return ctx.Err()
}

// Drain makes each answer from now on the last one of its connection.
func (s *Service) Drain() {
	s.draining.Store(true)
	if server := s.server.Load(); server != nil {
		server.Drain()
	}
}

// GiveUp refuses the requests that are not whole and ends the calls in flight, whose outcome
// is unknown then.
func (s *Service) GiveUp() {
	if server := s.server.Load(); server != nil {
		server.RefuseIncomplete()
		server.Interrupt(errStopping)
	}
}

var errStopping = errors.New("the entry stops")

// Listening reports whether connections are accepted.
func (s *Service) Listening() bool { return s.server.Load() != nil }

// Busy returns the number of requests that are not answered in full, and of connections
// whose callers may still be reading their last answers.
func (s *Service) Busy() int {
	if server := s.server.Load(); server != nil {
		return server.Busy() + server.Lingering()
	}
	return 0
}
