package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// pipelineInterval bounds the pause between two requests on a connection: some are
	// shorter than a request runs, some are longer.
	pipelineInterval = 2 * workTime
	// pipelineAnswer is the size of answers on slow links, in bytes.
	pipelineAnswer = 12 << 10
	// networkDelay is the time that an answer takes to its caller, who goes on sending.
	networkDelay = 3 * time.Millisecond
)

// pipeline is a connection on which a caller sends requests at intervals, whether those
// before are answered or not.
type pipeline struct {
	soak    *Soak
	gateway *gatewayNode
	raw     net.Conn
	slow    bool // the connection goes through the gateway's slow link

	mu      sync.Mutex
	pending []claim
	closing bool // an answer ends the connection, or the connection has ended
	ended   chan struct{}
}

// pipeliningCaller uses one connection after the other until the context ends.
func (s *Soak) pipeliningCaller(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		g := s.gateways[rng.IntN(len(s.gateways))]
		slow := rng.IntN(2) == 0
		raw, err := g.dial(slow)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		p := &pipeline{soak: s, gateway: g, raw: raw, slow: slow, ended: make(chan struct{})}
		go p.receive()
		pause := time.Duration(rng.Int64N(int64(pipelineInterval)))
		for end := time.Now().Add(connectionTime(rng)); ctx.Err() == nil && time.Now().Before(end) && p.send(); {
			time.Sleep(pause)
		}
		p.finish()
	}
}

// send sends a request. It returns false if the connection takes no more.
func (p *pipeline) send() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return false
	}
	c := newClaim("p", p.gateway)
	c.kind, c.behind, c.whole = "pipeline", len(p.pending) > 0, c.sent
	size := 0
	if p.slow {
		c.kind, size = "pipeline,slow link", pipelineAnswer
	}
	p.pending = append(p.pending, c)
	names := platform.Dialect()
	_, err := fmt.Fprintf(p.raw, "GET /%s?%s=%d HTTP/1.1\r\nHost: look.example\r\n%s: %s\r\n%s: %d\r\n\r\n", c.id, fake.SizeQuery, size, names.CallID, c.id, names.Deadline, callerDeadline.Milliseconds())
	return err == nil // the receiver sees the end of the connection too
}

// receive reads answers until the connection ends.
func (p *pipeline) receive() {
	defer close(p.ended)
	reader := bufio.NewReader(p.raw)
	for {
		if _, err := reader.Peek(1); err != nil {
			p.cut(err)
			return
		}
		time.Sleep(networkDelay)
		a, err := readAnswer(reader)
		if err != nil {
			p.cut(err)
			return
		}
		if p.answered(a) {
			return
		}
	}
}

// answered notes the answer to the oldest request, and returns true if it ends the
// connection. Requests behind it count as not read.
func (p *pipeline) answered(a answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		p.soak.violation("", "%s sent an answer that nobody had asked for: %d %v", p.gateway.id, a.status, a.header)
		return true
	}
	c := p.pending[0]
	p.pending = p.pending[1:]
	if id := a.header.Get(platform.Dialect().CallID); id != c.id && a.status == http.StatusOK {
		p.soak.violation(c.id, "the answer to %q in place of its own", id)
	}
	c.status, c.signed = a.status, a.header.Get(platform.Dialect().Signature) != ""
	c.endedBy(nil)
	p.soak.claimed(c)
	p.closing = a.closes
	if a.closes {
		p.soak.behindClosing(p.pending)
	}
	return a.closes
}

// cut notes the requests whose answers had not come when the connection ended.
func (p *pipeline) cut(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, c := range p.pending {
		c.endedBy(err)
		if p.slow {
			c.over(p.gateway.slow.Times(p.raw.LocalAddr()))
		}
		p.soak.claimed(c)
	}
}

// finish waits for the answers that are outstanding and closes the connection.
func (p *pipeline) finish() {
	_ = p.raw.SetReadDeadline(time.Now().Add(2 * callerDeadline))
	for end := time.Now().Add(2 * callerDeadline); time.Now().Before(end); time.Sleep(workTime) {
		p.mu.Lock()
		done := len(p.pending) == 0 || p.closing
		p.mu.Unlock()
		if done {
			break
		}
	}
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	_ = p.raw.Close()
	<-p.ended
}
