package proof

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// slowLink describes a link between a caller and a gateway.
type slowLink struct {
	// up and down are the bytes per second towards and from the gateway.
	up, down int
	// delay is the time that each byte takes.
	delay time.Duration
}

const (
	linkPieceBytes  = 2 << 10
	linkBufferBytes = 16 << 10
	linkCatchUp     = 50 * time.Millisecond
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// linkedConn is a caller's connection over a slow link. The gateway's end of the link tells
// what has reached the gateway, and when.
type linkedConn struct {
	net.Conn // the caller's end

	mu        sync.Mutex
	delivered []delivery
	ended     time.Time // when the gateway's end was closed
}

// delivery says that the gateway's socket has taken so many bytes.
type delivery struct {
	bytes int
	at    time.Time
}

// dial opens a connection to an address over the link.
func (l *slowLink) dial(address string) (*linkedConn, error) {
	far, err := dialSmallBuffers(address, linkBufferBytes)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		far.Close()
		return nil, err
	}
	defer listener.Close()
	caller, err := dialSmallBuffers(listener.Addr().String(), linkBufferBytes)
	if err != nil {
		far.Close()
		return nil, err
	}
	near, err := listener.Accept()
	if err != nil {
		far.Close()
		caller.Close()
		return nil, err
	}
	c := &linkedConn{Conn: caller}
	go l.pass(far, near, l.up, c.noteDelivered, func() {})
	go l.pass(near, far, l.down, func(int) {}, c.noteEnded)
	return c, nil
}

// pass moves bytes one way at the link's pace. An orderly end and a reset are passed on
// behind the bytes that were read before.
func (l *slowLink) pass(to, from net.Conn, rate int, delivered func(int), ended func()) {
	type parcel struct {
		data []byte
		due  time.Time
	}
	// The link holds what it passes on within its delay, and no more.
	onTheWay := make(chan parcel, 2+int(l.delay.Seconds()*float64(rate))/linkPieceBytes)
	reset := false
	go func() {
		defer close(onTheWay)
		for free := time.Now(); ; {
			data := make([]byte, linkPieceBytes)
			n, err := from.Read(data)
			if n > 0 {
				// A reader that was late may catch up a little.
				free = later(free, time.Now().Add(-linkCatchUp)).Add(time.Duration(n) * time.Second / time.Duration(rate))
				time.Sleep(time.Until(free))
				onTheWay <- parcel{data[:n], time.Now().Add(l.delay)}
			}
			if err != nil {
				ended()
				reset = err.Error() != "EOF"
				return
			}
		}
	}()
	for p := range onTheWay {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err == nil {
			delivered(len(p.data))
		}
	}
	time.Sleep(l.delay)
	if reset {
		_ = to.(*net.TCPConn).SetLinger(0)
		to.Close()
		return
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

func (c *linkedConn) noteDelivered(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.delivered) > 0 {
		n += c.delivered[len(c.delivered)-1].bytes
	}
	c.delivered = append(c.delivered, delivery{n, time.Now()})
}

func (c *linkedConn) noteEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = time.Now()
}

// reachedAt returns when the gateway's socket had taken so many bytes; it is zero if it
// hasn't.
func (c *linkedConn) reachedAt(bytes int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.delivered {
		if d.bytes >= bytes {
			return d.at
		}
	}
	return time.Time{}
}

// endedAt returns when the gateway's end was closed; it is zero if it wasn't.
func (c *linkedConn) endedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// dialSmallBuffers opens a connection whose socket buffers hold about so many bytes each;
// 0 leaves them as they are.
func dialSmallBuffers(address string, bytes int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		})
	}}
	return d.Dial("tcp", address)
}
