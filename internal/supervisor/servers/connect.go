package servers

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

const (
	// connectCheckInterval is the minimum time between a connect check and the
	// previous connect to the server. The checks detect a server that stopped
	// listening while its open connections still work.
	connectCheckInterval = 1500 * time.Millisecond
	// connectCheckTimeout is the maximum duration of a connect check.
	connectCheckTimeout = time.Second
)

// ConnectCheckDue reports whether the server is live, has an idle connection, and the
// last attempt to connect began at least connectCheckInterval ago.
func (s *Server) ConnectCheckDue() bool {
	return s.Info.State == lists.Live && s.pool.connectCheckDue()
}

// CheckConnect replaces an idle connection by a new one, on which it sends no bytes,
// and ejects the server if it refuses the connection.
func (s *Server) CheckConnect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectCheckTimeout)
	defer cancel()
	err := s.pool.replaceOldestIdle(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.noteRefusedConnect()
	}
}

func (p *pool) connectCheckDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && time.Since(p.lastDial) >= connectCheckInterval
}

// replaceOldestIdle opens a connection and then closes the least recently used idle
// one. At the connection limit it only closes that one.
func (p *pool) replaceOldestIdle(ctx context.Context) error {
	p.mu.Lock()
	room := p.open < p.limit
	if room {
		p.open++
	}
	p.mu.Unlock()
	if room {
		c, err := p.dial(ctx)
		if err != nil {
			return err
		}
		p.put(c)
	}
	isFirst := true
	p.dropWhere(func(*conn) bool {
		drop := isFirst
		isFirst = false
		return drop
	})
	return nil
}

// dial opens a connection that the caller has already added to p.open. On error it
// subtracts it again.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	p.lastDial = time.Now()
	p.mu.Unlock()
	c, err := dial(ctx, p.limits, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}
