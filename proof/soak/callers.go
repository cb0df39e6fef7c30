package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// claim is what a caller was told of one request.
type claim struct {
	id      string
	kind    string // how the caller sends and reads
	unsafe  bool
	status  int  // 0 without an answer
	signed  bool // the answer bears a server's signature
	gateway *gatewayNode
	process time.Time // when the gateway's process started
	// sent is when the request's first byte was sent, whole when its last one was, and ended
	// when its answer was complete or its connection had ended.
	sent, whole, ended time.Time
	// there is when its last byte had reached the gateway, if that is later than whole.
	there time.Time
	// limit is the shorter of the deadline and the route's timeout, from sent.
	limit time.Duration
	// lost says that the connection ended without a complete answer, and not by the caller.
	lost bool
	// behind says that it was sent behind others on its connection.
	behind bool
}

// service returns the service that the request is for.
func (c *claim) service() string {
	if c.unsafe {
		return "book"
	}
	return "look"
}

// newClaim returns the claim of a request to a gateway.
func newClaim(prefix string, g *gatewayNode) claim {
	started, _ := g.since()
	return claim{id: fmt.Sprintf("%s%d", prefix, serial.Add(1)), gateway: g, process: started, sent: time.Now(), limit: callerDeadline}
}

const (
	callerDeadline = 900 * time.Millisecond
	callerPause    = 40 * time.Millisecond
	// versionInterval is the interval at which each of ten gateways is asked for its
	// configuration; more of them are asked more seldom.
	versionInterval = 100 * time.Millisecond
)

var serial atomic.Uint64

// caller sends requests until the context ends, and keeps its connections open
// until the gateway closes them.
func (s *Soak) caller(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: 2 * callerDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		g := s.gateways[rng.IntN(len(s.gateways))]
		c := newClaim("r", g)
		c.kind, c.unsafe = "plain", rng.IntN(3) == 0
		s.request(client, &c, c.service())
		s.claimed(c)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callerPause))))
	}
}

// request sends a request, checks that its answer is whole and its own, and notes in the
// claim what became of it. It returns the status, or 0.
func (s *Soak) request(client *http.Client, c *claim, host string) int {
	method := http.MethodGet
	if c.unsafe {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+c.gateway.callers()+"/"+c.id, http.NoBody)
	if err != nil {
		s.violation(c.id, "the request can't be made: %v", err)
		return 0
	}
	var whole atomic.Pointer[time.Time]
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if now := time.Now(); w.Err == nil {
				whole.Store(&now)
			}
		},
	}))
	req.Host = host + ".example"
	names := platform.Dialect()
	req.Header.Set(names.CallID, c.id)
	req.Header.Set(names.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	res, err := client.Do(req)
	var body []byte
	if err == nil {
		body, err = readBody(res.Body)
		_ = res.Body.Close()
	}
	if at := whole.Load(); at != nil {
		c.whole = *at
	}
	c.endedBy(err)
	if err != nil {
		return 0
	}
	c.status = res.StatusCode
	s.checkAnswer(c, res.Header, body, fake.AnswerBody(c.id, method, "/"+c.id, nil))
	return c.status
}

// maxAnswer is the most that callers read of a body, in bytes. Servers that send without
// end send more.
const maxAnswer = 3 << 20

var errTooLong = errors.New("the body is longer than any that was asked for")

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		return nil, errTooLong
	}
	return body, err
}

// answer is an answer as read from a connection.
type answer struct {
	status int
	header http.Header
	body   []byte
	closes bool // it ends its connection
}

func readAnswer(reader *bufio.Reader) (answer, error) {
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readBody(res.Body)
	return answer{res.StatusCode, res.Header, body, res.Close}, err
}

// endedBy notes the end of a request: its answer is complete, or an error ended it.
func (c *claim) endedBy(err error) {
	var late net.Error
	own := errors.Is(err, errTooLong) || errors.As(err, &late) && late.Timeout() || errors.Is(err, net.ErrClosed)
	c.ended, c.lost = time.Now(), err != nil && !own
}

// over notes what a slow link knows of the request's connection: it holds bytes back, and
// more than it should while the machine is busy.
func (c *claim) over(link standin.LinkTimes) {
	c.there = link.Sent
	if link.Sent.IsZero() {
		c.whole = time.Time{} // the gateway took no connection
	}
	if c.lost && !link.Ended.IsZero() {
		c.ended = link.Ended
	}
}

// checkAnswer checks that a success is the server's whole answer to the request.
func (s *Soak) checkAnswer(c *claim, header http.Header, body, want []byte) {
	names := platform.Dialect()
	c.signed = header.Get(names.Signature) != ""
	if header.Get(names.Leaving) != "" {
		s.heardLeaving(c.gateway, header.Get(names.ServerID))
	}
	if c.status == http.StatusOK && (!bytes.Equal(body, want) || header.Get(names.Signature) != "sig-"+c.id) {
		s.violation(c.id, "answer of %d bytes, %.80q, signature %q, in place of its own of %d bytes", len(body), body, header.Get(names.Signature), len(want))
	}
}

// watchVersions asks one gateway which configuration is in force: version n has a
// route for the host vn, and for the one before.
func (s *Soak) watchVersions(ctx context.Context, g *gatewayNode) {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var process time.Time
	seen := 0
	for ctx.Err() == nil {
		time.Sleep(versionInterval * time.Duration(max(1, len(s.gateways)/10)))
		started, calm := g.since()
		if !started.Equal(process) {
			process, seen = started, 0
		}
		newest, since := s.configured()
		status := s.askVersion(client, g, newest)
		if again, _ := g.since(); !again.Equal(process) {
			continue
		}
		if status == http.StatusOK {
			seen = max(seen, newest)
		}
		if status == http.StatusNotFound && s.calmFor(configBound, since, calm, s.storeCalm()) {
			s.violation("", "%s does not have version %d in force, %s after it was written", g.id, newest, time.Since(since).Round(time.Millisecond))
		}
		if seen > 2 && s.askVersion(client, g, seen-2) == http.StatusOK {
			if again, _ := g.since(); again.Equal(process) {
				s.violation("", "%s went back to version %d or older after version %d", g.id, seen-2, seen)
			}
		}
	}
}

func (s *Soak) askVersion(client *http.Client, g *gatewayNode, version int) int {
	c := claim{id: fmt.Sprintf("v%d", serial.Add(1)), gateway: g}
	return s.request(client, &c, fmt.Sprintf("v%d", version))
}
