package servers

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// conn is one connection to a server; it carries one call at a time.
type conn struct {
	client *nbhttp.ClientConn
	raw    net.Conn   // the client takes it over with the first call
	nb     *nbio.Conn // raw as the client uses it; set by the first call
	opened time.Time
	// lastUsed is when the connection last carried an answer, or was opened.
	lastUsed time.Time
	closed   atomic.Bool
	watch    watch
}

// usable reports whether neither side has closed the connection.
func (c *conn) usable() bool { return !c.closed.Load() }

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// dial opens a connection. No byte is sent on it.
func dial(ctx context.Context, engine *nbhttp.Engine, address string) (*conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	now := time.Now()
	c := &conn{raw: raw, opened: now, lastUsed: now}
	c.client = &nbhttp.ClientConn{Engine: engine, Dial: func(_, _ string) (net.Conn, error) {
		nb, err := nbio.NBConn(raw)
		c.nb = nb
		return nb, err
	}}
	c.client.OnClose(func() { c.closed.Store(true) })
	return c, nil
}

// OverdueAfter is how long an answer may take before the other connections to
// the server are no longer trusted.
const OverdueAfter = 500 * time.Millisecond

// exchange sends a request and waits for the whole answer. From the call on,
// bytes of the request may have reached the server. Overdue is called once if
// the answer takes longer than OverdueAfter.
func (c *conn) exchange(ctx context.Context, req *http.Request, overdue func()) reply {
	done := make(chan reply, 1)
	c.watch.start()
	first := c.nb == nil
	c.client.Do(req, func(res *http.Response, _ net.Conn, err error) {
		done <- readReply(req.Method, res, err)
	})
	if first && c.nb != nil {
		c.watchAnswers()
	}
	timer := time.NewTimer(OverdueAfter)
	defer timer.Stop()
	for {
		select {
		case r := <-done:
			c.lastUsed = time.Now()
			if !c.watch.end() {
				c.close()
			}
			return r
		case <-timer.C:
			overdue()
		case <-ctx.Done():
			return reply{err: errors.WithStack(ctx.Err())}
		}
	}
}

// close closes the connection, also if it never carried a call.
func (c *conn) close() {
	c.client.Close()
	_ = c.raw.Close()
}

var errNoLength = errors.New("the answer has neither a length nor chunks, so its end is not known")

// readReply copies an answer; the library recycles it after the callback.
func readReply(method string, res *http.Response, err error) reply {
	if err != nil {
		return reply{err: errors.WithStack(err)}
	}
	if res.ContentLength < 0 && len(res.Header["Transfer-Encoding"]) == 0 && mayHaveBody(method, res.StatusCode) {
		return reply{err: errors.WithStack(errNoLength)}
	}
	var body bytes.Buffer
	if res.Body != nil {
		if _, err := io.Copy(&body, res.Body); err != nil {
			return reply{err: errors.WithStack(err)}
		}
	}
	return reply{status: res.StatusCode, header: res.Header.Clone(), body: body.Bytes()}
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
