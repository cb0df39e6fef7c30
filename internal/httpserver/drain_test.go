package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calledPaths is a handler that records the paths of its calls and answers after a delay.
type calledPaths struct {
	delay time.Duration
	mu    sync.Mutex
	paths []string
}

func (p *calledPaths) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.paths = append(p.paths, r.URL.Path)
	p.mu.Unlock()
	time.Sleep(p.delay)
	_, _ = io.WriteString(w, r.URL.Path)
}

func (p *calledPaths) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paths
}

// Guards against requests cut at the end of a stop: a client that pipelines always has a
// request waiting behind the answer being sent, and its connection was never ended.
func TestDrainEndsAConnectionThatPipelinesWithoutPause(t *testing.T) {
	handler := &calledPaths{delay: 50 * time.Millisecond}
	s := startTest(t, Options{Handler: handler})
	c := dialTest(t, s)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i) // fails once the server has closed
			}
		}
	}()
	r := bufio.NewReader(c)
	for range 5 {
		readAnswer(t, r, http.MethodGet)
	}
	s.Drain()
	begin := time.Now()
	answered := 5
	for last := false; !last; answered++ {
		res, body := readAnswer(t, r, http.MethodGet)
		assert.Equal(t, body, fmt.Sprintf("/%d", answered))
		last = res.Close
		assert.Assert(t, time.Since(begin) < time.Second, "the connection goes on after %d answers", answered)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(handler.list()), answered, "requests behind the closing answer must not run")
}

// Guards against a request that runs and gets no answer: it crossed the answer that ended
// its connection, so that its client sends it again.
func TestRequestBehindAClosingAnswerDoesNotRun(t *testing.T) {
	handler := &calledPaths{delay: 100 * time.Millisecond}
	s := startTest(t, Options{Handler: handler})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return s.Busy() == 1 })
	s.Drain()
	res, _ := readAnswer(t, bufio.NewReader(c), http.MethodGet)
	assert.Assert(t, res.Close)
	_, err = io.WriteString(c, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.DeepEqual(t, handler.list(), []string{"/1"})
	assert.Equal(t, s.Busy(), 0)
}

// Guards against a request that is cut at the end of a stop although its caller is still
// sending it: it must get an answer that says that it has not run.
func TestRefuseIncompleteAnswersRequestsThatAreNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"head":   "POST /2 HTTP/1.1\r\nHost: a\r\n",
		"length": "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
		"chunks": "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			handler := &calledPaths{delay: 100 * time.Millisecond}
			s := startTest(t, Options{Handler: handler})
			c := dialTest(t, s)
			_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+text)
			assert.NilError(t, err)
			waitFor(t, func() bool { return s.Busy() == 1 })
			s.Drain()
			s.CloseIdle()
			s.RefuseIncomplete()
			reader := bufio.NewReader(c)
			res, _ := readAnswer(t, reader, http.MethodGet)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			res, _ = readAnswer(t, reader, http.MethodPost)
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, res.Close)
			assert.DeepEqual(t, handler.list(), []string{"/1"})
			assert.NilError(t, c.Close())
			waitFor(t, func() bool { return s.Open() == 0 })
		})
	}
}

// Guards against an answer that a stop takes away from a caller that reads slowly: the kernel
// had the answer, the connection counted as idle and was closed, and the request that the
// caller sent next reset it.
func TestCloseIdleLeavesAnswersThatAreOnTheirWay(t *testing.T) {
	const size = 128 << 10
	called := make(chan struct{}, 2)
	s := startTest(t, Options{MaxBodyBytes: 2 * size, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		_, _ = w.Write(make([]byte, size))
	})})
	c := dialTest(t, s)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	const get = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err := io.WriteString(c, get)
	assert.NilError(t, err)
	<-called
	reader := bufio.NewReaderSize(&slowReader{c, 32 << 10, 5 * time.Millisecond}, 32<<10)
	res, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		waitFor(t, func() bool { return s.Busy() == 0 })
		s.CloseIdle()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, get) // fails if the connection is closed
	}()
	n, err := io.Copy(io.Discard, res.Body)
	assert.NilError(t, err, "after %d bytes", n)
	<-stop
}

// slowReader reads a number of bytes at most at a time, with a pause before each.
type slowReader struct {
	io.Reader
	bytes int
	pause time.Duration
}

func (r *slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(b[:min(len(b), r.bytes)])
}

// Guards against an answer that is lost because its connection was closed while the caller,
// who had not seen it yet, went on sending.
func TestLingerLastsWhileTheCallerGoesOnSending(t *testing.T) {
	s := startTest(t, Options{Handler: &echo{}})
	s.Drain()
	c := dialTest(t, s)
	const get = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	for begin := time.Now(); time.Since(begin) < lingerTimeout+lingerTimeout/2; time.Sleep(20 * time.Millisecond) {
		_, err := io.WriteString(c, get)
		assert.NilError(t, err, "after %s", time.Since(begin))
	}
	res, _ := readAnswer(t, bufio.NewReader(c), http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	begin := time.Now()
	waitFor(t, func() bool { return s.Open() == 0 })
	assert.Assert(t, time.Since(begin) < 2*lingerTimeout, "a silent connection is closed")
}
