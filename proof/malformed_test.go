package proof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// malformedAnswer is an answer that breaks the protocol. HEAD stands for lines that a server
// adds to its answers, and that must not be believed here.
type malformedAnswer struct {
	name, text string
	// ends says that the server closes the connection behind the answer.
	ends bool
}

func (m malformedAnswer) with(head string) string { return strings.Replace(m.text, "HEAD", head, 1) }

const (
	// malformedDeadline is the deadline of requests whose answers are malformed. The callers
	// must hear of it long before, within malformedAtOnce.
	malformedDeadline = 8 * time.Second
	malformedAtOnce   = 2 * time.Second
)

var malformedStatuses = []malformedAnswer{
	{"status 000", "HTTP/1.1 000 X\r\nHEADContent-Length: 0\r\n\r\n", false},
	{"status 000 as an interim answer", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello", false},
	{"status 000 behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nHEADContent-Length: 0\r\n\r\n", false},
	{"status 600", "HTTP/1.1 600 X\r\nHEADContent-Length: 0\r\n\r\n", false},
}

func TestGatewaysPassOnNoAnswerWithoutAValidStatus(t *testing.T) {
	testGatewaysWithMalformedAnswers(t, malformedStatuses)
}

func TestEntriesPassOnNoAnswerWithoutAValidStatus(t *testing.T) {
	testEntriesWithMalformedAnswers(t, malformedStatuses)
}

// testGatewaysWithMalformedAnswers lets all servers give a malformed answer to a booking, and
// one server to a lookup.
func testGatewaysWithMalformedAnswers(t *testing.T, answers []malformedAnswer) {
	t.Helper()
	f := startGatewayFleet(t, gatewayFleetOptions{Timeout: malformedDeadline})
	names := platform.Dialect()
	told := names.CallID + ": " + fake.RawID + "\r\n" + names.Signature + ": y\r\n" + names.Leaving + ": 1\r\nRetry-After: 60\r\n" +
		names.NotRun + ": 1\r\n" + names.Load + ": 9,9,9\r\n"
	for _, m := range answers {
		t.Run(m.name, func(t *testing.T) {
			for _, s := range f.servers {
				s.AnswerRaw(m.with(told), m.ends)
			}
			for _, host := range f.hosts {
				id := fmt.Sprintf("%016x", rand.Uint64())
				begin := time.Now()
				status, body := askGateway(t, host, "book", id)
				assert.Check(t, status == http.StatusBadGateway, "status %d, body %q", status, body)
				assert.Check(t, time.Since(begin) < malformedAtOnce, "%s", time.Since(begin))
				runs := 0
				for _, s := range f.servers {
					for _, r := range s.Runs() {
						if r.CallID == id {
							runs++
						}
					}
				}
				assert.Check(t, runs == 1, "%d runs", runs)
			}
			for _, s := range f.servers[1:] {
				s.AnswerRaw("", false)
			}
			for range 4 {
				id := fmt.Sprintf("%016x", rand.Uint64())
				status, body := askGateway(t, f.hosts[0], "look", id)
				own := status == http.StatusOK && body == id+" GET /x "
				// The retry budget may be used up, and is small until the fleet is known.
				assert.Check(t, own || status == http.StatusBadGateway, "status %d, body %q", status, body)
			}
			f.servers[0].AnswerRaw("", false)
			f.awaitWork(t)
		})
	}
}

// Guards against health checks that are believed although their answers break the protocol: the
// server would be left alone for good, or be taken for one that has room.
func TestGatewaysTakeNothingFromAMalformedHealthCheck(t *testing.T) {
	f := startGatewayFleet(t, gatewayFleetOptions{Timeout: malformedDeadline})
	names := platform.Dialect()
	told := names.ServerID + ": i-0\r\n" + names.Leaving + ": 1\r\nRetry-After: 60\r\n" + names.Load + ": 0,0,99\r\n"
	for _, m := range append(malformedStatuses[:1:1], malformedFields[0], malformedEnds[0]) {
		f.servers[0].AnswerChecksRaw(m.with(told))
		for range 10 {
			for _, host := range f.hosts {
				id := fmt.Sprintf("%016x", rand.Uint64())
				status, body := askGateway(t, host, "look", id)
				assert.Check(t, status == http.StatusOK && body == id+" GET /x ", "%s: status %d, body %q", m.name, status, body)
			}
		}
		f.servers[0].AnswerChecksRaw("")
		f.awaitWork(t)
	}
	log, err := os.ReadFile(f.logs[0])
	assert.NilError(t, err)
	for _, want := range []string{"status code is not from 100 to 599", "invalid field name"} {
		assert.Check(t, strings.Contains(string(log), "health check failed: read the answer: malformed response: "+want), "no log line of: %s", want)
	}
	assert.Check(t, strings.Contains(string(log), "server=i-0"))
}

// awaitWork waits until each server has got a request, so none is taken for a leaving one.
func (f *gatewayFleet) awaitWork(t *testing.T) {
	t.Helper()
	for i, s := range f.servers {
		_, before := s.Counts()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, _ = askGateway(t, f.hosts[i], "look", fmt.Sprintf("%016x", rand.Uint64()))
			if _, now := s.Counts(); now > before {
				return poll.Success()
			}
			return poll.Continue("server %d gets no requests", i)
		}, poll.WithTimeout(10*time.Second))
	}
}

