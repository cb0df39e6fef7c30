package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultIdle is how long an idle connection is kept if the server states no
	// timeout. It is below the shortest timeout in common use, 5 s.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the timeout that a server states, so that a request
	// arrives before the server closes the connection.
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

	mu          sync.Mutex
	limit       int     // 0 means unlimited
	open        int     // connections that are open or being opened
	idle        []*conn // the most recently used last
	closed      bool
	openedTotal int // all connections counted in open so far, failed dials included
}

// get returns an idle connection or opens one. With fresh set, it always opens one.
func (p *pool) get(ctx context.Context, timeout time.Duration, fresh bool) (*conn, error) {
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

// reserve returns an idle connection. If it returns nil without an error, it has counted
// a new connection, which the caller must open.
func (p *pool) reserve(fresh bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.WithStack(errClosed)
	}
	p.closeStale(time.Now())
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.limit > 0 && p.open >= p.limit {
		return nil, errors.WithStack(ErrConnectionLimit)
	}
	p.open++
	p.openedTotal++
	return nil, nil
}

// closeStale closes idle connections that the server may close at any moment.
func (p *pool) closeStale(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		limit := defaultIdle
		if c.keepAliveTimeout > 0 {
			limit = max(c.keepAliveTimeout-idleMargin, c.keepAliveTimeout/2)
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

func (p *pool) hasIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeStale(now)
	return len(p.idle) > 0
}

// put returns a connection to the pool, or closes it if it can't be reused.
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

// discard closes a connection that must not carry another request.
func (p *pool) discard(c *conn) {
	c.close()
	p.release()
}

// release reduces the count of open connections after one was closed or failed to open.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdleBefore closes the idle connections last used before the given time.
func (p *pool) closeIdleBefore(before time.Time) {
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
	p.closeIdleBefore(time.Now().Add(time.Hour))
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

func (p *pool) getLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// counts returns how many connections are open now, and how many were opened in
// total, failed attempts included.
func (p *pool) counts() (open, opened int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.openedTotal
}
