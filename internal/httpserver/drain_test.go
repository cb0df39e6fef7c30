package httpserver

import (
	"bufio"
	"fmt"
	"io"
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
