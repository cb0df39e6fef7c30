// Package httpserver runs HTTP listeners on nbhttp.
package httpserver

import (
	"net"
	"net/http"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

func init() { logging.SetLevel(logging.LevelNone) }

// Options configures a listener.
type Options struct {
	// Name names the engine.
	Name string
	// Address is the IP address and port.
	Address string
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	// Handler answers requests, each in a goroutine of its own.
	Handler http.Handler
}

// headBytes bounds the bytes that the parser holds beside a body.
const headBytes = 64 << 10

// Server is a running listener.
type Server struct {
	engine   *nbhttp.Engine
	listener net.Listener
}

// Start listens and serves until Stop.
func Start(o Options) (*Server, error) {
	s := &Server{}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: o.Name, Network: "tcp", Addrs: []string{o.Address}, Handler: o.Handler,
		MaxHTTPBodySize: o.MaxBodyBytes, ReadLimit: o.MaxBodyBytes + headBytes,
		ServerExecutor: func(f func()) { go f() },
		Listen:         s.listen,
	})
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s: listen on %s", o.Name, o.Address)
	}
	return s, nil
}

func (s *Server) listen(network, address string) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	s.listener = listener
	return listener, err
}

// Address returns the address listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.engine.Stop() }
