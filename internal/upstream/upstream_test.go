package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var dialect = &Dialect{
	CallID: "Call-Id", Deadline: "Left", ExpectServer: "For", ServerID: "Server-Id", Load: "Load", NotRun: "Not-Run", Signature: "Signed", Leaving: "Leaving",
	LoadCountsCall: true,
	ParseLoad: func(value string) (Load, bool) {
		return Load{Running: len(value), Slots: 6, Slowness: 1}, value != ""
	},
}

const healthAnswer = "HTTP/1.1 200 OK\r\nServer-Id: s1\r\nLoad: xx\r\nContent-Length: 0\r\n\r\n"

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nSigned: y\r\nLoad: xx\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

// twoDigits formats a number from 0 to 99; a Content-Length may begin with 0.
func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// fakeServer is a server that answers requests with raw bytes. Its function respond returns
// the answer to a request and whether to close the connection after the answer. Connections
// and the requests of each connection are numbered from 1. If an answer contains RESET, the
// connection is closed by a TCP reset.
type fakeServer struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	conns    int
	requests []string
	respond  func(conn, request int) (reply string, closeAfter bool)
}

func startFakeServer(t *testing.T, respond func(conn, request int) (string, bool)) (*fakeServer, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeServer{t: t, listener: listener, respond: respond}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	server := NewServer(Options{ID: "s1", Address: listener.Addr().String(), HealthPath: "/health", MaxBodyBytes: 1000, Dialect: dialect})
	t.Cleanup(server.Close)
	return s, server
}

func (s *fakeServer) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.serveConn(raw, n)
	}
}

func (s *fakeServer) serveConn(raw net.Conn, n int) {
	defer func() { _ = raw.Close() }()
	reader := bufio.NewReader(raw)
	for i := 1; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+req.Header.Get("For"))
		s.mu.Unlock()
		reply, end := s.respond(n, i)
		_, _ = raw.Write([]byte(reply))
		if strings.Contains(reply, "RESET") {
			_ = raw.(*net.TCPConn).SetLinger(0)
		}
		if end {
			return
		}
	}
}

func (s *fakeServer) receivedRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func newCall() *Call {
	return &Call{ID: "c1", Method: http.MethodGet, Target: "/x?q=1", Head: []byte("Host: h\r\nCall-Id: c1\r\n"), Deadline: time.Now().Add(time.Second)}
}

// mustProbe sends a health check, checks the reported load and returns the lease.
func mustProbe(t *testing.T, s *Server) *Lease {
	t.Helper()
	h, lease, err := s.Probe(context.Background(), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, h.OK && h.HasLoad && !h.WrongServer)
	assert.Equal(t, h.Load.Running, 2)
	return lease
}

// A call must be sent on the connection of the health check before it, without opening
// a second one.
func TestCallFollowsTheHealthCheckOnItsConnection(t *testing.T) {
	backend, server := startFakeServer(t, func(_, request int) (string, bool) {
		if request == 1 {
			return healthAnswer, false
		}
		return answerTo("c1", "hello"), false
	})
	lease := mustProbe(t, server)
	r := lease.Send(context.Background(), newCall())
	assert.Equal(t, r.Outcome, Answered)
	assert.Equal(t, r.Body.String(), "hello")
	assert.Equal(t, r.Load.Running, 1, "two calls ran, one of them is answered")
	assert.Assert(t, lease.Usable())
	assert.DeepEqual(t, backend.receivedRequests(), []string{"GET /health ", "GET /x?q=1 s1"})
	opened, probes := server.Counts()
	assert.Equal(t, opened, 1)
	assert.Equal(t, probes, 1)
}

// An incomplete, foreign or unsigned answer must not pass for the answer to the call, and a
// call that a server may have run must not count as not run.
func TestOutcomeOfAnswers(t *testing.T) {
	cases := []struct {
		name, reply string
		closeAfter  bool
		want        Outcome
		body        string
	}{
		{"complete", answerTo("c1", "hello"), false, Answered, "hello"},
		{"ends when the connection closes", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n\r\nhello", true, Answered, "hello"},
		{"reset before its end", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nRESET: 1\r\n\r\nhel", true, Unknown, ""},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 9\r\n\r\nhel", true, Unknown, ""},
		{"answer to another call first", answerTo("c0", "other") + answerTo("c1", "hello"), false, Answered, "hello"},
		{"answer to another call only", answerTo("c0", "other"), true, Unknown, ""},
		{"no answer", "", true, Unknown, ""},
		{"not HTTP", "junk\r\n\r\n", true, Unknown, ""},
		{"without a signature", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"with a content coding", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"application error", "HTTP/1.1 500 X\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"rejected", "HTTP/1.1 503 X\r\nCall-Id: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"a rejection that may be another call's", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"rejection of another call first", "HTTP/1.1 503 X\r\nCall-Id: c0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + answerTo("c1", "hello"), false, Answered, "hello"},
		{"503 without the Not-Run header", "HTTP/1.1 503 X\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"429 without the Not-Run header", "HTTP/1.1 429 X\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"late answer to a health check", "HTTP/1.1 503 X\r\nServer-Id: s1\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"from another server", "HTTP/1.1 421 X\r\nCall-Id: c1\r\nServer-Id: s2\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + answerTo("c1", "hello"), false, Answered, "hello"},
		{"too large", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 5000\r\n\r\n", false, Unknown, ""},
	}
	for _, c := range cases {
		_, server := startFakeServer(t, func(_, request int) (string, bool) {
			if request == 1 {
				return healthAnswer, false
			}
			return c.reply, c.closeAfter
		})
		lease := mustProbe(t, server)
		r := lease.Send(context.Background(), newCall())
		assert.Equal(t, r.Outcome, c.want, "%s: %v", c.name, r.Err)
		if c.want == Answered {
			assert.Equal(t, r.Body.String(), c.body, c.name)
		}
		if c.closeAfter {
			assert.Assert(t, !lease.Usable(), c.name)
		}
	}
}

// A server sends an answer twice. On a reused connection the second one could be read as
// the answer to the next request.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	_, server := startFakeServer(t, func(_, request int) (string, bool) {
		if request == 1 {
			return healthAnswer, false
		}
		return answerTo("c1", "hello") + answerTo("c1", "again"), false
	})
	lease := mustProbe(t, server)
	assert.Equal(t, lease.Send(context.Background(), newCall()).Outcome, Answered)
	assert.Assert(t, !lease.Usable())
}

