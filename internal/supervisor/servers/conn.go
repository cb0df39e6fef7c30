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
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/memory"
)

// conn is a connection to a server that carries one call at a time. It parses
// responses with net/http, which leaves bytes after a response in a buffer where
// they are detected; nbhttp's client would give them to the next call.
type conn struct {
	tcp     *net.TCPConn
	checked *httpwire.Reader
	limited *io.LimitedReader // reads from checked, limits the bytes read for one call
	reader  *bufio.Reader     // reads from limited
	limits  *responseLimits
	opened  time.Time
	// lastUsed is when the connection last carried an answer, or was opened.
	lastUsed time.Time
	// unusable is true if the connection must not carry another call.
	unusable bool
}

type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

const (
	// maxHeadBytes is the maximum size of the heads of a response and of its
	// interim responses together.
	maxHeadBytes = 64 << 10
	// maxInterimResponses is the maximum number of interim responses (status 1xx)
	// before a final one.
	maxInterimResponses = 8
)

var (
	errNoLength = errors.New("the answer has neither a length nor chunks, so its end is not known")
	errTooLarge = errors.New("the answer is larger than callers.max_body_bytes allows")
	errInterim  = errors.New("the server sent only interim answers")
	errNotTCP   = errors.New("the connection is not TCP")
	errUpgrade  = errors.New("the server changed the protocol")
)

// responseLimits limits the size of responses and the memory that they use.
type responseLimits struct {
	maxBodyBytes int
	memory       *memory.Budget // counts bodies while they are read
}

// newResponseLimits returns limits whose memory budget is not shared.
func newResponseLimits(maxBodyBytes int) *responseLimits {
	return &responseLimits{maxBodyBytes: maxBodyBytes, memory: memory.NewBudget(0)}
}

// dial opens a connection and sends nothing on it.
func dial(ctx context.Context, limits *responseLimits, address string) (*conn, error) {
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
	checked := httpwire.NewReader(raw)
	limited := &io.LimitedReader{R: checked}
	now := time.Now()
	return &conn{tcp: raw, checked: checked, limited: limited, reader: bufio.NewReader(limited), limits: limits, opened: now, lastUsed: now}, nil
}

// usable reports whether the connection may carry a call: the server has neither
// sent bytes nor closed the connection since the last answer.
func (c *conn) usable() bool {
	if c.unusable {
		return false
	}
	if defect.On("unsolicited-bytes") {
		return true
	}
	raw, err := c.tcp.SyscallConn()
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

// pastDeadline is a deadline that makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// OverdueAfter is the time after which the answer to a request is overdue. The server's
// idle connections that carried no answer since the request was sent are then closed,
// since they may be broken.
const OverdueAfter = 500 * time.Millisecond

// exchange sends a request and reads the whole response. It fails if the context ends
// first. Even if it fails, bytes of the request may have reached the server. It calls
// overdue once if the response takes longer than OverdueAfter.
func (c *conn) exchange(ctx context.Context, req *http.Request, overdue func()) response {
	timer := time.AfterFunc(OverdueAfter, overdue)
	defer timer.Stop()
	c.unusable = !defect.On("connection-reuse")
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.SetDeadline(pastDeadline) })
	defer stop()
	c.limited.N = int64(maxHeadBytes + c.limits.maxBodyBytes)
	if err := req.Write(c.tcp); err != nil {
		return response{err: errors.WithStack(err)}
	}
	r, keep := c.read(req)
	// If stop returns false, the context has ended and its callback has set
	// pastDeadline or is about to, so the connection can't be reused.
	if r.err == nil && stop() {
		c.lastUsed = time.Now()
		c.unusable = !keep || (c.reader.Buffered() > 0 && !defect.On("unsolicited-bytes"))
	}
	return r
}

// read returns the response and whether the server keeps the connection open.
func (c *conn) read(req *http.Request) (response, bool) {
	for range maxInterimResponses {
		res, err := c.checked.ReadResponse(c.reader, req)
		if err != nil {
			return response{err: errors.Wrap(err, "read the answer")}, false
		}
		r := c.readBody(req.Method, res)
		_ = res.Body.Close()
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return response{err: errors.WithStack(errUpgrade)}, false
		case res.StatusCode >= http.StatusOK:
			return r, !res.Close
		}
	}
	return response{err: errors.WithStack(errInterim)}, false
}

func (c *conn) readBody(method string, res *http.Response) response {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && mayHaveBody(method, res.StatusCode) && !defect.On("answer-without-length") {
		return response{err: errors.WithStack(errNoLength)}
	}
	limit := c.limits.maxBodyBytes
	if res.ContentLength > int64(limit) {
		return response{err: errors.WithStack(errTooLarge)}
	}
	counted := &budgetReader{r: io.LimitReader(res.Body, int64(limit)+1), budget: c.limits.memory}
	defer counted.releaseBudget()
	body, err := io.ReadAll(counted)
	switch {
	case err != nil:
		return response{err: errors.WithStack(err)}
	case len(body) > limit:
		return response{err: errors.WithStack(errTooLarge)}
	}
	return response{status: res.StatusCode, header: res.Header, body: body}
}

// budgetReader charges the bytes it reads to a memory budget until releaseBudget.
type budgetReader struct {
	r      io.Reader
	budget *memory.Budget
	bytes  int
}

// Read implements io.Reader.
func (c *budgetReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.bytes += n
	c.budget.Add(n)
	return n, err
}

func (c *budgetReader) releaseBudget() { c.budget.Release(c.bytes) }

func (c *conn) close() { _ = c.tcp.Close() }

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
