package servers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
)

// closeGrace is how long a closed connection still counts as open, since the
// server may process the close after the next connect.
const closeGrace = 50 * time.Millisecond

var errPoolClosed = errors.New("the server's connection pool is closed")

// pool holds this entry's connections to one server. Calls that need a connection
// at the limit wait in first-come, first-served order.
type pool struct {
	limits  *responseLimits
	address string

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*conn
	waiters []chan grant
	closed  bool
	// lastDial is when the last attempt to open a connection began.
	lastDial time.Time
	// dropBefore is the time of the last dropIdle. Connections opened before that
	// time are closed after their call.
	dropBefore time.Time
}

// grant gives a waiting call a connection or an error. An empty grant permits the call
// to open a connection, which is already counted in pool.open.
type grant struct {
	c   *conn
	err error
}

func newPool(limits *responseLimits, address string, limit int) *pool {
	return &pool{limits: limits, address: address, limit: limit}
}

// setLimit changes the limit of open connections. Connections beyond a lower limit
// are closed after their call.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantFree()
}

// get returns a connection that has been idle for less than maxIdle, or opens one. At
// the connection limit it waits for one until the context ends.
func (p *pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	c, turn, err := p.reserve(maxIdle)
	if err != nil {
		return nil, err
	}
	if turn != nil {
		if c, err = p.wait(ctx, turn); err != nil {
			return nil, err
		}
	}
	if c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// wait waits for a grant until the context ends.
func (p *pool) wait(ctx context.Context, turn chan grant) (*conn, error) {
	select {
	case g := <-turn:
		return g.c, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, turn)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.returnGrant(<-turn)
	}
	return nil, errors.WithStack(ctx.Err())
}

// returnGrant returns a grant that arrived after the call stopped waiting.
func (p *pool) returnGrant(g grant) {
	switch {
	case g.err != nil:
	case g.c != nil:
		p.put(g.c)
	default:
		p.release()
	}
}

// reserve returns an idle connection, or a channel that delivers a grant. If both
// are nil, the caller must open a connection, which is already counted in p.open.
func (p *pool) reserve(maxIdle time.Duration) (*conn, chan grant, error) {
	var stale []*conn
	defer func() { p.closeAll(stale) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errors.WithStack(errPoolClosed)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.lastUsed) < min(maxIdle, idleTimeout) && c.usable() {
			return c, nil, nil
		}
		stale = append(stale, c)
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	turn := make(chan grant, 1)
	p.waiters = append(p.waiters, turn)
	return nil, turn, nil
}

// grantFree lets waiting calls open connections up to the limit. The caller holds
// p.mu.
func (p *pool) grantFree() {
	for len(p.waiters) > 0 && p.open < p.limit {
		p.open++
		p.grantNext(grant{})
	}
}

// grantNext gives a grant to the call that has waited longest. The caller holds p.mu.
func (p *pool) grantNext(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

// release subtracts a connection from p.open.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grantFree()
}

// put takes back a connection on which no answer is outstanding. It gives it to a
// waiting call or keeps it idle, or closes it if it must not be used again.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit && c.usable() && c.opened.After(p.dropBefore)
	// The waiting call may not be idempotent.
	if len(p.waiters) > 0 && time.Since(c.lastUsed) >= maxIdleNonIdempotent {
		keep = false
	}
	switch {
	case keep && len(p.waiters) > 0:
		p.grantNext(grant{c: c})
	case keep:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) {
	c.close()
	time.AfterFunc(closeGrace, p.release)
}

// dropUnansweredSince closes the idle connections that carried no answer since the
// given time, at which a request was sent whose answer is now overdue. A fault that
// broke the connection of that request, such as lost connection state in the network,
// may have broken them too.
func (p *pool) dropUnansweredSince(since time.Time) {
	if defect.On("siblings-not-suspect") {
		return
	}
	p.dropWhere(func(c *conn) bool { return c.lastUsed.Before(since) })
}

// dropIdle closes idle connections now, and those in use after their call.
func (p *pool) dropIdle() {
	p.mu.Lock()
	p.dropBefore = time.Now()
	p.mu.Unlock()
	p.dropWhere(func(*conn) bool { return true })
}

// trim closes idle connections that are unusable or have been idle for idleTimeout.
func (p *pool) trim() {
	p.dropWhere(func(c *conn) bool { return time.Since(c.lastUsed) >= idleTimeout || !c.usable() })
}

// dropWhere closes the idle connections that match. It visits them from the least to
// the most recently returned.
func (p *pool) dropWhere(match func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !match(c) {
			return false
		}
		dropped = append(dropped, c)
		return true
	})
	p.mu.Unlock()
	p.closeAll(dropped)
}

// close closes idle connections now, and those in use after their call. Waiting calls
// get errPoolClosed.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	for len(p.waiters) > 0 {
		p.grantNext(grant{err: errPoolClosed})
	}
	p.mu.Unlock()
	p.closeAll(idle)
}

func (p *pool) closeAll(conns []*conn) {
	for _, c := range conns {
		p.discard(c)
	}
}
