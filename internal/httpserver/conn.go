package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"

	"github.com/baobabstack/baobabstack/internal/defect"
)

// conn is one connection: the net.Conn that the parser's processor sees, and
// the guard that gets the bytes read (see guard.go).
type conn struct {
	net.Conn // TLS or the wire itself

	server *Server
	wire   *wire
	nbc    *nbio.Conn
	tls    *tls.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	guard   guard
	pending []request       // parsed and not answered, oldest first
	arrived []time.Duration // how long each request took to arrive that has no turn yet
	timer   *time.Timer
	tail    <-chan struct{} // closed when the last answer so far is sent
	heardAt time.Time       // when the caller last sent something on a connection that takes no more requests
}

// request is what the guard knows of a request until it is answered.
type request struct {
	body  int
	close bool
}

func newConn(s *Server, nbc *nbio.Conn) *conn {
	c := &conn{server: s, nbc: nbc, wire: &wire{Conn: nbc, drained: make(chan struct{}, 1)}}
	c.Conn = c.wire
	if s.options.TLS != nil {
		c.tls = tls.NewConn(c.wire, s.options.TLS, false, true, s.engine.TLSAllocator)
		c.Conn = c.tls
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	c.tail = first
	c.guard.parser = nbhttp.NewParser(c, s.engine, nbhttp.NewServerProcessor(), false, nbc.Execute)
	return c
}

// UnderlayerConn returns the connection as the engine's TLS handler expects it.
func (c *conn) UnderlayerConn() net.Conn { return &nbhttp.Conn{Conn: c.Conn} }

// CloseAndClean frees what the connection holds.
func (c *conn) CloseAndClean(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.done = true
	c.stopTimer()
	c.guard.parser.CloseAndClean(err)
	c.server.budget.Release(c.guard.body)
	c.guard.body = 0
	for _, r := range c.pending {
		c.server.budget.Release(r.body)
		c.server.busy.Add(-1)
	}
	c.pending = nil
}

// endCalls ends the contexts of the connection's requests.
func (c *conn) endCalls() {
	if !defect.On("keep-abandoned-calls") {
		c.cancel()
	}
}

// next takes the oldest request that is not answered. It reports false once the
// connection is to take no more requests.
func (c *conn) next() (request, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.wire.last.Load() {
		return request{}, false
	}
	return c.pending[0], true
}

// answered notes that the oldest request is answered in full.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return
	}
	c.server.budget.Release(c.pending[0].body)
	c.server.busy.Add(-1)
	c.pending = c.pending[1:]
	if len(c.pending) == 0 && !c.guard.started() && !c.guard.done {
		_ = c.nbc.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
	}
}

// lingers reports whether the connection takes no more requests and is still open.
func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.done
}

// closeIdle closes the connection unless a request has begun on it, an answer is on its way,
// or its last answer is sent: the caller closes it then, or linger does.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.guard.started() || c.guard.done || c.wire.unsent() > 0 || c.wire.unacknowledged() > 0 {
		return
	}
	c.guard.done = true
	_ = c.nbc.Close()
}

// endsWith reports whether the connection ends with the answer to its oldest request. If
// so, no further request is read: one that was passed on would run without an answer.
func (c *conn) endsWith(r request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.close {
		return true
	}
	if !c.server.draining.Load() || len(c.pending) > 1 || c.guard.started() {
		return false
	}
	c.guard.done = true
	return true
}

// send sends an answer and waits until the caller has taken it. It writes the answer in
// pieces, each when the one before is sent, so that the engine queues one piece at most. The
// last answer ends the connection, once it is sent. An answer that can't be sent in full
// closes it.
func (c *conn) send(a *answer, method string, last bool) {
	collected := a.body.Len()
	c.server.budget.Add(collected)
	defer c.server.budget.Release(collected)
	timer := time.NewTimer(c.server.options.WriteTimeout)
	defer timer.Stop()
	p := a.first(method, last)
	for {
		end := a.left() == 0
		if !c.sendPiece(&p, last && end, timer.C) {
			_ = c.nbc.Close()
			return
		}
		if end {
			break
		}
		p = a.next()
	}
	if last {
		c.linger(time.Now())
	}
}

// sendPiece writes a piece of an answer and waits until it is sent; last says that nothing
// follows on the connection. It reports false if the timeout or the connection ends first.
func (c *conn) sendPiece(p *piece, last bool, timeout <-chan time.Time) bool {
	defer p.chunk.Release()
	if last && c.tls == nil {
		c.wire.last.Store(true)
	}
	if _, err := c.Write(p.data); err != nil {
		return false
	}
	p.chunk.Recycle() // the engine has a copy of what the socket didn't take
	if last && c.tls != nil {
		c.wire.last.Store(true)
		_ = c.tls.CloseWrite()
	}
	if last && defect.On("close-unsent") {
		return false
	}
	return c.waitSent(timeout)
}

// linger closes a connection after its last answer, if the caller doesn't. A caller that goes
// on sending has not seen the answer yet, and closing with unread bytes would reset the
// connection and could take the answer away. So linger waits until the caller has neither
// acknowledged nor sent anything for lingerTimeout, but no longer than the caller has to
// read an answer. All calls for a connection have the same begin.
func (c *conn) linger(begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if begin.After(c.heardAt) || c.wire.unacknowledged() > 0 {
		c.heardAt = now
	}
	if now.Sub(c.heardAt) >= lingerTimeout || now.Sub(begin) >= c.server.options.WriteTimeout {
		_ = c.nbc.Close()
		return
	}
	time.AfterFunc(lingerInterval, func() {
		if c.ctx.Err() == nil {
			c.linger(begin)
		}
	})
}

// waitSent waits until no byte is unsent. It reports false if the timeout or the
// connection ends first.
func (c *conn) waitSent(timeout <-chan time.Time) bool {
	for c.wire.unsent() > 0 {
		select {
		case <-c.wire.drained:
		case <-timeout:
			return false
		case <-c.ctx.Done():
			return false
		}
	}
	return true
}

// wire is the TCP connection. It counts what is written, because the engine
// queues what the socket doesn't take and tells no one when that is sent.
type wire struct {
	*nbio.Conn
	queued  atomic.Int64
	written atomic.Int64
	last    atomic.Bool
	drained chan struct{}
}

// Write queues bytes for the socket.
func (w *wire) Write(b []byte) (int, error) {
	w.queued.Add(int64(len(b)))
	return w.Conn.Write(b)
}

// SetWriteDeadline does nothing: conn.send has a timeout of its own, and the
// engine would close the connection at the deadline even if all is sent.
func (w *wire) SetWriteDeadline(time.Time) error { return nil }

func (w *wire) unsent() int64 { return w.queued.Load() - w.written.Load() }

// unacknowledged returns the number of bytes that the kernel has taken and the peer has not
// acknowledged. It is 0 if the kernel doesn't tell.
func (w *wire) unacknowledged() int {
	n, err := unix.IoctlGetInt(w.Hash(), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// onWritten counts the bytes that a socket took. The engine holds the
// connection's lock meanwhile, so its file descriptor is still open.
func onWritten(nbc *nbio.Conn, _ []byte, n int) {
	c, ok := nbc.Session().(*conn)
	if !ok {
		return
	}
	w := c.wire
	if w.written.Add(int64(n)) < w.queued.Load() {
		return
	}
	if w.last.Load() {
		_ = unix.Shutdown(nbc.Hash(), unix.SHUT_WR)
	}
	select {
	case w.drained <- struct{}{}:
	default:
	}
}
