package httpserver

import (
	"bytes"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

type part int

const (
	inHead part = iota
	inLength
	inChunks
)

// guard checks a connection's bytes before the parser gets them.
type guard struct {
	parser *nbhttp.Parser
	part   part
	head   []byte    // of a head that is not whole
	limits Limits    // in force when the request began
	began  time.Time // when its first byte came
	scan   headScanner
	chunks chunkScanner
	left   int // bytes of the body with a length
	body   int // bytes of the body held so far
	close  bool
	ticket bool // the request carries a ticket, or may
	done   bool // no more bytes are taken
}

// started reports whether a request has begun and is not whole.
func (g *guard) started() bool { return g.part != inHead || g.scan.size > 0 }

// Parse takes bytes read from the connection. It implements
// nbhttp.ParserCloser.
func (c *conn) Parse(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(data) > 0 && !c.guard.done {
		n, r := c.step(data)
		if r != nil {
			c.guard.ticket = c.guard.ticket || carriesTicket(c.guard.head, data)
			c.refuse(r)
			return nil
		}
		data = data[n:]
	}
	if c.guard.done {
		c.heardAt = time.Now()
	}
	c.watchSender()
	return nil
}

// step takes bytes of one part of a request and returns their number.
func (c *conn) step(data []byte) (int, *refusal) {
	switch c.guard.part {
	case inLength:
		n := min(c.guard.left, len(data))
		c.guard.left -= n
		return n, c.passBody(data[:n], c.guard.left == 0)
	case inChunks:
		n, whole, r := c.guard.chunks.scan(data, c.guard.limits.BodyBytes)
		if r != nil {
			return 0, r
		}
		return n, c.passBody(data[:n], whole)
	default:
		return c.takeHead(data)
	}
}

func (c *conn) takeHead(data []byte) (int, *refusal) {
	g := &c.guard
	if !g.started() {
		g.limits, g.began = c.server.limits(), time.Now()
	}
	n, whole, r := g.scan.scan(data, g.limits.HeadBytes)
	if r != nil {
		return 0, r
	}
	if !whole {
		g.head = append(g.head, data...)
		return n, nil
	}
	head := data[:n]
	if len(g.head) > 0 {
		head = append(g.head, head...)
		g.head = nil
	}
	c.stopTimer()
	f, r := checkHead(head, g.limits.BodyBytes, maxHeaders)
	if r != nil {
		return 0, r
	}
	g.close, g.ticket = f.close, f.ticket
	if f.chunked || f.length > 0 {
		c.beginBody(f, len(data) > n)
		return n, c.pass(head)
	}
	if r := c.complete(); r != nil {
		return 0, r
	}
	return n, c.pass(head)
}

func (c *conn) beginBody(f framing, more bool) {
	c.guard.part, c.guard.left = inLength, f.length
	if f.chunked {
		c.guard.part = inChunks
	}
	if f.expectContinue && !more {
		c.nbc.Execute(func() { go c.sayContinue(c.takeTurn()) })
	}
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

func (c *conn) sayContinue(t turn) {
	defer t.end()
	t.wait()
	if !c.wire.last.Load() {
		_, _ = c.Write(continueLine)
	}
}

func (c *conn) passBody(data []byte, whole bool) *refusal {
	if !c.server.budget.Reserve(len(data)) {
		return refuseMemory
	}
	c.guard.body += len(data)
	if whole {
		if r := c.complete(); r != nil {
			return r
		}
	}
	return c.pass(data)
}

// pass gives checked bytes to the parser.
func (c *conn) pass(data []byte) *refusal {
	if c.guard.parser.Parse(data) != nil {
		return refuseMalformed
	}
	return nil
}

// complete notes that the request ends with the bytes to be passed next. A request that
// is read while the server drains is the last of its connection: its answer says so, and
// clients send again what they sent behind it.
func (c *conn) complete() *refusal {
	if len(c.pending) >= maxPipelined {
		return refusePipeline
	}
	g := &c.guard
	c.stopTimer()
	g.close = g.close || c.server.draining.Load()
	c.arrived = append(c.arrived, time.Since(g.began))
	c.push(request{body: g.body, close: g.close})
	g.part, g.body, g.ticket, g.done = inHead, 0, false, g.close
	return nil
}

func (c *conn) push(r request) {
	c.pending = append(c.pending, r)
	c.server.busy.Add(1)
	_ = c.nbc.SetReadDeadline(time.Now().Add(answerTimeout))
}

// refuse answers a request that is not accepted, after the answers to those
// before it, and ends the connection. It claims nothing about earlier sendings of
// a call with a ticket: only the ticket's owner may say that it was not run.
func (c *conn) refuse(r *refusal) {
	claim := outcome.NotRun
	if c.guard.ticket {
		claim = outcome.Unknown
	}
	c.guard.done = true
	c.stopTimer()
	c.server.budget.Release(c.guard.body)
	c.guard.body = 0
	c.server.counters.refused(r.reason)
	c.push(request{close: true})
	c.nbc.Execute(func() {
		t := c.takeTurn()
		defer t.end()
		t.wait()
		if _, ok := c.next(); ok {
			c.send(refusalAnswer(r, claim), http.MethodGet, true)
			c.answered()
		}
	})
}

// carriesTicket reports whether the bytes of a refused head, which came in two
// pieces, name a ticket.
func carriesTicket(first, second []byte) bool {
	head := bytes.ToLower(append(bytes.Clone(first), second[:min(len(second), maxHeadBytes)]...))
	return bytes.Contains(head, ticketName)
}

var ticketName = bytes.ToLower([]byte(call.HeaderTicket))

// watchSender bounds the time that a request takes to arrive: first that of its
// head, then that of the whole.
func (c *conn) watchSender() {
	if !c.guard.started() || c.guard.done {
		c.stopTimer()
		return
	}
	if c.timer != nil {
		return
	}
	_ = c.nbc.SetReadDeadline(time.Now().Add(answerTimeout))
	var timer *time.Timer
	bound := c.server.options.RequestTimeout
	if c.guard.part == inHead {
		bound = c.guard.limits.HeadTimeout
	}
	timer = time.AfterFunc(time.Until(c.guard.began.Add(bound)), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timer == timer && !c.guard.done {
			c.guard.ticket = c.guard.ticket || c.guard.part == inHead
			c.refuse(refuseSlow)
		}
	})
	c.timer = timer
}

func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
