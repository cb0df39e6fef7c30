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
	CallID: "Call-Id", Deadline: "Left", ExpectServer: "For", ServerID: "Server-Id", Load: "Load", NotRun: "Not-Run", Signature: "Signed",
	LoadCountsCall: true,
	ParseLoad: func(value string) (Load, bool) {
		return Load{Running: len(value), Slots: 6, Slowness: 1}, value != ""
	},
}

const health = "HTTP/1.1 200 OK\r\nServer-Id: s1\r\nLoad: xx\r\nContent-Length: 0\r\n\r\n"

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nSigned: y\r\nLoad: xx\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// script is a server that answers requests with raw bytes. Steps returns the answer to
// each request of a connection, and whether to close the connection after it. An answer
// that contains RESET is followed by a TCP reset.
type script struct {
	t        *testing.T
	listener net.Listener
	mu       sync.Mutex
	conns    int
	requests []string
	steps    func(conn, request int) (reply string, end bool)
}

func serve(t *testing.T, steps func(conn, request int) (string, bool)) (*script, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &script{t: t, listener: listener, steps: steps}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	server := NewServer(Options{ID: "s1", Address: listener.Addr().String(), HealthPath: "/health", MaxBodyBytes: 1000, Dialect: dialect})
	t.Cleanup(server.Close)
	return s, server
}

func (s *script) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		n := s.conns
		s.mu.Unlock()
		go s.talk(raw, n)
	}
}

func (s *script) talk(raw net.Conn, n int) {
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
		reply, end := s.steps(n, i)
		_, _ = raw.Write([]byte(reply))
		if strings.Contains(reply, "RESET") {
			_ = raw.(*net.TCPConn).SetLinger(0)
		}
		if end {
			return
		}
	}
}

func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func call() *Call {
	return &Call{ID: "c1", Method: http.MethodGet, Target: "/x?q=1", Head: []byte("Host: h\r\nCall-Id: c1\r\n"), Deadline: time.Now().Add(time.Second)}
}

func probe(t *testing.T, s *Server) *Lease {
	t.Helper()
	h, lease, err := s.Probe(context.Background(), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, h.OK && h.HasLoad && !h.WrongServer)
	assert.Equal(t, h.Load.Running, 2)
	return lease
}

func TestCallFollowsTheHealthCheckOnItsConnection(t *testing.T) {
	backend, server := serve(t, func(_, request int) (string, bool) {
		if request == 1 {
			return health, false
		}
		return answerTo("c1", "hello"), false
	})
	lease := probe(t, server)
	r := lease.Send(context.Background(), call())
	assert.Equal(t, r.Outcome, Answered)
	assert.Equal(t, string(r.Body), "hello")
	assert.Equal(t, r.Load.Running, 1, "two ran, of which one is answered")
	assert.Assert(t, lease.Usable())
	assert.DeepEqual(t, backend.seen(), []string{"GET /health ", "GET /x?q=1 s1"})
	opened, probes := server.Counts()
	assert.Equal(t, opened, 1)
	assert.Equal(t, probes, 1)
}

func TestEndsOfACall(t *testing.T) {
	cases := []struct {
		name, reply string
		end         bool
		want        Outcome
		body        string
	}{
		{"whole", answerTo("c1", "hello"), false, Answered, "hello"},
		{"ends with the connection", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n\r\nhello", true, Answered, "hello"},
		{"reset before its end", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nRESET: 1\r\n\r\nhel", true, Unknown, ""},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 9\r\n\r\nhel", true, Unknown, ""},
		{"of another call first", answerTo("c0", "other") + answerTo("c1", "hello"), false, Answered, "hello"},
		{"of another call only", answerTo("c0", "other"), true, Unknown, ""},
		{"no answer", "", true, Unknown, ""},
		{"not HTTP", "junk\r\n\r\n", true, Unknown, ""},
		{"without a signature", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"with a content coding", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", false, Unknown, ""},
		{"a failure of the server's own", "HTTP/1.1 500 X\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"shed", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"shed without the mark", "HTTP/1.1 503 X\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n", false, Answered, ""},
		{"of another server", "HTTP/1.1 421 X\r\nServer-Id: s2\r\nContent-Length: 0\r\n\r\n", false, NotRun, ""},
		{"after a 100", "HTTP/1.1 100 Continue\r\n\r\n" + answerTo("c1", "hello"), false, Answered, "hello"},
		{"too large", "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nContent-Length: 5000\r\n\r\n", false, Unknown, ""},
	}
	for _, c := range cases {
		_, server := serve(t, func(_, request int) (string, bool) {
			if request == 1 {
				return health, false
			}
			return c.reply, c.end
		})
		lease := probe(t, server)
		r := lease.Send(context.Background(), call())
		assert.Equal(t, r.Outcome, c.want, "%s: %v", c.name, r.Err)
		if c.want == Answered {
			assert.Equal(t, string(r.Body), c.body, c.name)
		}
		if c.end {
			assert.Assert(t, !lease.Usable(), c.name)
		}
	}
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	_, server := serve(t, func(_, request int) (string, bool) {
		if request == 1 {
			return health, false
		}
		return answerTo("c1", "hello") + answerTo("c1", "again"), false
	})
	lease := probe(t, server)
	assert.Equal(t, lease.Send(context.Background(), call()).Outcome, Answered)
	assert.Assert(t, !lease.Usable())
}

func TestLateAnswerIsNotTakenForAHealthCheck(t *testing.T) {
	_, server := serve(t, func(_, request int) (string, bool) {
		switch request {
		case 2:
			return answerTo("c1", "hello"), false
		case 3:
			return answerTo("c1", "late") + health, false
		default:
			return health, false
		}
	})
	lease := probe(t, server)
	assert.Equal(t, lease.Send(context.Background(), call()).Outcome, Answered)
	lease.Release()
	probe(t, server)
}

func TestIdleConnectionClosedByTheServerCostsNoCall(t *testing.T) {
	backend, server := serve(t, func(conn, _ int) (string, bool) { return health, conn == 1 })
	first := probe(t, server)
	first.Release()
	time.Sleep(20 * time.Millisecond) // the server closes the first connection
	probe(t, server)
	assert.Equal(t, len(backend.seen()), 2)
	opened, _ := server.Counts()
	assert.Equal(t, opened, 2)
}

func TestCallerThatLeavesEndsTheCall(t *testing.T) {
	closed := make(chan struct{})
	_, server := serve(t, func(_, request int) (string, bool) {
		if request == 1 {
			return health, false
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
		}
		return "", true
	})
	lease := probe(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	begin := time.Now()
	r := lease.Send(ctx, call())
	close(closed)
	assert.Equal(t, r.Outcome, Unknown)
	assert.Assert(t, time.Since(begin) < 500*time.Millisecond)
	assert.Assert(t, !lease.Usable())
}

func TestConnectionsStayWithinTheirLimit(t *testing.T) {
	_, server := serve(t, func(int, int) (string, bool) { return health, false })
	server.SetConnectionLimit(2)
	probe(t, server)
	probe(t, server)
	_, _, err := server.Probe(context.Background(), time.Second)
	assert.ErrorIs(t, err, ErrConnectionLimit)
}

func TestKeepAliveTimeoutIsLearned(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=10": 10 * time.Second, "max=5, timeout=3": 3 * time.Second, "max=5": 0, "timeout=x": 0, "": 0} {
		got, ok := keepAlive(value)
		assert.Equal(t, ok, want > 0, value)
		if ok {
			assert.Equal(t, got, want, value)
		}
	}
}
