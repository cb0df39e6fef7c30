package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/memory"
)

const (
	// maxHeadBytes limits the head of each answer, interim answers included, and what
	// frames its body beside the body itself.
	maxHeadBytes = 64 << 10
	// largeHeadMemory is counted for a head that exceeds the read buffer: its lines, and the
	// header made of them.
	largeHeadMemory = 2 * maxHeadBytes
	// maxCheckBodyBytes limits the body of an answer to a health check.
	maxCheckBodyBytes = 64 << 10
	// maxAnswersRead limits the answers read for one request. Interim answers and late
	// answers to other requests count too.
	maxAnswersRead = 8
	// maxRefusals limits the refusals on a connection that is kept.
	maxRefusals = 16
	// readBufferBytes is enough to read a head and most bodies at once.
	readBufferBytes = 4 << 10
	// userTimeoutMillis is TCP_USER_TIMEOUT in milliseconds: the kernel closes a connection
	// whose peer acknowledges nothing for that long. It exceeds the retransmission delays
	// of a short packet loss.
	userTimeoutMillis = 2000
)

var (
	errTooLarge       = errors.New("the answer's body exceeds max_body_bytes")
	errHeadTooLarge   = errors.Errorf("the answer's head exceeds %d bytes", maxHeadBytes)
	errTooManySkipped = errors.New("too many interim answers or answers to other calls")
	errUpgrade        = errors.New("the server switched protocols, which was not requested")
	errClosedEarly    = errors.New("the connection was closed before the answer")
)

// conn is one connection to a server. It carries one call at a time.
type conn struct {
	raw     net.Conn
	checked *httpwire.Reader
	limited limitedReader // reads from checked
	reader  *bufio.Reader // reads from limited
	probe   [1]byte
	// usedAt is when the last answer was read, or the connection was opened.
	usedAt time.Time
	// deadline is that of the last request.
	deadline time.Time
	// fresh says that the connection has carried no request yet.
	fresh bool
	// keep says that the connection can be reused after the last answer.
	keep bool
	// refused holds the ids of calls that the server has refused on this connection. A
	// second refusal with one of them may be the first one, sent again.
	refused map[string]struct{}
	// keepAliveTimeout is how long the server keeps an idle connection open, 0 if unknown.
	keepAliveTimeout time.Duration
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c := &conn{raw: raw, checked: httpwire.NewReader(raw), fresh: true, usedAt: time.Now()}
	c.limited.raw = c.checked
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		const tcpUserTimeout = 0x12
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis) //nolint:gosec // a file descriptor
	})
	if err != nil {
		return err
	}
	return sockErr
}

// limitedReader reads from a connection up to a limit.
type limitedReader struct {
	raw  io.Reader
	left int
	// beyondBuffer is called before a head is read on that exceeds the read buffer; nil for
	// nothing.
	beyondBuffer func() error
}

// Read reads up to the limit, and fails with the error of beyondBuffer.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	if r.beyondBuffer != nil && r.left <= maxHeadBytes-readBufferBytes {
		if err := r.beyondBuffer(); err != nil {
			return 0, err
		}
		r.beyondBuffer = nil
	}
	n, err := r.raw.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// response is an answer read from a connection.
type response struct {
	status int
	header http.Header
	body   *memory.Body
	close  bool // the connection ends with the answer
}

// begin sets the deadline of the next request. Until end is called, the end of the context
// ends all reads and writes; end reports whether the context did not end. begin fails if it
// has ended already: nothing is sent then.
func (c *conn) begin(ctx context.Context, deadline time.Time) (end func() bool, err error) {
	// In this order: the deadline must not replace the one that the context sets.
	if err := c.raw.SetDeadline(deadline); err != nil {
		c.keep, c.fresh = false, false
		return nil, errors.WithStack(err)
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "send a request")
	}
	c.deadline = deadline
	return context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(expiredDeadline) }), nil
}

// write sends a request and returns the number of bytes that the kernel accepted.
func (c *conn) write(data []byte) (int, error) {
	c.keep, c.fresh = false, false
	n, err := c.raw.Write(data)
	return n, errors.WithStack(err)
}

// answerLimits bounds what is read of an answer, and says who sees its head.
type answerLimits struct {
	// bodyBytes is the largest body.
	bodyBytes int
	// memory counts the bytes of answers; nil counts nothing.
	memory *memory.FairBudget
	// discard says that bodies are read and not kept.
	discard bool
	// observe is called with the head of each final answer that is not malformed, also if its
	// body is cut; nil for none.
	observe func(status int, h http.Header)
}

func (l *answerLimits) observeHead(res *http.Response) {
	if l.observe != nil && res.StatusCode >= http.StatusOK {
		l.observe(res.StatusCode, res.Header)
	}
}

