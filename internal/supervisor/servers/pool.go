package servers

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	errPoolFull   = errors.New("all connections to the server are in use")
	errPoolClosed = errors.New("the server has left")
)

// pool holds the connections of this entry to one server.
type pool struct {
	maxBody int
	address string

	mu     sync.Mutex
	limit  int
	open   int
	idle   []*conn
	closed bool
}

func newPool(maxBody int, address string, limit int) *pool {
	return &pool{maxBody: maxBody, address: address, limit: limit}
}

// setLimit bounds the open connections from now on.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// get returns an idle connection or opens one. With fresh set, an idle
// connection must have carried an answer within that time.
func (p *pool) get(ctx context.Context, fresh time.Duration) (*conn, error) {
	c, err := p.reserve(fresh)
	if c != nil || err != nil {
		return c, err
	}
	c, err = dial(ctx, p.maxBody, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

// reserve returns an idle connection, or nil after counting a new one as open.
func (p *pool) reserve(fresh time.Duration) (*conn, error) {
	var stale []*conn
	defer func() { closeAll(stale) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.lastUsed) < min(fresh, idleTimeout) && c.usable() {
			return c, nil
		}
		p.open--
		stale = append(stale, c)
	}
	if p.open >= p.limit {
		return nil, errPoolFull
	}
	p.open++
	return nil, nil
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put returns a connection after a whole answer.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if !p.closed && p.open <= p.limit && c.usable() {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	c.close()
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) {
	p.release()
	c.close()
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}
