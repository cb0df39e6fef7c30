package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const getRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a first request that runs and is cut at the idle timeout: the accepting
// goroutine set the timeout after the poller had read the request and lifted it.
func TestFirstRequestMayOutlastTheIdleTimeout(t *testing.T) {
	s := startTest(t, Options{IdleTimeout: 200 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "x")
	})})
	const callers, requests = 64, 8
	var cut atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range requests {
				c, err := net.Dial("tcp", s.Address())
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, getRequest) // the answer tells
				if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
					cut.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	assert.Equal(t, cut.Load(), int64(0), "of %d", callers*requests)
}

// Guards against an answer that the idle timeout takes away from a caller that reads slowly.
func TestIdleTimeoutLeavesAnswersThatAreOnTheirWay(t *testing.T) {
	const size, idle = 128 << 10, 300 * time.Millisecond
	s := startTest(t, Options{IdleTimeout: idle, MaxBodyBytes: 2 * size, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})})
	c := dialTest(t, s)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := io.WriteString(c, getRequest)
	assert.NilError(t, err)
	time.Sleep(2 * idle)
	_, err = io.WriteString(c, getRequest)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	reader := bufio.NewReader(c)
	for range 2 {
		res, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, res.Body)
		assert.NilError(t, err, "after %d bytes", n)
	}
}

// Guards against requests that a stop drops although they had arrived before it closed idle
// connections.
func TestCloseIdleServesRequestsThatHaveArrived(t *testing.T) {
	s := startTest(t, Options{Handler: &echo{}})
	const callers = 20
	var conns []net.Conn
	for range callers {
		conns = append(conns, dialTest(t, s))
	}
	waitFor(t, func() bool { return s.Open() == callers })
	// The poller is kept from reading.
	blocked := serverSide(t, s, conns[0])
	blocked.mu.Lock()
	for _, c := range conns {
		_, err := io.WriteString(c, getRequest)
		assert.NilError(t, err)
	}
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	for _, c := range conns[1:] {
		serverSide(t, s, c).closeIdle()
	}
	blocked.mu.Unlock()
	for _, c := range conns {
		res, _ := readAnswer(t, bufio.NewReader(c), http.MethodGet)
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}
