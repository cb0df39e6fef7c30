package standin

import (
	"net"
	"net/http"
	"sync"
)

// connCounter is a listener that counts the connections of its HTTP server.
type connCounter struct {
	net.Listener

	mu         sync.Mutex
	open, most int
}

// change is the server's ConnState hook.
func (c *connCounter) change(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.most = max(c.most, c.open)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

func (c *connCounter) count(most bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if most {
		return c.most
	}
	return c.open
}
