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
	// lastDial is when a connection was last opened.
	lastDial time.Time
	// dropBefore is the time of the last dropIdle; connections opened before are
	// closed after their call.
	dropBefore time.Time
}

// grant gives a waiting call a connection, permission to open one, or an error.
type grant struct {
	c   *conn
	err error
}

func newPool(answers *responseLimits, address string, limit int) *pool {
	return &pool{limits: answers, address: address, limit: limit}
}

// setLimit changes the limit of open connections.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantFree()
}

// get returns an idle connection that carried an answer within fresh, or opens one.
// At the connection limit it waits until the context ends.
func (p *pool) get(ctx context.Context, fresh time.Duration) (*conn, error) {
	c, turn, err := p.reserve(fresh)
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

// wait waits for a grant.
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
// are nil, it has counted a connection that the caller must open.
func (p *pool) reserve(fresh time.Duration) (*conn, chan grant, error) {
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
		if time.Since(c.lastUsed) < min(fresh, idleTimeout) && c.usable() {
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

// grantFree lets waiting calls open connections up to the limit.
func (p *pool) grantFree() {
	for len(p.waiters) > 0 && p.open < p.limit {
		p.open++
		p.grantNext(grant{})
	}
}

func (p *pool) grantNext(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grantFree()
}

// put returns a connection to the pool once no answer is outstanding on it.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit && c.usable() && c.opened.After(p.dropBefore)
	if len(p.waiters) > 0 && time.Since(c.lastUsed) >= unsafeIdleLimit {
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

// dropUnansweredSince closes the idle connections that carried no answer since a
// request whose answer is overdue was sent: a fault that broke its connection, such
// as lost connection state in the network, may have broken them too.
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

// trim closes connections that are unusable or were idle for idleTimeout.
func (p *pool) trim() {
	p.dropWhere(func(c *conn) bool { return time.Since(c.lastUsed) >= idleTimeout || !c.usable() })
}

func (p *pool) dropWhere(which func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !which(c) {
			return false
		}
		dropped = append(dropped, c)
		return true
	})
	p.mu.Unlock()
	p.closeAll(dropped)
}

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
