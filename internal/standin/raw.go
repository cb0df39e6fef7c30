package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

// RawServer is a backend server that speaks bytes: a script decides what each
// connection gets, so that answers may be late, broken or too many.
type RawServer struct {
	// Info is the server's line in the platform's list.
	Info lists.Server

	listener net.Listener
	script   func(*RawConn)

	mu    sync.Mutex
	conns map[net.Conn]bool
	ran   []Run
}

// RawConn is one connection to a RawServer.
type RawConn struct {
	net.Conn
	// Reader reads what the other side sends.
	Reader *bufio.Reader
	// Number counts the server's connections from 1.
	Number int

	server *RawServer
}

// StartRawServer runs the script on each connection and closes it after that.
func StartRawServer(id, service string, script func(*RawConn)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &RawServer{
		Info:     lists.Server{ID: id, Service: service, Address: listener.Addr().String(), DataCentre: "modjo", State: lists.Live},
		listener: listener, script: script, conns: make(map[net.Conn]bool),
	}
	go s.accept()
	return s, nil
}

// Close closes the listener and all connections.
func (s *RawServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Ran returns the calls that the script noted.
func (s *RawServer) Ran() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.ran...)
}

func (s *RawServer) accept() {
	for number := 1; ; number++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			defer func() { _ = c.Close() }()
			s.script(&RawConn{Conn: c, Reader: bufio.NewReader(c), Number: number, server: s})
		}()
	}
}

// Request reads one whole request and returns it without noting a run.
func (c *RawConn) Request() (Run, error) {
	req, err := http.ReadRequest(c.Reader)
	if err != nil {
		return Run{}, errors.WithStack(err)
	}
	body, err := io.ReadAll(req.Body)
	return Run{Target: req.RequestURI, Body: string(body)}, errors.WithStack(err)
}

// Run reads one whole request and notes that the server ran it.
func (c *RawConn) Run() (Run, error) {
	run, err := c.Request()
	if err != nil {
		return run, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.ran = append(c.server.ran, run)
	return run, nil
}

// AnswerAll answers each request with the same text until the other side closes the connection. It
// counts no runs.
func (c *RawConn) AnswerAll(text string) {
	for {
		if _, err := c.Request(); err != nil {
			return
		}
		c.Send(text)
	}
}

// Send writes text as it is.
func (c *RawConn) Send(text string) { _, _ = io.WriteString(c, text) }
