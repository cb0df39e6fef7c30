package upstream

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/httpwire"
)

// malformedCase is an answer to the call c1 that breaks the protocol.
type malformedCase struct {
	name, answer string
	// closes says that the server closes the connection behind the answer.
	closes bool
}

// told is what a server says in the head of a malformed answer. None of it may be believed.
const told = "Call-Id: c1\r\nSigned: y\r\nLoad: xx\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 30\r\n"

var malformedStatus = []malformedCase{
	{"status 000", "HTTP/1.1 000 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status 099", "HTTP/1.1 099 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status 600", "HTTP/1.1 600 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status 999", "HTTP/1.1 999 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status with a sign", "HTTP/1.1 +99 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status of two digits", "HTTP/1.1 20\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status of four digits", "HTTP/1.1 2000 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"no status", "HTTP/1.1 \r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status 000 as an interim answer", "HTTP/1.1 000 X\r\n\r\n" + answerTo("c1", "hello"), false},
	{"status 000 behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"status 000 behind an answer to another call", answerTo("c0", "x") + "HTTP/1.1 000 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"control byte in the reason", "HTTP/1.1 503 X\x00\r\n" + told + "Content-Length: 0\r\n\r\n", false},
	{"another version", "HTTP/3.0 503 X\r\n" + told + "Content-Length: 0\r\n\r\n", false},
}

// malformedDeadline is the deadline of calls whose answers are malformed; they end long before it.
const malformedDeadline = 4 * time.Second

func testMalformed(t *testing.T, cases []malformedCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			backend, server := startFakeServer(t, func(_, request int) (string, bool) {
				if request == 1 {
					return healthAnswer, false
				}
				return c.answer, c.closes
			})
			lease := mustProbe(t, server)
			call := newCall()
			call.Deadline = time.Now().Add(malformedDeadline)
			begin := time.Now()
			r := lease.Send(context.Background(), call)
			checkMalformed(t, server, begin, r.Err)
			assert.Equal(t, r.Outcome, Unknown)
			assert.Assert(t, r.Body.Len() == 0 && !r.HasLoad && !r.WrongServer)
			assert.Assert(t, !lease.Usable() && !server.HasIdle(), "the connection is still used")
			assert.Equal(t, len(backend.receivedRequests()), 2, "%v", backend.receivedRequests())
		})
	}
}

// testMalformedChecks is testMalformed for health checks.
func testMalformedChecks(t *testing.T, cases []malformedCase) {
	t.Helper()
	for _, c := range cases {
		t.Run("health check, "+c.name, func(t *testing.T) {
			_, server := startFakeServer(t, func(int, int) (string, bool) {
				return strings.ReplaceAll(c.answer, "Call-Id: c1\r\n", "Server-Id: s1\r\n"), c.closes
			})
			begin := time.Now()
			health, lease, err := server.Probe(context.Background(), malformedDeadline)
			checkMalformed(t, server, begin, err)
			assert.Assert(t, health == Health{})
			assert.Assert(t, lease == nil && !server.HasIdle(), "the connection is still used")
		})
	}
}

func checkMalformed(t *testing.T, server *Server, begin time.Time, err error) {
	t.Helper()
	assert.Assert(t, httpwire.IsMalformed(err), "%v", err)
	assert.Assert(t, time.Since(begin) < malformedDeadline/2, "%s", time.Since(begin))
	assert.Assert(t, server.Standing().Available(time.Now()), "the server's requests were believed")
}

// Guards against a status that is none and is taken for that of an interim answer, or passed on.
func TestAnswerWithoutAValidStatusIsMalformed(t *testing.T) {
	testMalformed(t, malformedStatus)
	testMalformedChecks(t, malformedStatus)
}
