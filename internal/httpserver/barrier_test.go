package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverSide returns the server's connection to a client.
func serverSide(t *testing.T, s *Server, client net.Conn) *conn {
	t.Helper()
	var found *conn
	waitFor(t, func() bool {
		s.conns.Range(func(key, _ any) bool {
			if c := key.(*conn); c.nbc.RemoteAddr().String() == client.LocalAddr().String() {
				found = c
			}
			return found == nil
		})
		return found != nil
	})
	return found
}

// Guards against a request that runs and is cut although its caller waits: the poller closed
// its connection for an event of an earlier one, which had the same descriptor.
func TestEventOfAClosedConnectionDoesNotReachTheNext(t *testing.T) {
	handler := &calledPaths{delay: 50 * time.Millisecond}
	s := startTest(t, Options{Handler: handler})
	const get = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	var clients []net.Conn
	var conns []*conn
	for range 4 {
		c := dialTest(t, s)
		clients, conns = append(clients, c), append(conns, serverSide(t, s, c))
	}
	// The poller stops at the first connection, and fetches the events of the others together
	// once it goes on. It stops at the second one then, before those of the last two.
	conns[0].mu.Lock()
	_, err := io.WriteString(clients[0], get)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	conns[1].mu.Lock()
	_, err = io.WriteString(clients[1], get)
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	for _, c := range clients[2:] {
		assert.NilError(t, c.Close())
	}
	time.Sleep(20 * time.Millisecond)
	conns[0].mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	descriptors := map[int]bool{}
	for _, c := range conns[2:] {
		descriptors[c.nbc.Hash()] = true
		assert.NilError(t, c.nbc.Close())
	}
	next := dialTest(t, s)
	_, err = io.WriteString(next, get)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	conns[1].mu.Unlock()
	assert.Assert(t, descriptors[serverSide(t, s, next).nbc.Hash()], "the descriptor is not used again")
	res, _ := readAnswer(t, bufio.NewReader(next), http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
