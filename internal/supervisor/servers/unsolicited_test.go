package servers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

const staleAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"

// echo starts a server that answers each request with its body, followed by suffix
// in the same write, and then calls after. It returns the server's address.
func echo(t *testing.T, suffix string, after func(c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, suffix)
					after(c)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func checkOwnAnswers(t *testing.T, s *Server, calls int, between func()) {
	t.Helper()
	clk := clock.Boot{}
	for i := range calls {
		body := fmt.Sprint("call ", i)
		result := s.Do(t.Context(), clk, bookingOf(body, clk.Now()+5*time.Second))
		assert.Equal(t, result.Outcome, outcome.Answered, "%v", result.Err)
		assert.Assert(t, string(result.Answer.Body) == body, "call %d got another answer", i)
		between()
	}
}

// TestASecondAnswerIsNeverGivenToTheNextCall guards against a server's second
// response to a request being read as the response to the next one.
func TestASecondAnswerIsNeverGivenToTheNextCall(t *testing.T) {
	body := strings.Repeat("stale", 1<<16)
	second := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s := testServer(t, echo(t, second, func(net.Conn) {}))
	checkOwnAnswers(t, s, 30, func() {})
}

// TestBytesOnAnIdleConnectionCloseIt guards against late bytes from a server being
// read as the response to the next call.
func TestBytesOnAnIdleConnectionCloseIt(t *testing.T) {
	late := make(chan struct{})
	s := testServer(t, echo(t, "", func(c net.Conn) {
		go func() {
			<-late
			_, _ = io.WriteString(c, staleAnswer)
		}()
	}))
	checkOwnAnswers(t, s, 3, func() {
		late <- struct{}{}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			s.pool.trim()
			s.pool.mu.Lock()
			defer s.pool.mu.Unlock()
			if len(s.pool.idle) == 0 {
				return poll.Success()
			}
			return poll.Continue("the connection is still open")
		})
	})
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	s := testServer(t, echo(t, "", func(net.Conn) {}))
	checkOwnAnswers(t, s, 50, func() {})
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	assert.Equal(t, s.pool.open, 1)
}
