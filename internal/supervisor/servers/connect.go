package servers

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
)

const (
	// connectEvery is how often a server in use is connected to, so that one that
	// stopped listening is seen while its open connections still work.
	connectEvery   = 1500 * time.Millisecond
	connectTimeout = time.Second
)

// ConnectCheckDue reports whether a connect would show something new: the server is
// in use and was not connected to for a while.
func (s *Server) ConnectCheckDue() bool {
	return s.Info.State == lists.Live && s.pool.connectDue()
}

// CheckConnect opens a connection in place of an idle one, away from the path of any
// call, and takes the server out if it refuses. It sends no byte.
func (s *Server) CheckConnect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err := s.pool.refresh(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.refused()
	}
}

func (p *pool) connectDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && time.Since(p.lastDial) >= connectEvery
}

// refresh opens a connection and then closes the idle one that was used least
// recently. Without room for one more it only makes room.
func (p *pool) refresh(ctx context.Context) error {
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
	p.drop(func(*conn) bool {
		first := oldest
		oldest = false
		return first
	})
	return nil
}

// dial opens a connection that is counted already, or takes it off the count.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	p.lastDial = time.Now()
	p.mu.Unlock()
	c, err := dial(ctx, p.answers, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}