// read returns the answer to the last request. It skips interim answers, and answers for
// which matches returns false. It stops reading at the limits, so that a server that
// sends without end costs no more than the largest answer. It waits for memory until the
// context ends.
func (c *conn) read(ctx context.Context, method string, limits answerLimits, matches func(status int, h http.Header) bool) (response, error) {
	for range maxAnswersRead {
		res, err := c.readAnswer(ctx, method, limits)
		switch {
		case err != nil:
		case res.status == http.StatusSwitchingProtocols:
			err = errors.WithStack(errUpgrade)
		case res.status < http.StatusOK:
			res.body.Release()
			continue
		case !matches(res.status, res.header):
			if !res.close {
				res.body.Release()
				continue
			}
			err = errors.WithStack(errClosedEarly)
		}
		if err != nil {
			res.body.Release()
			return response{}, err
		}
		c.recordResponse(res)
		return res, nil
	}
	return response{}, errors.WithStack(errTooManySkipped)
}

// readAnswer reads one answer, which may be an interim one. With an error, only the body of
// what it returns is set.
func (c *conn) readAnswer(ctx context.Context, method string, limits answerLimits) (response, error) {
	body := limits.memory.NewBody()
	c.limited.left = maxHeadBytes
	c.limited.beyondBuffer = func() error { return c.holdLargeHead(ctx, body) }
	res, err := c.checked.ReadResponse(c.reader, &http.Request{Method: method})
	c.limited.beyondBuffer = nil
	if err != nil {
		if c.limited.left <= 0 && !httpwire.IsMalformed(err) {
			err = errHeadTooLarge
		}
		return response{body: body}, errors.Wrap(err, "read the answer")
	}
	// An answer in chunks may still turn out malformed.
	chunked := len(res.TransferEncoding) > 0
	if !chunked {
		limits.observeHead(res)
	}
	c.limited.left = limits.bodyBytes + maxHeadBytes
	err = c.readBody(ctx, res, limits, body)
	if chunked && !httpwire.IsMalformed(err) {
		limits.observeHead(res)
	}
	if err != nil {
		c.limited.left = 0 // Close would read the rest of the body
		_ = res.Body.Close()
		return response{body: body}, err
	}
	_ = res.Body.Close()
	return response{status: res.StatusCode, header: res.Header, body: body, close: res.Close}, nil
}

func (c *conn) recordResponse(res response) {
	c.usedAt = time.Now()
	c.keep = !res.close && c.reader.Buffered() == 0
	if stated, ok := keepAlive(res.header.Get("Keep-Alive")); ok {
		c.keepAliveTimeout = stated
	}
}

// noteRefusal records the refusal of a call. It returns false if the server has refused a
// call with that id on this connection before, and ends the use of the connection then.
func (c *conn) noteRefusal(id string) bool {
	if _, again := c.refused[id]; again {
		c.keep = false
		return false
	}
	if c.refused == nil {
		c.refused = make(map[string]struct{})
	}
	c.refused[id] = struct{}{}
	c.keep = c.keep && len(c.refused) < maxRefusals
	return true
}

// holdLargeHead counts the memory of a large head. It waits until the deadline of the request
// at most.
func (c *conn) holdLargeHead(ctx context.Context, body *memory.Body) error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return body.Hold(ctx, largeHeadMemory)
}

// readBody reads the whole body, or returns an error if it is incomplete, exceeds the limits
// or finds no memory.
func (c *conn) readBody(ctx context.Context, res *http.Response, limits answerLimits, body *memory.Body) error {
	if res.ContentLength > int64(limits.bodyBytes) {
		return errors.WithStack(errTooLarge)
	}
	if limits.discard {
		n, err := io.Copy(io.Discard, res.Body)
		if n > int64(limits.bodyBytes) {
			return errors.WithStack(errTooLarge)
		}
		return errors.Wrap(err, "read the answer's body")
	}
	if res.ContentLength == 0 {
		return nil
	}
	for {
		err := c.readPart(ctx, res.Body, body)
		switch {
		case body.Len() > limits.bodyBytes:
			return errors.WithStack(errTooLarge)
		case errors.Is(err, io.EOF), err != nil && defect.On("gateway-pass-cut-answers"):
			return nil
		case err != nil:
			return errors.Wrap(err, "read the answer's body")
		}
	}
}

// readPart reads once into a body. The body grows with the bytes that arrive, whatever length
// the server states: one byte is read before there is memory for more.
func (c *conn) readPart(ctx context.Context, from io.Reader, body *memory.Body) error {
	if free := body.Free(); len(free) > 0 {
		n, err := from.Read(free)
		body.Extend(n)
		return err
	}
	n, err := from.Read(c.probe[:])
	if err := body.Append(ctx, c.probe[:n]); err != nil {
		return err
	}
	return err
}

// keepAlive returns the timeout parameter of a Keep-Alive header.
func keepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		return time.Duration(seconds) * time.Second, err == nil && seconds > 0
	}
	return 0, false
}

func (c *conn) close() { _ = c.raw.Close() }
