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

// Guards against large bodies on slow links that are cut although they arrive steadily, and
// against callers that drip bytes so as not to count as silent.
func TestBodyMayTakeLongIfItArrivesAtTheLeastRate(t *testing.T) {
	const pieces, pieceBytes = 12, 1000
	for _, test := range []struct {
		name   string
		rate   int
		status int
	}{
		{"fast enough", 10_000, http.StatusOK},
		{"too slow", 1_000_000, http.StatusRequestTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := dialTest(t, startTest(t, Options{
				MaxBodyBytes: 1 << 20, RequestTimeout: 200 * time.Millisecond, MinBodyRate: test.rate,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					fmt.Fprint(w, len(body))
				}),
			}))
			_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes)
			assert.NilError(t, err)
			for range pieces { // 600 ms in all, at 20,000 bytes per second
				if _, err := io.WriteString(c, strings.Repeat("b", pieceBytes)); err != nil {
					break // closed after its refusal
				}
				time.Sleep(50 * time.Millisecond)
			}
			res, body := readAnswer(t, bufio.NewReader(c), http.MethodPost)
			assert.Equal(t, res.StatusCode, test.status)
			if test.status == http.StatusOK {
				assert.Equal(t, body, fmt.Sprint(pieces*pieceBytes))
			}
		})
	}
}

// Guards against connections that send nothing and keep others out, and against a caller that
// was served and loses its connection to newcomers.
func TestSilentConnectionMakesRoomForANewOne(t *testing.T) {
	const most = 8
	s := startTest(t, Options{MaxConnections: most, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })})
	served := dialTest(t, s)
	reader := bufio.NewReader(served)
	get := func(c net.Conn, r *bufio.Reader) {
		t.Helper()
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		res, _ := readAnswer(t, r, http.MethodGet)
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	get(served, reader)
	started := dialTest(t, s)
	_, err := io.WriteString(started, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nshort")
	assert.NilError(t, err)
	for range most - 2 {
		dialTest(t, s)
	}
	waitFor(t, func() bool { return s.Open() == most })
	time.Sleep(minSilence + 100*time.Millisecond)
	for range most - 1 {
		c := dialTest(t, s)
		get(c, bufio.NewReader(c))
		assert.Assert(t, s.Open() <= most+int(spareConnections*most))
		assert.NilError(t, c.Close())
		waitFor(t, func() bool { return s.Open() <= most })
	}
	get(served, reader)
}

// Guards against a body within the limits that never fits, because its head counts too.
func TestBodyMayTakeAllTheMemory(t *testing.T) {
	const size = 200_000
	s := startTest(t, Options{MaxBodyBytes: size, MemoryBytes: size + MaxHeadMemory, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, len(body))
	})})
	for range 2 {
		c := dialTest(t, s)
		_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
		assert.NilError(t, err)
		res, body := readAnswer(t, bufio.NewReader(c), http.MethodPost)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, body, fmt.Sprint(size))
	}
}

// Guards against first attempts on kept connections that are taken for possible retries.
func TestFirstRequestOnAConnectionIsTold(t *testing.T) {
	s := startTest(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, FirstOnConnection(r.Context())) })})
	for range 2 {
		c := dialTest(t, s)
		reader := bufio.NewReader(c)
		for _, want := range []string{"true", "false", "false"} {
			_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			_, body := readAnswer(t, reader, http.MethodGet)
			assert.Equal(t, body, want)
		}
	}
}
