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

// Guards against health checks beyond the budget: a malformed answer on a connection that was used
// before doesn't mean that the server has closed it.
func TestMalformedAnswerToAHealthCheckIsNotAskedForAgain(t *testing.T) {
	backend, server := startFakeServer(t, func(conn, request int) (string, bool) {
		if conn == 1 && request == 2 {
			return malformedStatus[0].answer, false
		}
		return healthAnswer, false
	})
	mustProbe(t, server).Release()
	begin := time.Now()
	_, _, err := server.Probe(context.Background(), malformedDeadline)
	checkMalformed(t, server, begin, err)
	assert.Equal(t, len(backend.receivedRequests()), 2)
	mustProbe(t, server)
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

// Guards against lines that are dropped from an answer's head, or read as something else. If such
// a line frames the body, another body takes its place, or one that the server has broken off.
func TestAnswerWithAMalformedFieldIsMalformed(t *testing.T) {
	const start, end, cut = "HTTP/1.1 200 OK\r\n" + told, "Content-Length: 5\r\n\r\nhello", "\r\n\r\nhel"
	cases := []malformedCase{
		{"blank before the colon", start + "X : y\r\n" + end, false},
		{"blank within a name", start + "X Y: z\r\n" + end, false},
		{"blank before the colon, unfinished head", start + "X :", false},
		{"blank behind Content-Length, body cut", start + "Content-Length : 50" + cut, true},
		{"blank within Content-Length, body cut", start + "Content Length: 50" + cut, true},
		{"blank before Content-Length, body cut", start + " Content-Length: 50" + cut, true},
		{"blank before Content-Length in the first line", "HTTP/1.1 200 OK\r\n Content-Length: 50\r\n" + told + cut, true},
		{"tab before Content-Length, body cut", start + "\tContent-Length: 50" + cut, true},
		{"LF before Content-Length, body cut", start + "\nContent-Length: 50" + cut, true},
		{"blank behind Transfer-Encoding, chunk cut", start + "Transfer-Encoding : chunked\r\n\r\n50\r\nhel", true},
		{"NUL in a name", start + "X\x00: y\r\n" + end, false},
		{"control byte in a name", start + "X\x01Y: z\r\n" + end, false},
		{"tab in a name", start + "X\t: y\r\n" + end, false},
		{"CR in a name", start + "X\rY: z\r\n" + end, false},
		{"LF in a name", start + "X\nY: z\r\n" + end, false},
		{"DEL in a name", start + "X\x7f: y\r\n" + end, false},
		{"byte above ASCII in a name", start + "X\xe9: y\r\n" + end, false},
		{"separator in a name", start + "X(y): z\r\n" + end, false},
		{"empty name", start + ": y\r\n" + end, false},
		{"no colon", start + "X\r\n" + end, false},
		{"folded value", start + "X: y\r\n z\r\n" + end, false},
		{"line that ends with LF alone", start + "X: y\n" + end, false},
		{"status line that ends with LF alone", "HTTP/1.1 200 OK\n" + told + end, false},
		{"head that ends with LF alone", "HTTP/1.1 200 OK\r\n" + told + "Content-Length: 5\r\n\nhello", false},
		{"NUL in a value", start + "X: y\x00\r\n" + end, false},
		{"CR in a value", start + "X: y\rz\r\n" + end, false},
		{"blank in a name of an interim answer", "HTTP/1.1 103 X\r\nLink : y\r\n\r\n" + start + end, false},
		{"blank in a name behind an interim answer", "HTTP/1.1 103 X\r\nLink: y\r\n\r\n" + start + "X : y\r\n" + end, false},
		{"blank in a name behind an answer to another call", answerTo("c0", "x") + start + "X : y\r\n" + end, false},
		{"blank in a name of an answer to another call", strings.Replace(answerTo("c0", "x"), "\r\n", "\r\nX : y\r\n", 1) + start + end, false},
	}
	testMalformed(t, cases)
	testMalformedChecks(t, cases)
}

// Guards against checks that reject what the protocol allows.
func TestUnusualAnswersAreAnswers(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\n", "Content-Length: 5\r\n\r\nhello"
	for name, answer := range map[string]string{
		"no reason":                 "HTTP/1.1 200\r\nCall-Id: c1\r\nSigned: y\r\n" + end,
		"empty reason":              "HTTP/1.1 200 \r\nCall-Id: c1\r\nSigned: y\r\n" + end,
		"bytes above ASCII":         "HTTP/1.1 200 \xc3\xa9\r\nCall-Id: c1\r\nSigned: y\r\nX: \xe9\ta\r\n" + end,
		"no blank behind the colon": start + "X:y\r\n" + end,
		"blanks around a value":     start + "X: \t y \t\r\n" + end,
		"empty value":               start + "X:\r\n" + end,
		"all bytes of a token":      start + "!#$%&'*+-.^_`|~09azAZ: y\r\n" + end,
		"the length twice":          start + "Content-Length: 5\r\n" + end,
		"interim answers":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\n" + start + end,
		"a length and chunks":       start + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"lowest version":            strings.Replace(start, "1.1", "1.0", 1) + end,
		"length of another call's":  answerTo("c0", "x") + start + end,
		"chunks, extension, trailer": start + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"3;a=\"b c\"\r\nhel\r\n002\r\nlo\r\n0\r\nX: y\r\nLast:\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, server := startFakeServer(t, func(int, int) (string, bool) { return answer, false })
			lease, err := server.Open(context.Background(), time.Second, time.Minute)
			assert.NilError(t, err)
			r := lease.Send(context.Background(), newCall())
			assert.Equal(t, r.Outcome, Answered, "%v", r.Err)
			chunk, _ := r.Body.Pop()
			assert.Equal(t, string(chunk.Data), "hello")
		})
	}
}

