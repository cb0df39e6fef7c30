package upstream

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessServer answers each connection's first request with a head and then with a
// pattern until the caller closes, which is reported on the channel.
func endlessServer(t *testing.T, head, pattern string) (server *Server, callerClosed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{}, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		_, _ = raw.Read(make([]byte, 4096))
		_, err = raw.Write([]byte(head))
		for data := bytes.Repeat([]byte(pattern), 16<<10/len(pattern)); err == nil; {
			_, err = raw.Write(data)
		}
		closed <- struct{}{}
	}()
	server = NewServer(Options{ID: "s1", Address: listener.Addr().String(), HealthPath: "/health", MaxBodyBytes: 1 << 20, Dialect: dialect})
	t.Cleanup(server.Close)
	return server, closed
}

// A server in trouble sends bytes that are no answer until the caller closes. Each attempt
// must end early, close the connection, hold no more memory than the largest answer and
// count as one that may have run.
func TestBytesWithoutEndEndTheAttempt(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n"
	cases := []struct{ name, head, pattern string }{
		{"no HTTP", "", "junk"},
		{"a status line", "HTTP/1.1 200 ", "x"},
		{"a header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to another call", "", "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nContent-Length: 0\r\n\r\n"},
		{"a body until the connection closes", signed + "\r\n", "x"},
		{"a body longer than allowed", signed + "Content-Length: 999999999\r\n\r\n", "x"},
		{"chunks", signed + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		{"a chunk's size", signed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailers", signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, closed := endlessServer(t, c.head, c.pattern)
			lease, err := server.Open(context.Background(), time.Second, time.Minute)
			assert.NilError(t, err)
			reserved := 0
			call := newCall()
			call.Deadline = time.Now().Add(time.Minute)
			call.Reserve = func(bytes int) bool {
				reserved += bytes
				return true
			}
			begin := time.Now()
			r := lease.Send(context.Background(), call)
			assert.Equal(t, r.Outcome, Unknown, "%v", r.Err)
			assert.Assert(t, r.Err != nil)
			assert.Assert(t, time.Since(begin) < 5*time.Second, "%s", time.Since(begin))
			assert.Assert(t, !lease.Usable())
			assert.Assert(t, reserved <= 1<<20+1, "%d bytes", reserved)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// The memory for answers is used up. A small answer must get through all the same, and a
// large one must be given up without being taken for a whole one.
func TestLargeAnswerWithoutMemoryIsGivenUp(t *testing.T) {
	for size, want := range map[int]Outcome{minBodyBuffer - 1: Answered, 10 * minBodyBuffer: Unknown} {
		_, server := startFakeServer(t, func(int, int) (string, bool) {
			return "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n\r\n" + string(bytes.Repeat([]byte("x"), size)), true
		})
		server.options.MaxBodyBytes = 1 << 20
		lease, err := server.Open(context.Background(), time.Second, time.Minute)
		assert.NilError(t, err)
		call := newCall()
		call.Reserve = func(int) bool { return false }
		r := lease.Send(context.Background(), call)
		assert.Equal(t, r.Outcome, want, "%v", r.Err)
		if want == Answered {
			assert.Equal(t, len(r.Body), size)
		}
	}
}

func TestEndlessAnswerToAHealthCheckIsAFailure(t *testing.T) {
	server, closed := endlessServer(t, "HTTP/1.1 200 OK\r\nServer-Id: s1\r\n\r\n", "x")
	_, _, err := server.Probe(context.Background(), 2*time.Second)
	assert.ErrorContains(t, err, "exceeds")
	<-closed
}
