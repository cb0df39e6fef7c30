package httpwire

import (
	"bufio"
	"io"
	"net/http"
)

// Reader reads responses from a connection. It is not safe for concurrent use.
type Reader struct {
	raw     io.Reader
	checker checker
	// err is the first violation in the current response.
	err error
}

// NewReader returns a reader of the responses that arrive on raw.
func NewReader(raw io.Reader) *Reader { return &Reader{raw: raw} }

// Read reads the bytes of responses up to the first one that breaks the protocol, and fails with
// a MalformedError from there on.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.raw.Read(b)
	valid, malformed := r.checker.check(b[:n])
	if malformed != nil {
		r.err = malformed
		return valid, r.err
	}
	return n, err
}

// ReadResponse reads the head of the next response, which may be an interim one, like
// http.ReadResponse. The buffer must read from r. A violation of the protocol, also one that is
// found while the body is read, is reported as a MalformedError.
func (r *Reader) ReadResponse(buffer *bufio.Reader, req *http.Request) (*http.Response, error) {
	r.checker, r.err = checker{method: req.Method}, nil
	ahead, _ := buffer.Peek(buffer.Buffered())
	if _, malformed := r.checker.check(ahead); malformed != nil {
		r.err = malformed
		return nil, r.err
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
	if r.err != nil {
		return r.err
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
