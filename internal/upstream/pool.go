package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultIdle is how long an unused connection is kept if the server does not
	// say: below the shortest timeout in common use, 5 s.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the timeout that a server tells, for the way there.
	idleMargin = 500 * time.Millisecond
)

var (
	errClosed = errors.New("the server is no longer listed")
	// ErrConnectionLimit says that all connections allowed to a server are in use.
	ErrConnectionLimit = errors.New("all connections allowed to the server are in use")
)

// pool holds the connections to one server.
type pool struct {
	address string

	mu     sync.Mutex
	limit  int // 0 sets no bound
	open   int
	idle   []*conn // the last used is last
	closed bool
	opened int
}

// take returns an idle connection, or opens one. Fresh asks for a new one.
func (p *pool) take(ctx context.Context, timeout time.Duration, fresh bool) (*conn, error) {
	c, err := p.reserve(fresh)
	if c != nil || err != nil {
		return c, err
	}
	c, err = dial(ctx, p.address, timeout)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

func (p *pool) reserve(fresh bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.WithStack(errClosed)
	}
	p.dropStale(time.Now())
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.limit > 0 && p.open >= p.limit {
		return nil, errors.WithStack(ErrConnectionLimit)
	}
	p.open++
	p.opened++
	return nil, nil
}

// dropStale closes connections that the server may close at any moment.
func (p *pool) dropStale(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		limit := defaultIdle
		if c.idleFor > 0 {
			limit = max(c.idleFor-idleMargin, c.idleFor/2)
		}
		if now.Sub(c.usedAt) < limit {
			kept = append(kept, c)
			continue
		}
		c.close()
		p.open--
	}
	p.idle = kept
}

// put takes a connection back after a whole answer.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || (!c.keep && !c.fresh) || (p.limit > 0 && p.open > p.limit) {
		p.open--
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that must not carry another call.
func (p *pool) discard(c *conn) {
	c.close()
	p.release()
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// drop closes the idle connections last used before a time.
func (p *pool) drop(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usedAt.Before(before) {
			c.close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop(time.Now().Add(time.Hour))
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// counts returns the open connections and those opened so far.
func (p *pool) counts() (open, opened int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}