// Guards against trailers and chunks that break the protocol and pass for the end of an answer.
func TestAnswerWithAMalformedEndIsMalformed(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	cases := []malformedCase{
		{"blank behind the name of a trailer", start + "0\r\nX : y\r\n\r\n", false},
		{"blank within the name of a trailer", start + "0\r\nX Y: z\r\n\r\n", false},
		{"blank before the name of a trailer", start + "0\r\nX: y\r\n Y: z\r\n\r\n", false},
		{"blank before the name of the first trailer", start + "0\r\n X: y\r\n\r\n", false},
		{"control byte in the name of a trailer", start + "0\r\nX\x01: y\r\n\r\n", false},
		{"trailer that ends with LF alone", start + "0\r\nX: y\nY: z\r\n\r\n", false},
		{"blank behind the name of a trailer, unfinished", start + "0\r\nX :", false},
		{"no size of a chunk", start + "\r\n", false},
		{"size of a chunk with a sign", start + "+0\r\n\r\n", false},
		{"size of a chunk too long", start + "00000000000000000\r\n\r\n", false},
		{"size of a chunk that ends with LF alone", start + "0\n\r\n", false},
		{"control byte behind the size of a chunk", start + "0;a\x00\r\n\r\n", false},
		{"data longer than the chunk", start + "2\r\nhello\r\n0\r\n\r\n", false},
		{"trailer behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + start + "0\r\nX : y\r\n\r\n", false},
	}
	testMalformed(t, cases)
	testMalformedChecks(t, cases)
}

// Guards against bodies that hold the sizes of their chunks.
func TestAnswerWithContradictoryFramingIsMalformed(t *testing.T) {
	const chunks = "\r\n5\r\nhello\r\n0\r\n\r\n"
	cases := []malformedCase{
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + told + "Transfer-Encoding: chunked\r\n" + chunks, true},
		{"chunks and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + told + "content-length: 15\r\ntransfer-encoding: chunked\r\n" + chunks, true},
	}
	testMalformed(t, cases)
	testMalformedChecks(t, cases)
}

// Guards against requests of a server that are taken from the head of an answer, although the
// answer turns out to break the protocol behind it.
func TestHeadOfAMalformedAnswerIsNotBelieved(t *testing.T) {
	const start = "HTTP/1.1 503 X\r\n" + told + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	cases := []malformedCase{
		{"trailer", start + "0\r\nX : y\r\n\r\n", false},
		{"size of a chunk", start + "x", false},
		{"end of a chunk", start + "2\r\nhello\r\n0\r\n\r\n", false},
		{"final answer behind an interim one", "HTTP/1.1 103 X\r\n" + told + "\r\nHTTP/1.1 000 X\r\n\r\n", false},
	}
	testMalformed(t, cases)
	testMalformedChecks(t, cases)
}
