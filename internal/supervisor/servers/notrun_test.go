package servers

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// lateClock simulates a process that is suspended past the deadline after its first
// reading of the clock.
type lateClock struct{ reads atomic.Int64 }

func (c *lateClock) Now() time.Duration {
	if c.reads.Add(1) == 1 {
		return 0
	}
	return time.Hour
}

// TestNoByteIsWrittenAfterTheDeadline guards against a call that reaches the server
// after it was answered with not-run.
func TestNoByteIsWrittenAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	read := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := c.Read(make([]byte, 1))
		read <- n
	}()
	s := testServer(t, listener.Addr().String())
	result := s.Do(t.Context(), &lateClock{}, bookingOf("late", time.Minute))
	assert.Equal(t, result.Outcome, outcome.NotRun)
	s.Close()
	select {
	case n := <-read:
		assert.Equal(t, n, 0, "a byte came after the deadline")
	case <-time.After(time.Minute):
		t.Fatal("the connection is still open")
	}
}

func testServer(t testing.TB, address string) *Server {
	t.Helper()
	list := &lists.Servers{Servers: []lists.Server{{ID: "moves-1", Service: "moves", Address: address, State: lists.Live}}}
	allowances := &lists.Allowances{Entries: 1, Services: map[string]lists.Service{"moves": {Slots: 1, Connections: 4}}}
	return NewRegistry(1<<20).Apply(list, allowances)["moves"][0]
}

func bookingOf(body string, deadline time.Duration) *call.Request {
	return &call.Request{
		Service: "moves", Operation: "book", Method: http.MethodPost, Target: "/moves/book",
		Body: []byte(body), Deadline: deadline,
	}
}
