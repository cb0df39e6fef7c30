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
	// maxHeadBytes bounds the heads of an answer, interim answers included.
	maxHeadBytes = 64 << 10
	// maxSkipped bounds the interim and late answers read before the answer.
	maxSkipped = 8
	// readBufferBytes holds a head and most bodies in one read.
	readBufferBytes = 4 << 10
	// userTimeout ends a connection whose peer acknowledges nothing, in
	// milliseconds; it is above the longest retransmission pause of a short loss.
	userTimeout = 2000
)

var (
	errTooLarge = errors.New("the answer's body exceeds max_body_bytes")
	errSkipped  = errors.New("too many answers that belong to no call of this connection")
	errUpgrade  = errors.New("the server changed the protocol")
	errCut      = errors.New("the connection was closed before the answer")
)

// conn is one connection to a server. It carries one call at a time.
type conn struct {
	raw     net.Conn
	limited io.LimitedReader
	reader  *bufio.Reader
	// usedAt is when the last answer arrived.
	usedAt time.Time
	// fresh says that the connection has carried no answer yet.
	fresh bool
	// keep says that the server keeps the connection after the last answer.
	keep bool
	// idleFor is how long the server keeps the connection unused; 0 if not told.
	idleFor time.Duration
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: limitSilence}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c := &conn{raw: raw, fresh: true, usedAt: time.Now()}
	c.limited.R = raw
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
}

// limitSilence sets TCP_USER_TIMEOUT.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		const tcpUserTimeout = 0x12
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout) //nolint:gosec // a file descriptor
	})
	if err != nil {
		return err
	}
	return failed
}

// message is an answer as read from a connection.
type message struct {
	status int
	header http.Header
	body   []byte
}

// write sends a whole request. It returns the number of bytes that the kernel
// took.
func (c *conn) write(data []byte, deadline time.Time) (int, error) {
	c.keep, c.fresh = false, false
	if err := c.raw.SetDeadline(deadline); err != nil {
		return 0, errors.WithStack(err)
	}
	n, err := c.raw.Write(data)
	return n, errors.WithStack(err)
}

// read returns the answer to the request written last. Mine reports whether an
// answer's head belongs to it; others are dropped.
func (c *conn) read(method string, maxBody int, mine func(status int, h http.Header) bool) (message, error) {
	request := &http.Request{Method: method}
	for range maxSkipped {
		c.limited.N = int64(maxHeadBytes + maxBody)
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return message{}, errors.Wrap(err, "read the answer")
		}
		body, err := readBody(res, maxBody)
		switch {
		case err != nil:
			return message{}, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return message{}, errors.WithStack(errUpgrade)
		case res.StatusCode < http.StatusOK:
			continue
		case !mine(res.StatusCode, res.Header):
			if res.Close {
				return message{}, errors.WithStack(errCut)
			}
			continue
		}
		c.answered(res)
		return message{status: res.StatusCode, header: res.Header, body: body}, nil
	}
	return message{}, errors.WithStack(errSkipped)
}

func (c *conn) answered(res *http.Response) {
	c.usedAt = time.Now()
	c.keep = !res.Close && c.reader.Buffered() == 0
	if told, ok := keepAlive(res.Header.Get("Keep-Alive")); ok {
		c.idleFor = told
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
