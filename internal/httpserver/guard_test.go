package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testBody = 64 << 10
	// patience bounds waits that end early when all is well.
	patience = 20 * time.Second
)

// echo answers with the method, target and body, and counts its calls.
type echo struct{ calls atomic.Int64 }

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s [%s]", r.Method, r.RequestURI, body)
}

func startTest(t *testing.T, o Options) *Server {
	t.Helper()
	o.Name, o.Address = "test", "127.0.0.1:0"
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = testBody
	}
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func dialTest(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

func readAnswer(t *testing.T, r *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(body)
}

const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"

// badRequests are refused with the status and, in each case, the outcome
// not-run; the connection then closes and nothing that follows runs.
var badRequests = []struct {
	name   string
	bytes  string
	status int
}{
	{"length and coding", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
	{"coding and length", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled, 400},
	{"signed length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc" + smuggled, 400},
	{"negative length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n" + smuggled, 400},
	{"hexadecimal length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc" + smuggled, 400},
	{"length list", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc" + smuggled, 400},
	{"empty length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\nabc" + smuggled, 400},
	{"differing lengths", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc" + smuggled, 400},
	{"huge length", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413},
	{"body too large", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n", 413},
	{"unknown coding", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n" + smuggled, 501},
	{"coding list", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, 501},
	{"two codings", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 501},
	{"coding with tab", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\tchunked\r\n\r\n0\r\n\r\n" + smuggled, 501},
	{"coding in HTTP/1.0", "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
	{"space before colon", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc" + smuggled, 400},
	{"folded header", "GET /a HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n" + smuggled, 400},
	{"folded first header", "GET /a HTTP/1.1\r\n Host: a\r\n\r\n" + smuggled, 400},
	{"no host", "GET /a HTTP/1.1\r\n\r\n" + smuggled, 400},
	{"two hosts", "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + smuggled, 400},
	{"bad host", "GET /a HTTP/1.1\r\nHost: a/b\r\n\r\n" + smuggled, 400},
	{"two keys", "GET /a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n" + smuggled, 400},
	{"two deadlines", "GET /a HTTP/1.1\r\nHost: a\r\nBaobab-Deadline-Ms: 1\r\nbaobab-deadline-ms: 2\r\n\r\n" + smuggled, 400},
	{"bare line feeds", "GET /a HTTP/1.1\nHost: a\n\n", 400},
	{"bare line feed in headers", "GET /a HTTP/1.1\r\nHost: a\nX: b\r\n\r\n" + smuggled, 400},
	{"bare carriage return", "GET /a HTTP/1.1\r\nHost: a\rX: b\r\n\r\n" + smuggled, 400},
	{"zero byte in value", "GET /a HTTP/1.1\r\nHost: a\r\nX: b\x00c\r\n\r\n" + smuggled, 400},
	{"control byte in value", "GET /a HTTP/1.1\r\nHost: a\r\nX: b\x1bc\r\n\r\n" + smuggled, 400},
	{"header without colon", "GET /a HTTP/1.1\r\nHost: a\r\nnonsense\r\n\r\n" + smuggled, 400},
	{"header without name", "GET /a HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n" + smuggled, 400},
	{"head too large", "GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("b", 40<<10), 431},
	{"too many headers", "GET /a HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: b\r\n", 101) + "\r\n", 431},
	{"unknown method", "BREW /a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 501},
	{"lower-case method", "get /a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 501},
	{"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 501},
	{"trace", "TRACE /a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 501},
	{"absolute target", "GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"asterisk target", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"bad escape in target", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"byte over 127 in target", "GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"two spaces in request line", "GET  /a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"no version", "GET /a\r\n\r\n" + smuggled, 400},
	{"http/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 501},
	{"version 1.2", "GET /a HTTP/1.2\r\nHost: a\r\n\r\n" + smuggled, 505},
	{"empty line first", "\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, 400},
	{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n", 400},
	{"unknown expectation", "POST /a HTTP/1.1\r\nHost: a\r\nExpect: gold\r\nContent-Length: 3\r\n\r\nabc" + smuggled, 417},
	{"trailer", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: y\r\n\r\n" + smuggled, 400},
	{"undeclared trailer", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n" + smuggled, 400},
	{"chunk extension", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n" + smuggled, 400},
	{"signed chunk", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n" + smuggled, 400},
	{"chunk with prefix", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n" + smuggled, 400},
	{"chunk longer than its size", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n" + smuggled, 400},
	{"chunk size overflow", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff3\r\nabc\r\n0\r\n\r\n" + smuggled, 400},
	{"bare line feed after chunk size", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n" + smuggled, 400},
	{"chunks too large", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413},
}

func TestBadRequestIsRefusedNotRun(t *testing.T) {
	for _, test := range badRequests {
		t.Run(test.name, func(t *testing.T) {
			handler := &echo{}
			c := dialTest(t, startTest(t, Options{Handler: handler}))
			_, err := io.WriteString(c, test.bytes)
			assert.NilError(t, err)
			checkRefused(t, c, test.status)
			assert.Equal(t, handler.calls.Load(), int64(0))
		})
	}
}

// A request that is split at any byte is refused all the same.
func TestBadRequestInSingleBytesIsRefusedNotRun(t *testing.T) {
	for _, test := range badRequests {
		if len(test.bytes) > 1<<10 {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			handler := &echo{}
			c := dialTest(t, startTest(t, Options{Handler: handler}))
			go func() {
				for i := range len(test.bytes) {
					if _, err := io.WriteString(c, test.bytes[i:i+1]); err != nil {
						return
					}
				}
			}()
			checkRefused(t, c, test.status)
			assert.Equal(t, handler.calls.Load(), int64(0))
		})
	}
}

func checkRefused(t *testing.T, c net.Conn, status int) {
	t.Helper()
	checkRefusedWith(t, c, status, "not-run")
}

func checkRefusedWith(t *testing.T, c net.Conn, status int, outcome string) {
	t.Helper()
	r := bufio.NewReader(c)
	res, _ := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, res.StatusCode, status)
	assert.Equal(t, res.Header.Get("Baobab-Outcome"), outcome)
	assert.Assert(t, res.Close)
	_, err := r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestGoodRequestsAreAnswered(t *testing.T) {
	for _, test := range []struct{ name, bytes, method, want string }{
		{"get", "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n", "GET", "GET /a?b=c []"},
		{"length", "POST /a HTTP/1.1\r\nHost: a:80\r\nContent-Length: 3\r\n\r\nabc", "POST", "POST /a [abc]"},
		{"chunks", "POST /a HTTP/1.1\r\nHost: a\r\ntransfer-encoding: Chunked\r\n\r\n3\r\nabc\r\n0A\r\n0123456789\r\n0\r\n\r\n", "POST", "POST /a [abc0123456789]"},
		{"empty chunks", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "POST", "POST /a []"},
		{"http/1.0", "GET /a HTTP/1.0\r\n\r\n", "GET", "GET /a []"},
		{"head", "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", "HEAD", ""},
		{"options", "OPTIONS /a HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS", "OPTIONS /a []"},
		{"upgrade is not taken", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "GET", "GET /a []"},
		{"h2c is not taken", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n\r\n", "GET", "GET /a []"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := dialTest(t, startTest(t, Options{Handler: &echo{}}))
			_, err := io.WriteString(c, test.bytes)
			assert.NilError(t, err)
			res, body := readAnswer(t, bufio.NewReader(c), test.method)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, body, test.want)
		})
	}
}

func TestBadRequestWithTicketClaimsNothing(t *testing.T) {
	for name, bytes := range map[string]string{
		"two tickets":    "GET /a HTTP/1.1\r\nHost: a\r\nBaobab-Ticket: a\r\nbaobab-ticket: b\r\n\r\n" + smuggled,
		"bad header":     "GET /a HTTP/1.1\r\nHost: a\r\nbad header: c\r\nBAOBAB-TICKET: b\r\n\r\n" + smuggled,
		"bad ending":     "GET /a HTTP/1.1\nHost: a\nBaobab-Ticket: a\n\n",
		"body too large": "POST /a HTTP/1.1\r\nHost: a\r\nBaobab-Ticket: a\r\nContent-Length: 65537\r\n\r\n",
		"bad chunk":      "POST /a HTTP/1.1\r\nHost: a\r\nBaobab-Ticket: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			handler := &echo{}
			c := dialTest(t, startTest(t, Options{Handler: handler}))
			_, err := io.WriteString(c, bytes)
			assert.NilError(t, err)
			r := bufio.NewReader(c)
			res, _ := readAnswer(t, r, http.MethodGet)
			assert.Equal(t, res.Header.Get("Baobab-Outcome"), "unknown")
			assert.Equal(t, handler.calls.Load(), int64(0))
		})
	}
}

func TestExpectContinueIsAnsweredBeforeTheBody(t *testing.T) {
	c := dialTest(t, startTest(t, Options{Handler: &echo{}}))
	r := bufio.NewReader(c)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	assert.NilError(t, err)
	res, _ := readAnswer(t, r, "POST")
	assert.Equal(t, res.StatusCode, http.StatusContinue)
	_, err = io.WriteString(c, "abc")
	assert.NilError(t, err)
	_, body := readAnswer(t, r, "POST")
	assert.Equal(t, body, "POST /a [abc]")
}

func TestSlowSenderIsRefused(t *testing.T) {
	for _, test := range []struct{ name, begin, outcome string }{
		// The rest of the head may hold a ticket with which the call ran before.
		{"head", "GET /a HTTP/1.1\r\nHost: a\r\n", "unknown"},
		{"body", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n", "not-run"},
		{"body with ticket", "POST /a HTTP/1.1\r\nHost: a\r\nBaobab-Ticket: a\r\nContent-Length: 30000\r\n\r\n", "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			handler := &echo{}
			c := dialTest(t, startTest(t, Options{Handler: handler, RequestTimeout: 100 * time.Millisecond}))
			_, err := io.WriteString(c, test.begin)
			assert.NilError(t, err)
			go func() {
				for {
					if _, err := io.WriteString(c, "X"); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			}()
			checkRefusedWith(t, c, http.StatusRequestTimeout, test.outcome)
			assert.Equal(t, handler.calls.Load(), int64(0))
		})
	}
}

func TestBodiesOverTheMemoryBoundAreRefused(t *testing.T) {
	hold := make(chan struct{})
	inside := make(chan struct{}, 1)
	s := startTest(t, Options{MemoryBytes: 60000, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		inside <- struct{}{}
		wait(r, hold)
	})})
	post := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n%s", strings.Repeat("a", 40000))
	first, second := dialTest(t, s), dialTest(t, s)
	_, err := io.WriteString(first, post)
	assert.NilError(t, err)
	<-inside
	_, err = io.WriteString(second, post)
	assert.NilError(t, err)
	checkRefused(t, second, http.StatusServiceUnavailable)
	close(hold)
	res, _ := readAnswer(t, bufio.NewReader(first), "POST")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	waitFor(t, func() bool { return s.budget.Used() == 0 })
}

// wait waits for the channel or the end of the caller's connection.
func wait(r *http.Request, hold <-chan struct{}) {
	select {
	case <-hold:
	case <-r.Context().Done():
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timeout")
	}
}
