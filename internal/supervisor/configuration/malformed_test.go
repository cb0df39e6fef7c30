package configuration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Guards against lists and versions that are taken from an answer which breaks the protocol.
func TestMalformedAnswerOfTheServiceSaysNothing(t *testing.T) {
	plans := string(standin.SamplePlans())
	const version = HeaderVersion + ": 9\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(plans), plans)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(plans), plans)
	for name, answer := range map[string]string{
		"status 000":                      "HTTP/1.1 000 X\r\n" + version + length,
		"status 000 as an interim answer": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + version + length,
		"blank behind a name":             "HTTP/1.1 200 OK\r\n" + version + "X : y\r\n" + length,
		"blank before a name":             "HTTP/1.1 200 OK\r\n" + version + " X: y\r\n" + length,
		"not modified":                    "HTTP/1.1 304 X\r\n" + version + "X : y\r\n\r\n",
		"blank in a name of a trailer":    "HTTP/1.1 200 OK\r\n" + version + chunks + "X : y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := standin.StartRawServer("raw", "configuration", func(c *standin.RawConn) { c.AnswerAll(answer) })
			assert.NilError(t, err)
			defer raw.Close()
			holder := &view.Holder{}
			c := control.New("127.0.0.1:1", holder, servers.NewRegistry(1<<20), journal.New(16))
			go func() { _ = c.Serve(t.Context()) }()
			source := Source{URL: "http://" + raw.Info.Address, Self: "127.0.0.1:1", DigestAge: func() time.Duration { return 0 }}
			w := NewWatcher(lists.PlansName, source, holder, c)
			found, err := w.get(t.Context(), 0, 0)
			assert.Assert(t, httpwire.IsMalformed(err), "version %d, %v", found, err)
			assert.ErrorContains(t, err, raw.Info.Address)
			c.Send(control.PeersAsked{})
			c.Send(control.StopRequested{})
			eventually(t, "the end of the events", func() bool { return holder.Load().Leaving })
			list := holder.Load().Lists[lists.PlansName]
			assert.Assert(t, list.Version == 0 && holder.Load().Plans == nil, "%+v", list)
		})
	}
}
