package httpwire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport sends GET requests over HTTP/1.1. A response that breaks the protocol fails with a
// MalformedError, and its connection is closed.
type Transport struct{ *http.Transport }

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport with the settings of base, which must have the dial function
// that it is used with: DialTLSContext for https, or else DialContext. It replaces that function.
func NewTransport(base *http.Transport) *Transport {
	if base.DialTLSContext != nil {
		base.DialTLSContext = checkResponses(base.DialTLSContext)
	} else {
		base.DialContext = checkResponses(base.DialContext)
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var reader atomic.Pointer[Reader]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			reader.Store(&c.reader)
		}
	}})
	res, err := t.Transport.RoundTrip(req.WithContext(ctx))
	used := reader.Load()
	if used == nil {
		return res, err
	}
	if err != nil {
		return nil, used.cause(err)
	}
	res.Body = &body{ReadCloser: res.Body, reader: used}
	return res, nil
}

func checkResponses(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: raw, reader: Reader{raw: raw, checker: checker{finalOnly: true}}}, nil
	}
}

// checkedConn checks the responses on a connection that carries one request at a time: the next
// response begins with the first bytes that arrive after a request was written.
type checkedConn struct {
	net.Conn
	reader    Reader
	requested atomic.Bool
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.requested.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	return c.reader.read(b, func() {
		if c.requested.Swap(false) && c.reader.checker.done() {
			c.reader.checker = checker{finalOnly: true}
		}
	})
}
