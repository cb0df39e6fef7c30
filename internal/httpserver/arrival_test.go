package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestArrivalTimeTellsWhichPipelinedRequestWasSlow(t *testing.T) {
	s := startTest(t, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(ArrivalTime(r.Context()).Milliseconds(), 10))
	})})
	c := dialTest(t, s)
	const get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err := io.WriteString(c, get+get+"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb")
	assert.NilError(t, err)
	time.Sleep(2 * slowArrival)
	_, err = io.WriteString(c, "c"+get)
	assert.NilError(t, err)
	reader := bufio.NewReader(c)
	for i, slow := range []bool{false, false, true, false} {
		_, body := readAnswer(t, reader, http.MethodGet)
		ms, err := strconv.Atoi(body)
		assert.NilError(t, err)
		assert.Equal(t, time.Duration(ms)*time.Millisecond >= slowArrival, slow, "request %d: %d ms", i, ms)
		assert.Assert(t, slow || ms == 0, "request %d: %d ms", i, ms)
	}
}
