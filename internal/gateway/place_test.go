package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// openServer returns a server that allows one connection, and a lease of that connection.
func openServer(t *testing.T) *leasedServer {
	t.Helper()
	backend := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(backend.Close)
	server := upstream.NewServer(upstream.Options{Address: strings.TrimPrefix(backend.URL, "http://"), Dialect: &upstream.Dialect{}})
	t.Cleanup(server.Close)
	server.SetConnectionLimit(1)
	lease, err := server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err)
	return &leasedServer{target: &target{server: server}, lease: lease}
}

// assertReleased checks that the server's only connection can be used again.
func assertReleased(t *testing.T, ls *leasedServer) {
	t.Helper()
	_, err := ls.target.server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err, "the connection is lost")
}

// Guards against connections that are lost under overload until the process ends: a server was
// handed to a queued request that was checking servers itself at that moment.
func TestServerHandedToABusyRequestIsNotLost(t *testing.T) {
	route := &routing.Route{}
	t.Run("which finds another server", func(t *testing.T) {
		state, ls := &serviceState{}, openServer(t)
		w := state.enqueue(route, time.Now())
		state.mu.Lock()
		assert.Assert(t, state.queue.Pop() == &w.Waiter) // as handToFirst does, which then sends
		state.mu.Unlock()
		time.AfterFunc(20*time.Millisecond, func() { w.handoff <- ls })
		state.dequeue(w)
		assertReleased(t, ls)
	})
	t.Run("which finds none", func(t *testing.T) {
		state, ls := &serviceState{}, openServer(t)
		w := state.enqueue(route, time.Now())
		state.handToFirst(ls)
		assert.Assert(t, state.takeHandoff(w) == ls)
		assert.Assert(t, state.takeHandoff(w) == nil, "once")
		state.dequeue(w)
	})
}
