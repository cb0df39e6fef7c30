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
)

const (
	// maxHeadBytes limits the head of each answer, interim answers included, and what
	// frames its body beside the body itself.
	maxHeadBytes = 64 << 10
	// maxCheckBodyBytes limits the body of an answer to a health check.
	maxCheckBodyBytes = 64 << 10
	// minBodyBuffer is the first size of the buffer for a body. It grows with the bytes
	// that arrive, whatever length the server states. Only the growth is reserved, so
	// that a few large answers don't keep small ones out.
	minBodyBuffer = 4 << 10
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
	errNoMemory       = errors.New("the memory for answers is used up")
	errTooManySkipped = errors.New("too many interim answers or answers to other calls")
	errUpgrade        = errors.New("the server switched protocols, which was not requested")
	errClosedEarly    = errors.New("the connection was closed before the answer")
)

// conn is one connection to a server. It carries one call at a time.
type conn struct {
	raw     net.Conn
	limited io.LimitedReader
	reader  *bufio.Reader
	// usedAt is when the last answer was read, or the connection was opened.
	usedAt time.Time
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
	c := &conn{raw: raw, fresh: true, usedAt: time.Now()}
	c.limited.R = raw
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

// response is an answer read from a connection.
type response struct {
	status int
	header http.Header
	body   []byte
}

// write sends a request and returns the number of bytes that the kernel accepted.
func (c *conn) write(data []byte, deadline time.Time) (int, error) {
	c.keep, c.fresh = false, false
	if err := c.raw.SetDeadline(deadline); err != nil {
		return 0, errors.WithStack(err)
	}
	n, err := c.raw.Write(data)
	return n, errors.WithStack(err)
}

// answerLimits bounds what is read of an answer, and says who sees its head.
type answerLimits struct {
	// bodyBytes is the largest body.
	bodyBytes int
	// reserve is asked for memory before the buffer of a body grows by that many bytes;
	// nil allows all.
	reserve func(bytes int) bool
	// observe is called with the head of each answer before its body is read; nil for none.
	observe func(status int, h http.Header)
}

// read returns the answer to the last request. It skips interim answers, and answers for
// which matches returns false. It stops reading at the limits, so that a server that
// sends without end costs no more than the largest answer.
func (c *conn) read(method string, limits answerLimits, matches func(status int, h http.Header) bool) (response, error) {
	request := &http.Request{Method: method}
	for range maxAnswersRead {
		c.limited.N = maxHeadBytes
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if c.limited.N <= 0 {
				err = errHeadTooLarge
			}
			return response{}, errors.Wrap(err, "read the answer")
		}
		if limits.observe != nil {
			limits.observe(res.StatusCode, res.Header)
		}
		c.limited.N = int64(limits.bodyBytes) + maxHeadBytes
		body, err := readBody(res, limits)
		if err != nil {
			c.limited.N = 0 // Close would read the rest of the body
		}
		_ = res.Body.Close()
		switch {
		case err != nil:
			return response{}, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return response{}, errors.WithStack(errUpgrade)
		case res.StatusCode < http.StatusOK:
			continue
		case !matches(res.StatusCode, res.Header):
			if res.Close {
				return response{}, errors.WithStack(errClosedEarly)
			}
			continue
		}
		c.recordResponse(res)
		return response{status: res.StatusCode, header: res.Header, body: body}, nil
	}
	return response{}, errors.WithStack(errTooManySkipped)
}

func (c *conn) recordResponse(res *http.Response) {
	c.usedAt = time.Now()
	c.keep = !res.Close && c.reader.Buffered() == 0
	if stated, ok := keepAlive(res.Header.Get("Keep-Alive")); ok {
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

// readBody returns the whole body, or an error if it is incomplete, exceeds the limits or
// finds no memory.
func readBody(res *http.Response, limits answerLimits) ([]byte, error) {
	if res.ContentLength > int64(limits.bodyBytes) {
		return nil, errors.WithStack(errTooLarge)
	}
	if res.ContentLength == 0 {
		return nil, nil
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := bodyBufferSize(len(body), int(res.ContentLength), limits.bodyBytes)
			if len(body) > 0 && limits.reserve != nil && !limits.reserve(size-len(body)) {
				return nil, errors.WithStack(errNoMemory)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := res.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limits.bodyBytes:
			return nil, errors.WithStack(errTooLarge)
		case errors.Is(err, io.EOF), err != nil && defect.On("gateway-pass-cut-answers"):
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "read the answer's body")
		}
	}
}

// bodyBufferSize returns the next size of a full buffer of the given size. It ends one
// byte above the stated length or the limit, so that the last read finds the end.
func bodyBufferSize(full, stated, limit int) int {
	last := limit + 1
	if stated > 0 {
		last = stated + 1
	}
	return min(max(2*full, minBodyBuffer), max(last, full+1))
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
