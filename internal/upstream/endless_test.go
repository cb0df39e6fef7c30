package upstream

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// chunkBytes is the most that the last chunk of a body can exceed the limit on bodies.
const chunkBytes = 32 << 10

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
			budget := memory.NewFairBudget(16 << 20)
			server.options.Memory = budget
			call := newCall()
			call.Deadline = time.Now().Add(time.Minute)
			begin := time.Now()
			r := lease.Send(context.Background(), call)
			assert.Equal(t, r.Outcome, Unknown, "%v", r.Err)
			assert.Assert(t, r.Err != nil)
			assert.Assert(t, time.Since(begin) < 5*time.Second, "%s", time.Since(begin))
			assert.Assert(t, !lease.Usable())
			assert.Assert(t, budget.Peak() <= 1<<20+chunkBytes, "%d bytes", budget.Peak())
			assert.Equal(t, budget.Used(), 0)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// fullBudget returns a budget that is used up.
func fullBudget(t *testing.T) (budget *memory.FairBudget, holder *memory.Body) {
	t.Helper()
	budget = memory.NewFairBudget(1 << 20)
	holder = budget.NewBody()
	assert.NilError(t, holder.Hold(context.Background(), 1<<20))
	return budget, holder
}

// The memory for answers is used up. A small answer must get through all the same, and a
// large one must be given up without being taken for a whole one.
func TestLargeAnswerWithoutMemoryIsGivenUp(t *testing.T) {
	const small = 4 << 10
	for size, want := range map[int]Outcome{small: Answered, 10 * small: Unknown} {
		_, server := startFakeServer(t, func(int, int) (string, bool) {
			return "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n\r\n" + string(bytes.Repeat([]byte("x"), size)), true
		})
		server.options.MaxBodyBytes = 1 << 20
		budget, _ := fullBudget(t)
		for range 100 { // share the budget, so that no answer may wait for a second chunk
			assert.NilError(t, budget.NewBody().Append(context.Background(), []byte("x")))
		}
		used := budget.Used()
		server.options.Memory = budget
		lease, err := server.Open(context.Background(), time.Second, time.Minute)
		assert.NilError(t, err)
		r := lease.Send(context.Background(), newCall())
		assert.Equal(t, r.Outcome, want, "%v", r.Err)
		if want == Answered {
			assert.Equal(t, r.Body.Len(), size)
		} else {
			assert.ErrorIs(t, r.Err, memory.ErrUsedUp)
		}
		r.Body.Release()
		assert.Equal(t, budget.Used(), used)
	}
}

// Guards against heads that take more memory than bodies: a large one is counted as well.
func TestLargeHeadIsCounted(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 0\r\nLong: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n"
	_, server := startFakeServer(t, func(int, int) (string, bool) { return head, true })
	server.options.Memory = memory.NewFairBudget(1 << 20)
	lease, err := server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err)
	r := lease.Send(context.Background(), newCall())
	assert.Equal(t, r.Outcome, Answered, "%v", r.Err)
	assert.Equal(t, server.options.Memory.Used(), largeHeadMemory)
	r.Body.Release()
	assert.Equal(t, server.options.Memory.Used(), 0)

	server.options.Memory, _ = fullBudget(t)
	other := server.options.Memory.NewBody()
	assert.NilError(t, other.Append(context.Background(), []byte("x")))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	lease, err = server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err)
	r = lease.Send(ctx, newCall())
	assert.Equal(t, r.Outcome, Unknown)
	assert.ErrorContains(t, r.Err, "wait for memory")
}

// Guards against calls that fail although the memory they need is freed in time.
func TestAnswerWaitsForMemory(t *testing.T) {
	const size = 200 << 10
	_, server := startFakeServer(t, func(int, int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n\r\n" + strings.Repeat("x", size), true
	})
	server.options.MaxBodyBytes = 1 << 20
	budget, holder := fullBudget(t)
	server.options.Memory = budget
	lease, err := server.Open(context.Background(), time.Second, time.Minute)
	assert.NilError(t, err)
	ended := make(chan Result, 1)
	go func() { ended <- lease.Send(context.Background(), newCall()) }()
	for end := time.Now().Add(5 * time.Second); budget.Waiting() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	holder.Release()
	r := <-ended
	assert.Equal(t, r.Outcome, Answered, "%v", r.Err)
	assert.Equal(t, r.Body.Len(), size)
	r.Body.Release()
	assert.Equal(t, budget.Used(), 0)
}

// Guards against memory that skipped and rejected answers keep.
func TestAnswersThatAreNotPassedOnHoldNoMemory(t *testing.T) {
	const body = "Content-Length: 5\r\n\r\nhello"
	for _, c := range []struct{ name, answer string }{
		{"late answer to another call", "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nSigned: y\r\n" + body + "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n" + body},
		{"not signed", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n" + body},
		{"without a call id", "HTTP/1.1 200 OK\r\nSigned: y\r\n" + body},
		{"cut", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n" + body[:len(body)-1]},
		{"rejected", "HTTP/1.1 503 No\r\nCall-Id: c1\r\nNot-Run: 1\r\n" + body},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, server := startFakeServer(t, func(int, int) (string, bool) { return c.answer, true })
			server.options.Memory = memory.NewFairBudget(1 << 20)
			lease, err := server.Open(context.Background(), time.Second, time.Minute)
			assert.NilError(t, err)
			r := lease.Send(context.Background(), newCall())
			assert.Assert(t, r.Outcome != Answered)
			assert.Equal(t, server.options.Memory.Used(), 0)
			assert.Equal(t, server.options.Memory.Peak(), 4<<10)
		})
	}
}

func TestEndlessAnswerToAHealthCheckIsAFailure(t *testing.T) {
	server, closed := endlessServer(t, "HTTP/1.1 200 OK\r\nServer-Id: s1\r\n\r\n", "x")
	server.options.Memory = memory.NewFairBudget(1 << 20)
	_, _, err := server.Probe(context.Background(), 2*time.Second)
	assert.ErrorContains(t, err, "exceeds")
	<-closed
	assert.Equal(t, server.options.Memory.Peak(), 0, "the body isn't kept")
}
