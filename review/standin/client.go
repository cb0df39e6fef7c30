package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	route    route
	gateway  *gateway
	sent     time.Time
	deadline time.Time
	// answered is when the whole answer came; zero if none came.
	answered time.Time
	status   int
	close    bool // the answer said Connection: close
	signed   bool
	// cut is when the connection ended without an answer to the request; zero if it
	// didn't. gaveUp says that the client itself closed it.
	cut    time.Time
	gaveUp bool
	// behindLast says that an answer before it said Connection: close, so that it counts
	// as not read.
	behindLast bool
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// clientConn is a client's connection. Requests may be sent before earlier ones are
// answered.
type clientConn struct {
	rec     *recorder
	gateway *gateway
	raw     net.Conn

	mu      sync.Mutex
	pending []*request
	closing bool // the gateway or the client ends the connection
	closed  bool // an answer said Connection: close
	last    time.Time
	answers chan *request // each request that was answered or cut
	ended   chan struct{}
}

// connect opens a connection to the address, which is the gateway's or that of a link
// before it.
func connect(rec *recorder, g *gateway, address string) (*clientConn, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{rec: rec, gateway: g, raw: raw, answers: make(chan *request, 1024), ended: make(chan struct{}), last: time.Now()}
	go c.read()
	return c, nil
}

// send sends a request. It returns nil if the connection takes no more.
func (c *clientConn) send(rt route, wait time.Duration, body string) *request {
	now := time.Now()
	q := &request{id: newID(), route: rt, gateway: c.gateway, sent: now, deadline: now.Add(wait)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	method := http.MethodGet
	if !rt.safe {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, rt.prefix(), rt.host(), q.id, wait.Milliseconds())
	if !rt.safe {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.pending = append(c.pending, q)
	c.rec.line("client %s sends %s to %s, behind %d others", c.raw.LocalAddr(), q.id, c.gateway.name, len(c.pending)-1)
	_ = c.raw.SetWriteDeadline(now.Add(time.Second))
	_, _ = c.raw.Write([]byte(b.String())) // the reader sees the end of the connection
	return q
}

// outstanding returns the number of requests that are not answered.
func (c *clientConn) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// open reports whether the connection takes another request.
func (c *clientConn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// giveUp closes the connection.
func (c *clientConn) giveUp() {
	c.mu.Lock()
	c.closing = true
	for _, q := range c.pending {
		q.gaveUp = true
	}
	c.mu.Unlock()
	_ = c.raw.Close()
}

func (c *clientConn) oldest() *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return nil
	}
	return c.pending[0]
}

// read reads answers until the connection ends. Answers come in the order of requests.
func (c *clientConn) read() {
	defer close(c.ended)
	r := bufio.NewReader(c.raw)
	for {
		if q := c.oldest(); q != nil {
			_ = c.raw.SetReadDeadline(q.deadline)
		} else {
			_ = c.raw.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		}
		_, err := r.Peek(1)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			q := c.oldest()
			if q == nil || time.Now().Before(q.deadline) {
				continue
			}
			c.giveUp() // the client's deadline has passed
		}
		if err == nil {
			_ = c.raw.SetReadDeadline(time.Now().Add(5 * time.Second))
			err = c.readAnswer(r)
		}
		if err != nil {
			c.cutAll(err)
			return
		}
	}
}

func (c *clientConn) readAnswer(r *bufio.Reader) error {
	q := c.oldest()
	method := http.MethodGet
	if q != nil && !q.route.safe {
		method = http.MethodPost
	}
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if q == nil {
		c.rec.line("client %s got an answer that it didn't ask for: %d %s", c.raw.LocalAddr(), res.StatusCode, res.Header.Get("Attempt-Id"))
		return fmt.Errorf("unexpected answer")
	}
	c.mu.Lock()
	c.pending = c.pending[1:]
	q.answered, q.status, q.close = time.Now(), res.StatusCode, res.Close
	q.signed = res.Header.Get("Server-Signature") == "sig."+q.id && strings.HasPrefix(string(body), q.id+" ")
	c.closed = c.closed || res.Close
	c.closing = c.closing || res.Close
	c.last = q.answered
	c.mu.Unlock()
	c.rec.line("client %s got %d for %s, signed %v, close %v", c.raw.LocalAddr(), q.status, q.id, q.signed, q.close)
	c.answers <- q
	return nil
}

func (c *clientConn) cutAll(err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, q := range c.pending {
		q.cut, q.behindLast = now, c.closed
		c.rec.line("client %s has no answer to %s: %v", c.raw.LocalAddr(), q.id, err)
		c.answers <- q
	}
	c.pending = nil
	_ = c.raw.Close()
}

// link is a network link with a delay each way, as the pages give it between clients and
// machines.
type link struct {
	listener net.Listener
	to       string
	delay    time.Duration
}

func newLink(to string, delay time.Duration) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, delay: delay}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			time.Sleep(2 * k.delay)
			far, err := net.DialTimeout("tcp", k.to, time.Second)
			if err != nil {
				reset(near)
				return
			}
			go k.carry(near, far)
			k.carry(far, near)
		}()
	}
}

type parcel struct {
	data []byte
	due  time.Time
	err  error
}

// carry passes on what one side sends, and how it ends, after the delay.
func (k *link) carry(from, to net.Conn) {
	parcels := make(chan parcel, 1024)
	go func() {
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			parcels <- parcel{buf[:n], time.Now().Add(k.delay), err}
			if err != nil {
				return
			}
		}
	}()
	for p := range parcels {
		time.Sleep(time.Until(p.due))
		if len(p.data) > 0 {
			_, _ = to.Write(p.data)
		}
		if errors.Is(p.err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if p.err != nil {
			reset(to)
			_ = from.Close()
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// balancer stands in for the platform's: it asks each gateway once a second whether it is
// ready, and sends no new connections to one that missed two questions in a row.
type balancer struct {
	mu     sync.Mutex
	misses map[*gateway]int
}

func newBalancer(gateways []*gateway) *balancer {
	b := &balancer{misses: make(map[*gateway]int)}
	for _, g := range gateways {
		go func() {
			for {
				ok := g.ready()
				b.mu.Lock()
				b.misses[g]++
				if ok {
					b.misses[g] = 0
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

func (b *balancer) inRotation(g *gateway) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[g] < 2
}
