package servers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/memory"
)

// conn is one connection to a server; it carries one call at a time. It reads
// answers with net/http, whose reader leaves what follows an answer in a buffer
// where it can be seen: nbhttp's client gives it to the next call.
type conn struct {
	raw     *net.TCPConn
	limited *io.LimitedReader // bounds the bytes of one answer
	reader  *bufio.Reader
	answers *answerLimits
	opened  time.Time
	// lastUsed is when the connection last carried an answer, or was opened.
	lastUsed time.Time
	// spoilt is true once the connection must not carry another call.
	spoilt bool
}

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

const (
	// maxHeadBytes bounds the heads of an answer and its interim answers.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim answers (status 1xx) before an answer.
	maxInterim = 8
)

var (
	errNoLength = errors.New("the answer has neither a length nor chunks, so its end is not known")
	errTooLarge = errors.New("the answer is larger than callers.max_body_bytes allows")
	errInterim  = errors.New("the server sent only interim answers")
	errNotTCP   = errors.New("the connection is not TCP")
	errUpgrade  = errors.New("the server changed the protocol")
)

// answerLimits bounds what answers may take.
type answerLimits struct {
	maxBodyBytes int
	memory       *memory.Budget // counts bodies while they are read
}

// newAnswerLimits returns limits that count bodies against no one's budget.
func newAnswerLimits(maxBodyBytes int) *answerLimits {
	return &answerLimits{maxBodyBytes: maxBodyBytes, memory: memory.NewBudget(0)}
}

// dial opens a connection. No byte is sent on it.
func dial(ctx context.Context, answers *answerLimits, address string) (*conn, error) {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	raw, ok := opened.(*net.TCPConn)
	if !ok {
		_ = opened.Close()
		return nil, errors.WithStack(errNotTCP)
	}
	limited := &io.LimitedReader{R: raw}
	now := time.Now()
	return &conn{raw: raw, limited: limited, reader: bufio.NewReader(limited), answers: answers, opened: now, lastUsed: now}, nil
}

// usable reports whether the connection may carry a call: nothing has come on it
// since the last answer, not even its end.
func (c *conn) usable() bool {
	if c.spoilt {
		return false
	}
	if defect.On("unsolicited-bytes") {
		return true
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a file descriptor
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// past is a time in the past: as a deadline it ends reads and writes at once.
var past = time.Unix(1, 0)

// OverdueAfter is how long an answer may take before the other connections to
// the server are no longer trusted.
const OverdueAfter = 500 * time.Millisecond

// exchange sends a request and waits for the whole answer, until the context
// ends. From the call on, bytes of the request may have reached the server.
// Overdue is called once if the answer takes longer than OverdueAfter.
func (c *conn) exchange(ctx context.Context, req *http.Request, overdue func()) reply {
	timer := time.AfterFunc(OverdueAfter, overdue)
	defer timer.Stop()
	c.spoilt = !defect.On("connection-reuse")
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(past) })
	defer stop()
	c.limited.N = int64(maxHeadBytes + c.answers.maxBodyBytes)
	if err := req.Write(c.raw); err != nil {
		return reply{err: errors.WithStack(err)}
	}
	r, keep := c.read(req)
	if r.err == nil && stop() {
		c.lastUsed = time.Now()
		c.spoilt = !keep || (c.reader.Buffered() > 0 && !defect.On("unsolicited-bytes"))
	}
	return r
}

// read returns the answer and whether the server keeps the connection.
func (c *conn) read(req *http.Request) (reply, bool) {
	for range maxInterim {
		res, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return reply{err: errors.Wrap(err, "read the answer")}, false
		}
		r := c.readBody(req.Method, res)
		_ = res.Body.Close()
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return reply{err: errors.WithStack(errUpgrade)}, false
		case res.StatusCode >= http.StatusOK:
			return r, !res.Close
		}
	}
	return reply{err: errors.WithStack(errInterim)}, false
}

func (c *conn) readBody(method string, res *http.Response) reply {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && mayHaveBody(method, res.StatusCode) && !defect.On("answer-without-length") {
		return reply{err: errors.WithStack(errNoLength)}
	}
	limit := c.answers.maxBodyBytes
	if res.ContentLength > int64(limit) {
		return reply{err: errors.WithStack(errTooLarge)}
	}
	counted := &countedReader{r: io.LimitReader(res.Body, int64(limit)+1), budget: c.answers.memory}
	defer counted.release()
	body, err := io.ReadAll(counted)
	switch {
	case err != nil:
		return reply{err: errors.WithStack(err)}
	case len(body) > limit:
		return reply{err: errors.WithStack(errTooLarge)}
	}
	return reply{status: res.StatusCode, header: res.Header, body: body}
}

// countedReader counts the bytes read against a budget until they are released.
type countedReader struct {
	r      io.Reader
	budget *memory.Budget
	bytes  int
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.bytes += n
	c.budget.Add(n)
	return n, err
}

func (c *countedReader) release() { c.budget.Release(c.bytes) }

func (c *conn) close() { _ = c.raw.Close() }

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
