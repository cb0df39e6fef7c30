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
	// maxHeadBytes limits the head of each answer, interim answers included.
	maxHeadBytes = 64 << 10
	// maxAnswersRead limits the answers read for one request. Interim answers and late
	// answers to other requests count too.
	maxAnswersRead = 8
	// readBufferBytes is enough to read a head and most bodies at once.
	readBufferBytes = 4 << 10
	// userTimeoutMillis is TCP_USER_TIMEOUT in milliseconds: the kernel closes a connection
	// whose peer acknowledges nothing for that long. It exceeds the retransmission delays
	// of a short packet loss.
	userTimeoutMillis = 2000
)

var (
	errTooLarge       = errors.New("the answer's body exceeds max_body_bytes")
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

// read returns the answer to the last request. It skips interim answers, and answers for
// which matches returns false.
func (c *conn) read(method string, maxBody int, matches func(status int, h http.Header) bool) (response, error) {
	request := &http.Request{Method: method}
	for range maxAnswersRead {
		c.limited.N = int64(maxHeadBytes + maxBody)
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return response{}, errors.Wrap(err, "read the answer")
		}
		body, err := readBody(res, maxBody)
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

func readBody(res *http.Response, limit int) ([]byte, error) {
	defer res.Body.Close()
	if res.ContentLength > int64(limit) {
		return nil, errors.WithStack(errTooLarge)
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		n, err := io.ReadFull(res.Body, body)
		if defect.On("gateway-pass-cut-answers") {
			return body[:n], nil
		}
		return body, errors.Wrap(err, "read the answer's body")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errTooLarge
	}
	return body, errors.Wrap(err, "read the answer's body")
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
