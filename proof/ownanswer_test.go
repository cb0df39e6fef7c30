package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// manyLookups sends lookups from several callers at once and checks that each one
// gets a body bound to its own request, or no answer of a server at all. It
// returns how many were answered.
func manyLookups(ctx context.Context, t *testing.T, fleet *standin.Fleet, each int) int64 {
	t.Helper()
	const callersAtOnce = 4
	var answered atomic.Int64
	var all sync.WaitGroup
	for caller := range callersAtOnce {
		all.Go(func() {
			for i := range each {
				target := fmt.Sprintf("/stock/lookup?box=%d-%d", caller, i)
				res, err := standin.Call(ctx, http.MethodGet, fleet.Entries[0].URL()+target, "", nil)
				if err != nil {
					t.Errorf("%s: %v", target, err)
					return
				}
				if outcomeOf(res) != "answered" {
					continue
				}
				answered.Add(1)
				if res.Body != target {
					t.Errorf("%s got the answer %.60q", target, res.Body)
					return
				}
			}
		})
	}
	all.Wait()
	return answered.Load()
}

// TestUnsolicitedAnswersReachNoOne lets a server send more than the answer.
func TestUnsolicitedAnswersReachNoOne(t *testing.T) {
	extra := response(http.StatusOK, "extra")
	for name, send := range map[string]func(c *standin.RawConn, answer string){
		"in one piece":       func(c *standin.RawConn, answer string) { c.Send(answer + extra) },
		"start with answer":  func(c *standin.RawConn, answer string) { c.Send(answer + extra[:3]) },
		"stray line":         func(c *standin.RawConn, answer string) { c.Send(answer + "\r\n\r\n") },
		"many extra answers": func(c *standin.RawConn, answer string) { c.Send(answer + strings.Repeat(extra, 3)) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			raw := startRaw(t, "stock-raw", "stock", func(c *standin.RawConn) {
				for {
					run, err := c.Run()
					if err != nil {
						return
					}
					send(c, response(http.StatusOK, run.Target))
				}
			})
			fleet := rawFleet(ctx, t, 1, raw)
			assert.Assert(t, manyLookups(ctx, t, fleet, rounds(200, 50)) > 0)
		})
	}
}

// TestLateAnswersReachNoOne lets calls time out, each on a connection that then
// gets the late answer as soon as another request comes on it.
func TestLateAnswersReachNoOne(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	var reused atomic.Int64
	raw := startRaw(t, "moves-raw", "moves", func(c *standin.RawConn) {
		for {
			run, err := c.Run()
			if err != nil {
				return
			}
			if strings.HasPrefix(run.Body, "late") {
				if _, err := c.Reader.Peek(1); err == nil {
					reused.Add(1)
				}
			}
			c.Send(response(http.StatusOK, run.Body))
		}
	})
	fleet := rawFleet(ctx, t, 1, raw)
	for i := range 20 {
		header := http.Header{call.HeaderDeadline: {"50"}}
		late, err := standin.Call(ctx, http.MethodPost, fleet.Entries[0].URL()+"/moves/book", fmt.Sprintf("late %d", i), header)
		assert.NilError(t, err)
		assert.Equal(t, outcomeOf(late), "unknown")
		body := fmt.Sprintf("next %d", i)
		next := book(ctx, fleet.Entries[0], "", body, testLimit)
		assert.Equal(t, outcomeOf(next), "answered")
		assert.Equal(t, next.Body, body)
	}
	assert.Equal(t, reused.Load(), int64(0), "a connection was used after its call timed out")
}

// TestBrokenAnswersAreNotPassedOff lets a server answer in ways that are not one
// whole answer.
func TestBrokenAnswersAreNotPassedOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, answer, want string }{
		{"short of its length", head + "Content-Length: 10\r\n\r\nabc", "unknown"},
		{"without length", head + "\r\nabc", "unknown"},
		{"unfinished chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "unknown"},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "unknown"},
		{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n", "unknown"},
		{"chunk longer than said", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", "unknown"},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "unknown"},
		{"negative length", head + "Content-Length: -1\r\n\r\nabc", "unknown"},
		{"length with a sign", head + "Content-Length: +3\r\n\r\nabc", "unknown"},
		{"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\nabc", "unknown"},
		// The chunks win over the length (RFC 9112, section 6.3).
		{"length and chunks", head + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "answered"},
		{"larger than allowed", response(http.StatusOK, strings.Repeat("x", 2<<20)), "unknown"},
		{"no HTTP", "hello\r\n\r\n", "unknown"},
		{"interim only", "HTTP/1.1 103 Early Hints\r\n\r\n", "unknown"},
		{"whole, after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response(http.StatusOK, "abc"), "answered"},
		{"whole chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "answered"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			raw := startRaw(t, "moves-raw", "moves", func(conn *standin.RawConn) {
				if _, err := conn.Run(); err == nil {
					conn.Send(c.answer)
				}
			})
			fleet := rawFleet(ctx, t, 1, raw)
			res := book(ctx, fleet.Entries[0], "", "a", testLimit)
			assert.Equal(t, outcomeOf(res), c.want, "%.80q", res.Body)
			if c.want == "answered" {
				assert.Equal(t, res.Body, "abc")
			}
		})
	}
}

// TestReorderedAnswersReachTheirCallers answers calls in the reverse order of
// their arrival.
func TestReorderedAnswersReachTheirCallers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	const group = 4
	var mu sync.Mutex
	var waiting []chan struct{}
	raw := startRaw(t, "stock-raw", "stock", func(c *standin.RawConn) {
		for {
			run, err := c.Run()
			if err != nil {
				return
			}
			turn := make(chan struct{})
			mu.Lock()
			waiting = append(waiting, turn)
			if len(waiting) == group {
				go releaseInReverse(waiting)
				waiting = nil
			}
			mu.Unlock()
			select {
			case <-turn:
			case <-time.After(time.Second):
			}
			c.Send(response(http.StatusOK, run.Target))
		}
	})
	fleet := rawFleet(ctx, t, 1, raw)
	assert.Assert(t, manyLookups(ctx, t, fleet, 10) > 0)
}

func releaseInReverse(turns []chan struct{}) {
	for i := len(turns) - 1; i >= 0; i-- {
		close(turns[i])
		time.Sleep(time.Millisecond)
	}
}

// TestPipelinedCallersGetTheirAnswersInOrder sends several requests at once on
// one connection to an entry.
func TestPipelinedCallersGetTheirAnswersInOrder(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	var count atomic.Int64
	raw := startRaw(t, "moves-raw", "moves", func(c *standin.RawConn) {
		for {
			run, err := c.Run()
			if err != nil {
				return
			}
			time.Sleep(time.Duration(10-count.Add(1)%10) * time.Millisecond)
			c.Send(response(http.StatusOK, run.Body))
		}
	})
	fleet := rawFleet(ctx, t, 1, raw)
	conn, err := net.Dial("tcp", fleet.Entries[0].Callers)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testLimit)))
	const requests = 20
	for i := range requests {
		body := fmt.Sprintf("pipelined %d", i)
		_, err := fmt.Fprintf(conn, "POST /moves/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			standin.SampleKey, len(body), body)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	for i := range requests {
		res, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "answer %d", i)
		body, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprintf("pipelined %d", i))
	}
	assert.Equal(t, len(raw.Ran()), requests)
}
