package servers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
)

// closeLinger is how long a closed connection still counts as open, since the
// server may see the close later than the next connect.
const closeLinger = 50 * time.Millisecond

var errPoolClosed = errors.New("the server has left")

// pool holds the connections of this entry to one server. Calls that find all
// of them in use wait in the order in which they came.
type pool struct {
	answers *answerLimits
	address string

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*conn
	waiters []chan grant
	closed  bool
	// lastDial is when a connection was last opened.
	lastDial time.Time
	// dropBefore closes connections that were opened before, after their call.
	dropBefore time.Time
}

// grant gives a waiting call a connection, or the right to open one, or an
// error.
type grant struct {
	c   *conn
	err error
}

func newPool(answers *answerLimits, address string, limit int) *pool {
	return &pool{answers: answers, address: address, limit: limit}
}

// setLimit bounds the open connections from now on.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.admit()
}

// get returns an idle connection or opens one; it waits for its turn until the
// context ends. An idle connection must have carried an answer within fresh.
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

// returnGrant gives back what came after the call had stopped waiting.
func (p *pool) returnGrant(g grant) {
	switch {
	case g.err != nil:
	case g.c != nil:
		p.put(g.c)
	default:
		p.release()
	}
}

// reserve returns an idle connection, a turn to wait for, or neither after
// counting a connection to open.
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

// admit lets waiting calls open connections while there is room.
func (p *pool) admit() {
	for len(p.waiters) > 0 && p.open < p.limit {
		p.open++
		p.next(grant{})
	}
}

func (p *pool) next(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.admit()
}

// put returns a connection after a whole answer.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit && c.usable() && c.opened.After(p.dropBefore)
	if len(p.waiters) > 0 && time.Since(c.lastUsed) >= freshFor {
		keep = false
	}
	switch {
	case keep && len(p.waiters) > 0:
		p.next(grant{c: c})
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
	time.AfterFunc(closeLinger, p.release)
}

// suspect drops the idle connections that carried no answer since a request
// whose answer is overdue was sent: what lost track of its connection may have
// lost track of them too.
func (p *pool) suspect(since time.Time) {
	if defect.On("siblings-not-suspect") {
		return
	}
	p.drop(func(c *conn) bool { return c.lastUsed.Before(since) })
}

// dropIdle closes the idle connections, and those in use after their call.
func (p *pool) dropIdle() {
	p.mu.Lock()
	p.dropBefore = time.Now()
	p.mu.Unlock()
	p.drop(func(*conn) bool { return true })
}

// trim closes connections that were idle for too long.
func (p *pool) trim() {
	p.drop(func(c *conn) bool { return time.Since(c.lastUsed) >= idleTimeout || !c.usable() })
}

func (p *pool) drop(which func(*conn) bool) {
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
		p.next(grant{err: errPoolClosed})
	}
	p.mu.Unlock()
	p.closeAll(idle)
}

func (p *pool) closeAll(conns []*conn) {
	for _, c := range conns {
		p.discard(c)
	}
}
