package servers

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

const (
	// connectCheckInterval is the minimum time between connects to a server in use.
	// They detect a server that stopped listening while its open connections still
	// work.
	connectCheckInterval = 1500 * time.Millisecond
	connectCheckTimeout  = time.Second
)

// ConnectCheckDue reports whether the server is in use and no connection was opened
// for connectCheckInterval.
func (s *Server) ConnectCheckDue() bool {
	return s.Info.State == lists.Live && s.pool.connectCheckDue()
}

// CheckConnect opens a connection in place of an idle one, in the background of
// calls, and ejects the server if it refuses the connection. It sends no bytes.
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
// one. At the connection limit it only closes.
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
	oldest := true
	p.dropWhere(func(*conn) bool {
		first := oldest
		oldest = false
		return first
	})
	return nil
}

// dial opens a connection that is already counted as open, and uncounts it on error.
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
