package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
)

// Reader reads responses from a connection. It is not safe for concurrent use.
type Reader struct {
	raw     io.Reader
	checker checker
	// violation is the first one in the current response; nil for none. A Transport also loads
	// it in other goroutines.
	violation atomic.Pointer[MalformedError]
}

// NewReader returns a reader of the responses that arrive on raw.
func NewReader(raw io.Reader) *Reader { return &Reader{raw: raw} }

// Read reads the bytes of responses up to the first one that breaks the protocol, and fails with
// a MalformedError from there on.
func (r *Reader) Read(b []byte) (int, error) { return r.read(b, func() {}) }

// read is Read. It calls arrived before it checks bytes that have arrived.
func (r *Reader) read(b []byte, arrived func()) (int, error) {
	if v := r.violation.Load(); v != nil {
		return 0, v
	}
	n, err := r.raw.Read(b)
	arrived()
	valid, v := r.checker.check(b[:n])
	if v != nil {
		r.violation.Store(v)
		return valid, v
	}
	return n, err
}

// ReadResponse reads the head of the next response, which may be an interim one, like
// http.ReadResponse. The buffer must read from r. A violation of the protocol, also one that is
// found while the body is read, is reported as a MalformedError.
func (r *Reader) ReadResponse(buffer *bufio.Reader, req *http.Request) (*http.Response, error) {
	r.checker = checker{method: req.Method}
	ahead, _ := buffer.Peek(buffer.Buffered())
	_, v := r.checker.check(ahead)
	r.violation.Store(v)
	if v != nil {
		return nil, v
	}
	res, err := http.ReadResponse(buffer, req)
	if err != nil {
		return nil, r.cause(err)
	}
	res.Body = &body{ReadCloser: res.Body, reader: r}
	return res, nil
}

// cause returns the violation, or else err. The parser reports a violation as an early end.
func (r *Reader) cause(err error) error {
	if v := r.violation.Load(); v != nil {
		return v
	}
	return err
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	reader *Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		err = b.reader.cause(err)
	}
	return n, err
}
