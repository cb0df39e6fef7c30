package httpserver

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
)

// large is an answer that fits no socket buffer.
const largeBytes = 8 << 20

func largeHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/large" {
		_, _ = io.WriteString(w, strings.Repeat("0123456789abcdef", largeBytes/16))
		return
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func smallBuffers(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
}

func TestLargeAnswerToSlowReaderThatClosesArrivesWhole(t *testing.T) {
	s := startTest(t, Options{MaxBodyBytes: largeBytes, Handler: http.HandlerFunc(largeHandler)})
	c := dialTest(t, s)
	smallBuffers(t, c)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	r := bufio.NewReader(c)
	res, body := readAnswer(t, r, http.MethodGet)
	assert.Assert(t, res.Close)
	assert.Equal(t, len(body), largeBytes)
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	waitFor(t, func() bool { return s.Busy() == 0 && s.open.Load() == 0 && s.budget.Used() == 0 })
}

func TestSlowReaderHoldsNoOneElseUp(t *testing.T) {
	s := startTest(t, Options{MaxBodyBytes: largeBytes, Handler: http.HandlerFunc(largeHandler)})
	for range 8 {
		slow := dialTest(t, s)
		smallBuffers(t, slow)
		_, err := io.WriteString(slow, strings.Repeat("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 4))
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return s.Busy() == 32 })
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, body := readAnswer(t, bufio.NewReader(c), http.MethodGet)
	assert.Equal(t, body, "/other")
	// Each connection holds one unsent answer, not all four.
	limit := int64(8 * (largeBytes + frameBytes))
	assert.Assert(t, int64(s.budget.Used()) <= limit, "%d bytes held", s.budget.Used())
}

func TestReaderThatStopsIsClosed(t *testing.T) {
	s := startTest(t, Options{MaxBodyBytes: largeBytes, WriteTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(largeHandler)})
	c := dialTest(t, s)
	smallBuffers(t, c)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return s.Busy() == 1 })
	waitFor(t, func() bool { return s.open.Load() == 0 })
	n, err := io.Copy(io.Discard, c)
	assert.Assert(t, n < largeBytes, "%d bytes, %v", n, err)
	waitFor(t, func() bool { return s.Busy() == 0 && s.budget.Used() == 0 })
}

// A write that had to wait leaves no timer behind that closes the connection.
func TestConnectionLivesOnAfterASlowRead(t *testing.T) {
	s := startTest(t, Options{MaxBodyBytes: largeBytes, WriteTimeout: time.Second, Handler: http.HandlerFunc(largeHandler)})
	c := dialTest(t, s)
	smallBuffers(t, c)
	r := bufio.NewReader(c)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, body := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, len(body), largeBytes)
	time.Sleep(1500 * time.Millisecond)
	_, err = io.WriteString(c, "GET /after HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, body = readAnswer(t, r, http.MethodGet)
	assert.Equal(t, body, "/after")
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := startTest(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	c := dialTest(t, s)
	var all strings.Builder
	for i := range 20 {
		fmt.Fprintf(&all, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	all.WriteString("GET /bad HTTP/1.1\r\n\r\n" + smuggled)
	_, err := io.WriteString(c, all.String())
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	for i := range 20 {
		_, body := readAnswer(t, r, http.MethodGet)
		assert.Equal(t, body, fmt.Sprintf("/%d", i))
	}
	res, _ := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestTooManyPipelinedRequestsAreRefused(t *testing.T) {
	hold := make(chan struct{})
	s := startTest(t, Options{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { wait(r, hold) })})
	c := dialTest(t, s)
	_, err := io.WriteString(c, strings.Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 2*maxPipelined))
	assert.NilError(t, err)
	waitFor(t, func() bool { return s.Busy() == maxPipelined+1 })
	close(hold)
	r := bufio.NewReader(c)
	for range maxPipelined {
		res, _ := readAnswer(t, r, http.MethodGet)
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	res, _ := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Baobab-Outcome"), "not-run")
}

func TestCallerThatGoesAwayCancelsItsCall(t *testing.T) {
	began, cancelled := make(chan struct{}), make(chan struct{})
	s := startTest(t, Options{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(cancelled)
	})})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	<-began
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(patience):
		t.Fatal("the call was not cancelled")
	}
	waitFor(t, func() bool { return s.Busy() == 0 && s.open.Load() == 0 })
}

// While a server drains, an answer ends its connection, and a request that was
// sent behind it on the connection is still answered.
func TestDrainEndsConnectionsAfterTheirAnswers(t *testing.T) {
	hold := make(chan struct{})
	s := startTest(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait(r, hold)
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return s.Busy() == 2 })
	s.Drain()
	close(hold)
	r := bufio.NewReader(c)
	res, body := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, body, "/1")
	assert.Assert(t, !res.Close)
	res, body = readAnswer(t, r, http.MethodGet)
	assert.Equal(t, body, "/2")
	assert.Assert(t, res.Close)
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	waitFor(t, func() bool { return s.Busy() == 0 })
}

func TestPanicIsAnsweredUnknown(t *testing.T) {
	s := startTest(t, Options{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") })})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	res, _ := readAnswer(t, bufio.NewReader(c), http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, res.Header.Get("Baobab-Outcome"), "unknown")
}