// askGateway sends a lookup or a booking and returns the answer; the status is 0 if there is none.
func askGateway(t *testing.T, host, route, id string) (status int, body string) {
	t.Helper()
	method := http.MethodGet
	if route == "book" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/x", host, standin.GatewayCallersPort), nil)
	assert.NilError(t, err)
	req.Host = route + ".example"
	names := platform.Dialect()
	req.Header.Set(names.CallID, id)
	req.Header.Set(names.Deadline, fmt.Sprint(malformedDeadline.Milliseconds()))
	client := &http.Client{Timeout: 2 * malformedDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

// testEntriesWithMalformedAnswers lets a server give a malformed answer to bookings, of which
// half go through another entry.
func testEntriesWithMalformedAnswers(t *testing.T, answers []malformedAnswer) {
	t.Helper()
	const told = call.HeaderNotStarted + ": true\r\n" + call.HeaderState + ": leaving\r\n" + call.HeaderLoad + ": 0\r\n"
	for _, m := range answers {
		t.Run(m.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			raw := startRaw(t, "moves-raw", "moves", func(c *standin.RawConn) {
				for {
					if run, err := c.Run(); err != nil || run.Target == "/_load" {
						return
					}
					if c.Send(m.with(told)); m.ends {
						return
					}
				}
			})
			fleet := rawFleet(ctx, t, 2, raw)
			for i, e := range fleet.Entries {
				for _, ticket := range []string{"", mint(ctx, t, fleet.Entries[0])} {
					body := fmt.Sprintf("order %d %s", i, ticket)
					begin := time.Now()
					res := book(ctx, e, ticket, body, malformedDeadline)
					assert.Check(t, outcomeOf(res) == "unknown" && res.Status == http.StatusBadGateway, "%s, status %d, body %q", outcomeOf(res), res.Status, res.Body)
					assert.Check(t, time.Since(begin) < malformedAtOnce, "%s", time.Since(begin))
					assert.Check(t, ranRaw(raw, body) == 1, "%d runs", ranRaw(raw, body))
				}
			}
		})
	}
}

var malformedFields = []malformedAnswer{
	{"blank before the colon", "HTTP/1.1 200 OK\r\nHEADX : y\r\nContent-Length: 5\r\n\r\nhello", false},
	{"blank behind Content-Length, body cut", "HTTP/1.1 200 OK\r\nHEADContent-Length : 50\r\n\r\nhello", true},
	{"blank before Content-Length, body cut", "HTTP/1.1 200 OK\r\nHEAD Content-Length: 50\r\n\r\nhello", true},
	{"LF before Content-Length, body cut", "HTTP/1.1 200 OK\r\nHEAD\nContent-Length: 50\r\n\r\nhello", true},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nHEADX\x01: y\r\nContent-Length: 5\r\n\r\nhello", false},
	{"blank in a name of an interim answer", "HTTP/1.1 103 X\r\nLink : y\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 5\r\n\r\nhello", false},
}

func TestGatewaysPassOnNoAnswerWithAMalformedField(t *testing.T) {
	testGatewaysWithMalformedAnswers(t, malformedFields)
}

func TestEntriesPassOnNoAnswerWithAMalformedField(t *testing.T) {
	testEntriesWithMalformedAnswers(t, malformedFields)
}

var malformedEnds = []malformedAnswer{
	{"blank in the name of a trailer", "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX : y\r\n\r\n", false},
	{"control byte behind the size of a chunk", "HTTP/1.1 503 X\r\nHEADTransfer-Encoding: chunked\r\n\r\n5;a\x00\r\nhello\r\n0\r\n\r\n", false},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
}

func TestGatewaysPassOnNoAnswerWithAMalformedEnd(t *testing.T) {
	testGatewaysWithMalformedAnswers(t, malformedEnds)
}

func TestEntriesPassOnNoAnswerWithAMalformedEnd(t *testing.T) {
	testEntriesWithMalformedAnswers(t, malformedEnds)
}
