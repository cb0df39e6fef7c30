package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Relay passes TCP connections on to a target and can break them: cut them, or
// swallow all bytes without a reset.
type Relay struct {
	// Address is the address listened on.
	Address string

	target   string
	listener net.Listener

	mu       sync.Mutex
	refusing bool
	delay    time.Duration
	oneWay   bool
	conns    map[*relayed]bool
}

// relayed is one connection through a relay.
type relayed struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

// NewRelay listens on a free loopback address.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := &Relay{Address: listener.Addr().String(), target: target, listener: listener, conns: make(map[*relayed]bool)}
	go r.accept()
	return r, nil
}

// Cut closes all connections and closes new ones at once, until Heal.
func (r *Relay) Cut() {
	r.setRefusing(true)
	r.each((*relayed).close)
}

// Heal passes new connections on again.
func (r *Relay) Heal() { r.setRefusing(false) }

// Delay holds each piece of data back for a time; 0 ends that.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// OneWay swallows what the target sends, or ends that.
func (r *Relay) OneWay(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oneWay = on
}

// hold waits as Delay says and reports whether a piece of data is passed on.
func (r *Relay) hold(fromTarget bool) bool {
	r.mu.Lock()
	delay, swallow := r.delay, r.oneWay && fromTarget
	r.mu.Unlock()
	time.Sleep(delay)
	return !swallow
}

// Silence swallows the bytes of all open connections for good; new ones work.
func (r *Relay) Silence() {
	r.each(func(c *relayed) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = true
	})
}

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close ends the relay.
func (r *Relay) Close() {
	r.listener.Close()
	r.each((*relayed).close)
}

func (r *Relay) setRefusing(refusing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = refusing
}

func (r *Relay) each(f func(*relayed)) {
	r.mu.Lock()
	var all []*relayed
	for c := range r.conns {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(in)
	}
}

const relayConnectTimeout = 5 * time.Second

func (r *Relay) pass(in net.Conn) {
	out, err := net.DialTimeout("tcp", r.target, relayConnectTimeout)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &relayed{in: in, out: out}
	r.mu.Lock()
	refusing := r.refusing
	if !refusing {
		r.conns[c] = true
	}
	r.mu.Unlock()
	if refusing {
		c.close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.copy(out, in, func() bool { return r.hold(false) }) })
	both.Go(func() { c.copy(in, out, func() bool { return r.hold(true) }) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy passes bytes on until one side closes; the end is not passed on once the
// connection is silent.
func (c *relayed) copy(to io.Writer, from io.Reader, pass func() bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent := c.isSilent()
		if n > 0 && !silent && pass() {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.close()
				return
			}
		}
		if err != nil {
			if !silent {
				c.close()
			}
			return
		}
	}
}

func (c *relayed) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *relayed) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}
