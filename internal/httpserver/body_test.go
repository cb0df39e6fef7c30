package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// bodyServer answers with bodies of the size that the path names, counted by a budget.
func bodyServer(t *testing.T, o Options) (*Server, *memory.FairBudget) {
	budget := memory.NewFairBudget(1 << 30)
	o.MaxBodyBytes = largeBytes
	o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			panic(err)
		}
		body := budget.NewBody()
		if err := body.Append(r.Context(), pattern(size)); err != nil {
			panic(err)
		}
		SendBody(w, body)
		if r.Header.Get("Fail") != "" {
			panic("for the test")
		}
	})
	return startTest(t, o), budget
}

// sample holds bytes that are not the same in each chunk.
var sample = func() []byte {
	out := make([]byte, largeBytes)
	for i := range out {
		out[i] = byte('a' + (i+i/977)%26)
	}
	return out
}()

func pattern(size int) []byte { return sample[:size] }

func ask(t *testing.T, c net.Conn, method string, size int) {
	t.Helper()
	_, err := fmt.Fprintf(c, "%s /%d HTTP/1.1\r\nHost: a\r\n\r\n", method, size)
	assert.NilError(t, err)
}

func TestBodiesOfAllSizesArriveWhole(t *testing.T) {
	s, budget := bodyServer(t, Options{})
	c := dialTest(t, s)
	r := bufio.NewReader(c)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 36863, 36864, 36865, 1 << 20, largeBytes} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			ask(t, c, method, size)
			res, body := readAnswer(t, r, method)
			assert.Equal(t, res.ContentLength, int64(size))
			if method != http.MethodHead {
				assert.Assert(t, body == string(pattern(size)), "%s %d: %d bytes", method, size, len(body))
			}
		}
	}
	waitFor(t, func() bool { return s.Busy() == 0 })
	assert.Equal(t, budget.Used(), 0)
}

// Guards against slow readers that hold more memory than is counted.
func TestAnswerIsCountedUntilItIsRead(t *testing.T) {
	s, budget := bodyServer(t, Options{})
	c := dialTest(t, s)
	smallBuffers(t, c)
	ask(t, c, http.MethodGet, largeBytes)
	waitFor(t, func() bool { return budget.Used() > 0 })
	time.Sleep(100 * time.Millisecond)
	held := budget.Used()
	assert.Assert(t, held > largeBytes/4, "%d bytes", held)
	var queued int64
	s.conns.Range(func(key, _ any) bool {
		queued = key.(*conn).wire.unsent()
		return true
	})
	assert.Assert(t, queued > 0 && queued <= pieceBytes, "the engine holds %d bytes", queued)
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.CopyN(io.Discard, res.Body, largeBytes-largeBytes/8)
	assert.NilError(t, err)
	waitFor(t, func() bool { return budget.Used() < held/2 })
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	waitFor(t, func() bool { return s.Busy() == 0 })
	assert.Equal(t, budget.Used(), 0)
}

// Guards against answers that wait behind another one and are not counted.
func TestPipelinedAnswersAreCounted(t *testing.T) {
	const answers, size = 5, 1 << 20
	s, budget := bodyServer(t, Options{})
	c := dialTest(t, s)
	smallBuffers(t, c)
	ask(t, c, http.MethodGet, largeBytes)
	for range answers {
		ask(t, c, http.MethodGet, size)
	}
	waitFor(t, func() bool { return s.Busy() == answers+1 })
	waitFor(t, func() bool { return budget.Used() >= answers*size })
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, budget.Used() >= answers*size, "%d bytes", budget.Used())
	r := bufio.NewReader(c)
	_, body := readAnswer(t, r, http.MethodGet)
	assert.Equal(t, len(body), largeBytes)
	for range answers {
		_, body = readAnswer(t, r, http.MethodGet)
		assert.Assert(t, body == string(pattern(size)))
	}
	waitFor(t, func() bool { return s.Busy() == 0 })
	assert.Equal(t, budget.Used(), 0)
}

// Guards against memory that is lost with connections that end before their answers are read.
func TestConnectionThatEndsReturnsItsMemory(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(net.Conn)
	}{
		{"the caller leaves", func(c net.Conn) { _ = c.Close() }},
		{"the caller reads nothing", func(net.Conn) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, budget := bodyServer(t, Options{WriteTimeout: 500 * time.Millisecond})
			c := dialTest(t, s)
			smallBuffers(t, c)
			for range 4 {
				ask(t, c, http.MethodGet, largeBytes)
			}
			waitFor(t, func() bool { return budget.Used() > 2*largeBytes })
			test.end(c)
			waitFor(t, func() bool { return budget.Used() == 0 })
		})
	}
}

// Guards against a cut answer that looks whole: the caller must see that bytes are missing.
func TestAnswerThatIsNotReadInTimeIsNotWhole(t *testing.T) {
	s, budget := bodyServer(t, Options{WriteTimeout: 200 * time.Millisecond})
	c := dialTest(t, s)
	smallBuffers(t, c)
	_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", largeBytes)
	assert.NilError(t, err)
	waitFor(t, func() bool { return budget.Used() > 0 })
	waitFor(t, func() bool { return budget.Used() == 0 })
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.ContentLength, int64(largeBytes))
	_, err = io.Copy(io.Discard, res.Body)
	assert.Assert(t, err != nil)
}

func TestPanicReturnsTheMemoryOfItsAnswer(t *testing.T) {
	s, budget := bodyServer(t, Options{})
	c := dialTest(t, s)
	_, err := io.WriteString(c, "GET /100000 HTTP/1.1\r\nHost: a\r\nFail: 1\r\n\r\n")
	assert.NilError(t, err)
	res, body := readAnswer(t, bufio.NewReader(c), http.MethodGet)
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	assert.Assert(t, !strings.Contains(body, string(pattern(100))))
	assert.Equal(t, budget.Used(), 0)
}

func TestSendBodyToAnyWriter(t *testing.T) {
	budget := memory.NewFairBudget(1 << 20)
	body := budget.NewBody()
	assert.NilError(t, body.Append(context.Background(), pattern(100_000)))
	w := httptest.NewRecorder()
	SendBody(w, body)
	assert.Assert(t, bytes.Equal(w.Body.Bytes(), pattern(100_000)))
	assert.Equal(t, budget.Used(), 0)
}
