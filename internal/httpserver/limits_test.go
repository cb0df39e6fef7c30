package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startLimited returns a listener whose limits may be changed.
func startLimited(t *testing.T, l Limits) (*Server, *atomic.Pointer[Limits]) {
	var now atomic.Pointer[Limits]
	now.Store(&l)
	return startTest(t, Options{Handler: &echo{}, Limits: func() Limits { return *now.Load() }}), &now
}

func requestOfSize(head, body int) string {
	start := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nX: ", body)
	const end = "\r\n\r\n"
	return start + strings.Repeat("x", head-len(start)-len(end)) + end + strings.Repeat("b", body)
}

func TestLimitsOfSizeFollowTheConfiguration(t *testing.T) {
	s, now := startLimited(t, Limits{HeadBytes: 500, BodyBytes: 50})
	for _, test := range []struct {
		name       string
		head, body int
		want       int
	}{
		{"both at their limits", 500, 50, http.StatusOK},
		{"head one byte longer", 501, 50, http.StatusRequestHeaderFieldsTooLarge},
		{"body one byte longer", 500, 51, http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := dialTest(t, s)
			_, err := io.WriteString(c, requestOfSize(test.head, test.body))
			assert.NilError(t, err)
			res, _ := readAnswer(t, bufio.NewReader(c), "POST")
			assert.Equal(t, res.StatusCode, test.want)
		})
	}
	c := dialTest(t, s)
	now.Store(&Limits{HeadBytes: 600, BodyBytes: 60})
	_, err := io.WriteString(c, requestOfSize(600, 60))
	assert.NilError(t, err)
	res, _ := readAnswer(t, bufio.NewReader(c), "POST")
	assert.Equal(t, res.StatusCode, http.StatusOK, "after larger limits")
}

func TestChunkedBodyOverTheLimitIsRefused(t *testing.T) {
	s, _ := startLimited(t, Limits{BodyBytes: 5})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\nabc\r\n0\r\n\r\n")
	assert.NilError(t, err)
	checkRefused(t, c, http.StatusRequestEntityTooLarge)
}

func TestHeadTimeoutDoesNotBoundTheBody(t *testing.T) {
	s, _ := startLimited(t, Limits{HeadTimeout: 60 * time.Millisecond})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab")
	assert.NilError(t, err)
	time.Sleep(150 * time.Millisecond)
	_, err = io.WriteString(c, "c")
	assert.NilError(t, err)
	_, body := readAnswer(t, bufio.NewReader(c), "POST")
	assert.Equal(t, body, "POST /a [abc]")

	slow := dialTest(t, s)
	_, err = io.WriteString(slow, "GET /a HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	begin := time.Now()
	checkRefusedWith(t, slow, http.StatusRequestTimeout, "unknown")
	assert.Assert(t, time.Since(begin) < 3*time.Second, "the listener's own bound is %s", DefaultRequestTimeout)
}

func TestIdleConnectionsCloseAtTheLimit(t *testing.T) {
	s, _ := startLimited(t, Limits{IdleTimeout: time.Second})
	c := dialTest(t, s)
	r := bufio.NewReader(c)
	for range 2 {
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		res, _ := readAnswer(t, r, "GET")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	begin := time.Now()
	_, err := r.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(begin) < 3*time.Second, "the listener's own bound is %s", defaultIdleTimeout)
}

// Each write ends in the middle of a request, so a request is always under way.
func TestPipelinedRequestsAreTimedOneByOne(t *testing.T) {
	s, _ := startLimited(t, Limits{HeadTimeout: time.Second})
	c := dialTest(t, s)
	r := bufio.NewReader(c)
	const begin, end = "GET /a HTTP/1.1\r\n", "Host: a\r\n\r\n"
	_, err := io.WriteString(c, begin)
	assert.NilError(t, err)
	for range 10 {
		time.Sleep(150 * time.Millisecond)
		_, err := io.WriteString(c, end+begin)
		assert.NilError(t, err)
		res, _ := readAnswer(t, r, "GET")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
}
