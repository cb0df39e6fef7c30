package servers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// malformedCase is an answer that breaks the protocol.
type malformedCase struct {
	name, answer string
	// closes says that the server closes the connection behind the answer.
	closes bool
}

// told is what a server says in the head of a malformed answer. None of it may be believed.
const told = "Baobab-Not-Started: true\r\nBaobab-State: leaving\r\nBaobab-Load: 7\r\n"

// malformedDeadline is the deadline of calls whose answers are malformed; they end long before it.
const malformedDeadline = 4 * time.Second

// answering starts a server that gives one answer to all requests and returns its address.
func answering(t *testing.T, answer string, closes bool) string {
	t.Helper()
	raw, err := standin.StartRawServer("moves-raw", "moves", func(c *standin.RawConn) {
		if !closes {
			c.AnswerAll(answer)
		} else if _, err := c.Request(); err == nil {
			c.Send(answer)
		}
	})
	assert.NilError(t, err)
	t.Cleanup(raw.Close)
	return raw.Info.Address
}

func testMalformed(t *testing.T, cases []malformedCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testServer(t, answering(t, c.answer, c.closes))
			begin := time.Now()
			clk := clock.Boot{}
			r := s.Do(t.Context(), clk, bookingOf("order", clk.Now()+malformedDeadline))
			assert.Equal(t, r.Outcome, outcome.Unknown)
			assert.Assert(t, !r.Rejected)
			checkMalformed(t, s, begin, r.Err)
			checkMalformed(t, s, time.Now(), s.Probe(t.Context()))
		})
	}
}

func checkMalformed(t *testing.T, s *Server, begin time.Time, err error) {
	t.Helper()
	assert.Assert(t, httpwire.IsMalformed(err), "%v", err)
	assert.Assert(t, time.Since(begin) < malformedDeadline/2, "%s", time.Since(begin))
	s.pool.mu.Lock()
	assert.Equal(t, len(s.pool.idle), 0, "the connection is still used")
	s.pool.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.state.Leaving(), "the server's state was believed")
	_, reported := s.state.ReportAge(s.clock.Now())
	assert.Assert(t, !reported, "the server's load was believed")
}

// Guards against a status that is none and is taken for that of an interim answer, or passed on.
func TestAnswerWithoutAValidStatusIsMalformed(t *testing.T) {
	const end = told + "Content-Length: 0\r\n\r\n"
	testMalformed(t, []malformedCase{
		{"status 000", "HTTP/1.1 000 X\r\n" + end, false},
		{"status 099", "HTTP/1.1 099 X\r\n" + end, false},
		{"status 600", "HTTP/1.1 600 X\r\n" + end, false},
		{"status with a sign", "HTTP/1.1 +99 X\r\n" + end, false},
		{"status 000 as an interim answer", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + end, false},
		{"status 000 behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n" + end, false},
		{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\n" + end, false},
		{"another version", "HTTP/3.0 200 OK\r\n" + end, false},
	})
}

// Guards against lines that are dropped from an answer's head, or read as something else.
func TestAnswerWithAMalformedFieldIsMalformed(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\n" + told, "Content-Length: 5\r\n\r\nhello"
	testMalformed(t, []malformedCase{
		{"blank before the colon", start + "X : y\r\n" + end, false},
		{"blank within a name", start + "X Y: z\r\n" + end, false},
		{"blank before the colon, unfinished head", start + "X :", false},
		{"second length with a blank", start + "Content-Length : 50\r\n" + end, true},
		{"blank before a line", start + "X: y\r\n Y: z\r\n" + end, false},
		{"LF before a line", start + "\nX: y\r\n" + end, false},
		{"NUL in a name", start + "X\x00: y\r\n" + end, false},
		{"line that ends with LF alone", start + "X: y\n" + end, false},
		{"blank in a name of an interim answer", "HTTP/1.1 103 X\r\nLink : y\r\n\r\n" + start + end, false},
	})
}

// Guards against trailers and chunks that break the protocol and pass for the end of an answer.
func TestAnswerWithAMalformedEndIsMalformed(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n" + told + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	testMalformed(t, []malformedCase{
		{"blank behind the name of a trailer", start + "0\r\nX : y\r\n\r\n", false},
		{"blank before the name of a trailer", start + "0\r\nX: y\r\n Y: z\r\n\r\n", false},
		{"trailer that ends with LF alone", start + "0\r\nX: y\nY: z\r\n\r\n", false},
		{"control byte behind the size of a chunk", start + "0;a\x00\r\n\r\n", false},
	})
}

// Guards against bodies that hold the sizes of their chunks.
func TestAnswerWithContradictoryFramingIsMalformed(t *testing.T) {
	const chunks = "\r\n5\r\nhello\r\n0\r\n\r\n"
	testMalformed(t, []malformedCase{
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + told + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n" + chunks, true},
	})
}