// A server sends a second answer to a call after the connection was reused for a health
// check, just before the answer to that check.
func TestLateAnswerIsNotTakenForAHealthCheck(t *testing.T) {
	_, server := startFakeServer(t, func(_, request int) (string, bool) {
		switch request {
		case 2:
			return answerTo("c1", "hello"), false
		case 3:
			return answerTo("c1", "late") + healthAnswer, false
		default:
			return healthAnswer, false
		}
	})
	lease := mustProbe(t, server)
	assert.Equal(t, lease.Send(context.Background(), newCall()).Outcome, Answered)
	lease.Release()
	mustProbe(t, server)
}

// A server closes an idle connection just before it is reused. The health check must be
// sent again on a new connection, not fail.
func TestIdleConnectionClosedByTheServerIsReplaced(t *testing.T) {
	backend, server := startFakeServer(t, func(conn, _ int) (string, bool) { return healthAnswer, conn == 1 })
	first := mustProbe(t, server)
	first.Release()
	time.Sleep(20 * time.Millisecond) // the server closes the first connection
	mustProbe(t, server)
	assert.Equal(t, len(backend.receivedRequests()), 2)
	opened, _ := server.Counts()
	assert.Equal(t, opened, 2)
}

// A caller disconnects while its call runs, which cancels the context. The call must end
// before its deadline, and its connection must not be reused.
func TestCancelledContextEndsTheCall(t *testing.T) {
	closed := make(chan struct{})
	_, server := startFakeServer(t, func(_, request int) (string, bool) {
		if request == 1 {
			return healthAnswer, false
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
		}
		return "", true
	})
	lease := mustProbe(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	begin := time.Now()
	r := lease.Send(ctx, newCall())
	close(closed)
	assert.Equal(t, r.Outcome, Unknown)
	assert.Assert(t, time.Since(begin) < 500*time.Millisecond)
	assert.Assert(t, !lease.Usable())
}

// Two leases use all connections allowed to the server; a third must not be opened.
func TestConnectionsStayWithinTheirLimit(t *testing.T) {
	_, server := startFakeServer(t, func(int, int) (string, bool) { return healthAnswer, false })
	server.SetConnectionLimit(2)
	mustProbe(t, server)
	mustProbe(t, server)
	_, _, err := server.Probe(context.Background(), time.Second)
	assert.ErrorIs(t, err, ErrConnectionLimit)
}

func TestKeepAliveTimeoutIsParsed(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=10": 10 * time.Second, "max=5, timeout=3": 3 * time.Second, "max=5": 0, "timeout=x": 0, "": 0} {
		got, ok := keepAlive(value)
		assert.Equal(t, ok, want > 0, value)
		if ok {
			assert.Equal(t, got, want, value)
		}
	}
}

// A server sends the answer to a call twice, the second copy when the connection already
// carries the next call. That call must get its own answer.
func TestLateAnswerIsNotTakenForTheNextCall(t *testing.T) {
	_, server := startFakeServer(t, func(_, request int) (string, bool) {
		switch request {
		case 1:
			return healthAnswer, false
		case 2:
			return answerTo("c1", "first"), false
		default:
			return answerTo("c1", "first") + answerTo("c2", "second"), false
		}
	})
	lease := mustProbe(t, server)
	assert.Equal(t, lease.Send(context.Background(), newCall()).Body.String(), "first")
	next := newCall()
	next.ID, next.Head = "c2", []byte("Host: h\r\nCall-Id: c2\r\n")
	r := lease.Send(context.Background(), next)
	assert.Equal(t, r.Outcome, Answered)
	assert.Equal(t, r.Body.String(), "second")
}
