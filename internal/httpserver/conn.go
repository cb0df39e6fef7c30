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
	"github.com/baobabstack/baobabstack/internal/memory"
)

// conn is one connection: the net.Conn that the parser's processor sees, and
// the guard that gets the bytes read (see guard.go).
type conn struct {
	net.Conn // TLS or the wire itself

	server    *Server
	wire      *wire
	nbc       *nbio.Conn
	tls       *tls.Conn
	ctx       context.Context // ends with the connection
	cancel    context.CancelFunc
	calls     context.Context // of the requests; ends with ctx or by Server.Interrupt
	interrupt context.CancelCauseFunc

	mu      sync.Mutex
	guard   guard
	pending []request // parsed and not answered, oldest first
	arrived []arrival // of requests that have no turn yet
	timer   *time.Timer
	idle    *time.Timer     // runs while no request has begun and none is unanswered
	tail    <-chan struct{} // closed when the last answer so far is sent
	heardAt time.Time       // when the connection was opened, or the caller last sent something
	served  bool            // a request was answered on the connection
	begun   bool            // a request has arrived on the connection
}

// request is what the guard knows of a request until it is answered.
type request struct {
	receipt *memory.Receipt // nil for a refusal
	close   bool
}

// arrival is a request that has arrived.
type arrival struct {
	took  time.Duration // from its first byte to its last
	first bool          // on its connection
	body  memory.RequestBody
	// receipt counts what the request holds.
	receipt *memory.Receipt
}

func newConn(s *Server, nbc *nbio.Conn) *conn {
	c := &conn{server: s, nbc: nbc, heardAt: time.Now(), wire: &wire{Conn: nbc, drained: make(chan struct{}, 1)}}
	c.Conn = c.wire
	if s.options.TLS != nil {
		c.tls = tls.NewConn(c.wire, s.options.TLS, false, true, s.engine.TLSAllocator)
		c.Conn = c.tls
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.calls, c.interrupt = context.WithCancelCause(c.ctx)
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
	if c.idle != nil {
		c.idle.Stop()
	}
	c.guard.parser.CloseAndClean(err)
	c.guard.release()
	for _, r := range c.pending {
		r.receipt.Release()
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
	c.pending[0].receipt.Release()
	c.server.busy.Add(-1)
	c.pending = c.pending[1:]
	c.served = true
	c.watchIdle()
}

// isIdle reports whether no request has begun and none is unanswered, on a connection that
// takes requests.
func (c *conn) isIdle() bool {
	return len(c.pending) == 0 && !c.guard.started() && !c.guard.done
}

// watchIdle bounds the time until the next request on an idle connection. The connection's
// lock must be held.
func (c *conn) watchIdle() {
	if !c.isIdle() {
		return
	}
	if c.idle == nil {
		c.idle = time.AfterFunc(c.server.limits().IdleTimeout, c.endIdle)
		return
	}
	c.idle.Reset(c.server.limits().IdleTimeout)
}

// endIdle closes the connection at the end of its idle time, unless a request or an answer
// is on its way.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isIdle() || c.ctx.Err() != nil:
	case c.wire.inTransit():
		c.idle.Reset(lingerInterval)
	default:
		c.guard.done = true
		_ = c.nbc.Close()
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
	if !c.isIdle() || c.wire.inTransit() {
		return
	}
	c.guard.done = true
	_ = c.nbc.Close()
}

// refuseIncomplete answers a request that has begun and is not whole.
func (c *conn) refuseIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.guard.started() || c.guard.done {
		return
	}
	c.guard.ticket = c.guard.ticket || c.guard.part == inHead
	c.refuse(refuseStopping)
}

// lessUseful orders connections by how little is lost if they are closed: those that have had
// no answer come first, then those whose callers have sent nothing for longest.
type lessUseful struct {
	served  bool
	heardAt time.Time
}

func (a lessUseful) before(b lessUseful) bool {
	if a.served != b.served {
		return !a.served
	}
	return a.heardAt.Before(b.heardAt)
}

// minSilence is how long a caller must have sent nothing before its connection is closed for
// another one. A caller sends its first request within that time.
const minSilence = time.Second

// canMakeRoom reports whether the connection may be closed for another one: no request on it
// has been passed on, and its caller has been silent.
func (c *conn) canMakeRoom(now time.Time) (lessUseful, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lessUseful{c.served, c.heardAt}, len(c.pending) == 0 && !c.guard.done && now.Sub(c.heardAt) >= minSilence
}

// makeRoom closes the connection for another one, if that loses no request and no answer.
func (c *conn) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.pending) > 0 || c.guard.done:
	case c.guard.started():
		c.guard.ticket = c.guard.ticket || c.guard.part == inHead
		c.refuse(refuseCrowded)
	case !c.wire.inTransit():
		c.guard.done = true
		c.server.counters.refused(refuseCrowded.reason)
		_ = c.nbc.Close()
	}
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
	defer c.server.budget.Add(-collected)
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

// inTransit reports whether bytes are on their way: those of an answer that the peer has not
// acknowledged, or those of a request that has arrived and is not read.
func (w *wire) inTransit() bool {
	return w.unsent() > 0 || w.unacknowledged() > 0 || w.queuedBytes(unix.TIOCINQ) > 0
}

// unacknowledged returns the number of bytes that the kernel has taken and the peer has not
// acknowledged.
func (w *wire) unacknowledged() int { return w.queuedBytes(unix.TIOCOUTQ) }

// queuedBytes returns the number of bytes in one of the socket's queues, 0 if the kernel
// doesn't tell.
func (w *wire) queuedBytes(queue uint) int {
	n, err := unix.IoctlGetInt(w.Hash(), queue)
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
