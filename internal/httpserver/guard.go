package httpserver

import (
	"bytes"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/memory"
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
	head   []byte    // the head, whole or not
	limits Limits    // in force when the request began
	began  time.Time // when its first byte came
	scan   headScanner
	chunks chunkScanner
	left   int // bytes of the body with a length that are to come
	body   memory.RequestBody
	// receipt counts what the request holds; nil before its first byte.
	receipt *memory.Receipt
	close   bool
	ticket  bool // the request carries a ticket, or may
	done    bool // no more bytes are taken
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
	c.heardAt = time.Now()
	c.watchSender()
	return nil
}

// step takes bytes of one part of a request and returns their number.
func (c *conn) step(data []byte) (int, *refusal) {
	switch c.guard.part {
	case inLength:
		n := min(c.guard.left, len(data))
		if r := c.keepBody(data[:n]); r != nil {
			return 0, r
		}
		c.guard.left -= n
		if c.guard.left > 0 {
			return n, nil
		}
		return n, c.complete()
	case inChunks:
		n, whole, r := c.guard.chunks.scan(data, c.guard.limits.BodyBytes, c.keepBody)
		if r != nil || !whole {
			return n, r
		}
		return n, c.complete()
	default:
		return c.takeHead(data)
	}
}

func (c *conn) takeHead(data []byte) (int, *refusal) {
	g := &c.guard
	if !g.started() {
		g.limits, g.began = c.server.limits(), time.Now()
		g.receipt = c.beginReceipt()
	}
	n, whole, r := g.scan.scan(data, g.limits.HeadBytes)
	if r != nil {
		return 0, r
	}
	if !g.receipt.Grow(headCopies*n, n, time.Now()) {
		return 0, refuseMemory
	}
	g.head = append(g.head, data[:n]...)
	if !whole {
		return n, nil
	}
	c.stopTimer()
	f, r := checkHead(g.head, g.limits.BodyBytes, maxHeaders)
	if r != nil {
		return 0, r
	}
	g.close, g.ticket = f.close, f.ticket
	if f.chunked || f.length > 0 {
		c.beginBody(f, len(data) > n)
		return n, nil
	}
	return n, c.complete()
}

// headCopies is how often the bytes of a head are held until the request is answered: as they
// came, in the parsed request, and in the request that the handler sends on.
const headCopies = 3

// MaxHeadMemory is the most that the head of a request counts.
const MaxHeadMemory = headCopies * MaxHeadBytes

// beginReceipt returns the receipt of a request that begins.
func (c *conn) beginReceipt() *memory.Receipt {
	var r *memory.Receipt
	r = c.server.budget.Begin(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.guard.receipt == r && c.guard.started() && !c.guard.done {
			c.guard.ticket = c.guard.ticket || c.guard.part == inHead
			c.refuse(refuseStalled)
		}
	})
	return r
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

// keepBody takes bytes of the body.
func (c *conn) keepBody(data []byte) *refusal {
	if !c.guard.body.Append(c.guard.receipt, data, c.guard.left, time.Now()) {
		return refuseMemory
	}
	return nil
}

// complete notes that the request is whole, and passes its head to the parser, as that of a
// request without a body: the body is kept here, where it is counted and not copied. A request
// that is read while the server drains is the last of its connection: its answer says so, and
// clients send again what they sent behind it.
func (c *conn) complete() *refusal {
	if len(c.pending) >= maxPipelined {
		return refusePipeline
	}
	g := &c.guard
	if !g.receipt.Whole() {
		return refuseStalled
	}
	c.stopTimer()
	g.close = g.close || c.server.draining.Load()
	c.arrived = append(c.arrived, arrival{took: time.Since(g.began), first: !c.begun, body: g.body, receipt: g.receipt})
	c.begun = true
	c.push(request{receipt: g.receipt, close: g.close})
	head := g.head
	if g.part != inHead {
		head = withoutFraming(head)
	}
	g.part, g.body, g.receipt, g.head, g.ticket, g.done = inHead, memory.RequestBody{}, nil, nil, false, g.close
	if g.parser.Parse(head) != nil {
		return refuseMalformed
	}
	return nil
}

// withoutFraming returns a whole head without the headers that announce a body.
func withoutFraming(head []byte) []byte {
	out := make([]byte, 0, len(head))
	for line := range bytes.SplitAfterSeq(head, crlf) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !is(name, "Content-Length") && !is(name, "Transfer-Encoding") && !is(name, "Expect") {
			out = append(out, line...)
		}
	}
	return out
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
	c.server.counters.refused(r.label())
	if r == refuseMemory || r == refuseStalled {
		c.reportMemory(r)
	}
	c.guard.done = true
	c.stopTimer()
	c.guard.release()
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
	head := bytes.ToLower(append(bytes.Clone(first), second[:min(len(second), MaxHeadBytes)]...))
	return bytes.Contains(head, ticketName)
}

var ticketName = bytes.ToLower([]byte(call.HeaderTicket))

// release frees what a request holds that is not whole.
func (g *guard) release() {
	g.receipt.Release()
	g.body, g.head = memory.RequestBody{}, nil
}

// reportMemory logs a request that is refused for want of memory.
func (c *conn) reportMemory(r *refusal) {
	g := &c.guard
	log.With("listener", c.server.options.Name).With("reason", r.label()).With("id", headerValue(g.head, c.server.options.IDHeader)).
		With("body_bytes", g.body.Len()).With("took", time.Since(g.began).Round(time.Millisecond)).With("used_bytes", c.server.budget.Used()).
		Infof("request refused: the memory for requests is used up")
}

// headerValue returns the value of a header in a head, whole or not; empty if there is none.
func headerValue(head []byte, name string) string {
	if name == "" {
		return ""
	}
	for line := range bytes.SplitSeq(head, crlf) {
		if key, value, ok := bytes.Cut(line, []byte(":")); ok && is(key, name) {
			const maxText = 64
			value = bytes.Trim(value, " \t")
			return string(value[:min(len(value), maxText)])
		}
	}
	return ""
}

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
		if c.timer != timer || c.guard.done {
			return
		}
		if more := c.timeLeft(); more > 0 {
			timer.Reset(more)
			return
		}
		c.guard.ticket = c.guard.ticket || c.guard.part == inHead
		c.refuse(refuseSlow)
	})
	c.timer = timer
}

// timeLeft returns how much longer the body of the request may take: what has arrived of it
// must have come at the least rate, after the time that each request has.
func (c *conn) timeLeft() time.Duration {
	if c.guard.part == inHead {
		return 0
	}
	o := &c.server.options
	earned := time.Duration(float64(c.guard.body.Len()) / float64(o.MinBodyRate) * float64(time.Second))
	return time.Until(c.guard.began.Add(o.RequestTimeout + earned))
}

func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
