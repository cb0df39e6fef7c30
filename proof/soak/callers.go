package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/platform"
)

// claim is what a caller was told of one request.
type claim struct {
	id      string
	unsafe  bool
	status  int // 0 without an answer
	gateway *gatewayNode
	process time.Time // when the gateway's process started
	sent    time.Time
}

// newClaim returns the claim of a request to a gateway.
func newClaim(prefix string, g *gatewayNode) claim {
	started, _ := g.since()
	return claim{id: fmt.Sprintf("%s%d", prefix, serial.Add(1)), gateway: g, process: started, sent: time.Now()}
}

const (
	callerDeadline = 900 * time.Millisecond
	callerPause    = 40 * time.Millisecond
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
		c.unsafe = rng.IntN(3) == 0
		service := "look"
		if c.unsafe {
			service = "book"
		}
		c.status = s.request(client, c, service)
		s.claimed(c)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callerPause))))
	}
}

// request sends a request and checks that its answer is whole and its own.
func (s *Soak) request(client *http.Client, c claim, service string) int {
	method := http.MethodGet
	if c.unsafe {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+c.gateway.callers()+"/"+c.id, strings.NewReader(""))
	if err != nil {
		s.violation(c.id, "the request can't be made: %v", err)
		return 0
	}
	req.Host = service + ".example"
	names := platform.Dialect()
	req.Header.Set(names.CallID, c.id)
	req.Header.Set(names.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	if res.Header.Get(names.Leaving) != "" {
		s.heardLeaving(c.gateway, res.Header.Get(names.ServerID))
	}
	if want := fmt.Sprintf("%s %s /%s ", c.id, method, c.id); res.StatusCode == http.StatusOK && (string(body) != want || res.Header.Get(names.Signature) != "sig-"+c.id) {
		s.violation(c.id, "answer %q, signature %q, in place of its own", body, res.Header.Get(names.Signature))
	}
	return res.StatusCode
}

// watchVersions asks one gateway which configuration is in force: version n has a
// route for the host vn, and for the one before.
func (s *Soak) watchVersions(ctx context.Context, g *gatewayNode) {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var process time.Time
	seen := 0
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
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
	return s.request(client, c, fmt.Sprintf("v%d", version))
}
