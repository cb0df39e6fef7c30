package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

// A booking hidden in the body of a request never reaches a server, and another
// caller's answer stays its own.
func TestSmuggledBookingNeverRuns(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1})
	entry := fleet.Entries[0]
	key := "Host: a\r\nAuthorization: Bearer " + standin.SampleKey + "\r\n"
	hidden := "POST /moves/book HTTP/1.1\r\n" + key + "Content-Length: 8\r\n\r\nsmuggled"
	for i, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5),
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"Content-Length: +0\r\n\r\n",
		"Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
		"Content-Length : 5\r\n\r\n",
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\nX:y\r\n\r\n",
	} {
		c, err := net.Dial("tcp", entry.Callers)
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = io.WriteString(c, "POST /moves/book HTTP/1.1\r\n"+key+framing+hidden)
		assert.NilError(t, err)
		r := bufio.NewReader(c)
		res, err := http.ReadResponse(r, nil)
		assert.NilError(t, err, framing)
		assert.Equal(t, res.Header.Get(call.HeaderOutcome), "not-run", framing)
		rest, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(rest), "smuggled"))
		_, err = r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		c.Close()

		target := fmt.Sprintf("/stock/lookup?box=%d", i)
		answer, err := standin.Call(ctx, http.MethodGet, entry.URL()+target, "", nil)
		assert.NilError(t, err)
		checkAnswer(t, answer, target, "")
	}
	for _, s := range fleet.Servers {
		for _, run := range s.Ran() {
			assert.Assert(t, run.Target != "/moves/book", "%v", run)
		}
	}
}
