package callers

import (
	"context"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
)

// Service runs the callers' listener under supervision.
type Service struct {
	options httpserver.Options
	handler *Handler
	log     logs.Logger
}

// NewService returns the service of a handler.
func NewService(address string, maxBodyBytes int, h *Handler) *Service {
	return &Service{
		options: httpserver.Options{Name: "callers", Address: address, MaxBodyBytes: maxBodyBytes, Handler: h},
		handler: h, log: logs.For("callers"),
	}
}

// Serve listens until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	server, err := httpserver.Start(s.options)
	if err != nil {
		return err
	}
	s.log.Infof("listen on %s", server.Address())
	<-ctx.Done()
	server.Stop()
	return ctx.Err()
}
