package cli

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
)

// Guards against the state of an entry that is printed from an answer which breaks the protocol.
func TestMalformedAnswerOfAnEntryIsNotPrinted(t *testing.T) {
	const state = `{"Ready":true}`
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(state), state)
	for name, answer := range map[string]string{
		"status 000":                   "HTTP/1.1 000 X\r\n" + length,
		"blank behind a name":          "HTTP/1.1 200 OK\r\nX : y\r\n" + length,
		"blank in a name of a trailer": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX : y\r\n\r\n", len(state), state),
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := standin.StartRawServer("raw", "entry", func(c *standin.RawConn) { c.AnswerAll(answer) })
			assert.NilError(t, err)
			defer raw.Close()
			args := []string{"status", "--admin", raw.Info.Address}
			for _, args := range [][]string{args, append(args, "--json")} {
				var out, errOut bytes.Buffer
				assert.Equal(t, Run(args, &out, &errOut), exitFailed, "%s", out.String())
				assert.Equal(t, out.String(), "")
				assert.Assert(t, bytes.Contains(errOut.Bytes(), []byte("malformed response")), "%s", errOut.String())
			}
		})
	}
}
