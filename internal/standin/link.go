package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link passes TCP connections on to a target as a slow network does: each direction of a
// connection has a rate and a delay, and holds little. Ends and resets are passed on behind
// the bytes before them.
type Link struct {
	// Address is the address listened on.
	Address string

	target   string
	rate     int // bytes a second
	delay    time.Duration
	listener net.Listener

	mu     sync.Mutex
	passed map[string]LinkTimes // by caller's address
}

// LinkTimes tells when bytes of a connection were passed on. A busy machine makes a link
// slower than it is meant to be.
type LinkTimes struct {
	// Sent is when the target last got bytes, and Ended when it ended its direction; zero
	// before that.
	Sent, Ended time.Time
}

// Times returns the times of the connection from a caller's address.
func (l *Link) Times(caller net.Addr) LinkTimes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[caller.String()]
}

// note changes the times of a connection.
func (l *Link) note(caller net.Addr, change func(*LinkTimes)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.passed[caller.String()]
	change(&times)
	l.passed[caller.String()] = times
}

const (
	// linkBuffer is the size of the receive buffers, in bytes.
	linkBuffer = 32 << 10
	// linkPiece is the most that is passed on at a time, in bytes.
	linkPiece = 8 << 10
	// linkPieces are on the way at most.
	linkPieces = 16
)

// NewLink listens on a free loopback address. The rate is in bytes a second.
func NewLink(target string, rate int, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &Link{Address: listener.Addr().String(), target: target, rate: rate, delay: delay, listener: listener, passed: make(map[string]LinkTimes)}
	go l.accept()
	return l, nil
}

// Close takes no more connections. Those that are open last until one of their ends closes.
func (l *Link) Close() { _ = l.listener.Close() }

func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(in.(*net.TCPConn))
	}
}

func (l *Link) pass(in *net.TCPConn) {
	defer func() { _ = in.Close() }()
	caller := in.RemoteAddr()
	l.note(caller, func(t *LinkTimes) { *t = LinkTimes{} })
	target, err := net.DialTimeout("tcp", l.target, relayConnectTimeout)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := target.(*net.TCPConn)
	defer func() { _ = out.Close() }()
	_ = in.SetReadBuffer(linkBuffer)
	_ = out.SetReadBuffer(linkBuffer)
	var both sync.WaitGroup
	both.Go(func() {
		l.copy(out, in, func() { l.note(caller, func(t *LinkTimes) { t.Sent = time.Now() }) }, func() {})
	})
	both.Go(func() {
		l.copy(in, out, func() {}, func() { l.note(caller, func(t *LinkTimes) { t.Ended = time.Now() }) })
	})
	both.Wait()
}

// passedPiece is data, or the end of a direction.
type passedPiece struct {
	data []byte
	end  error
	due  time.Time
}

// copy passes one direction on until its end. It tells when it has passed bytes on and when
// the direction has ended.
func (l *Link) copy(to, from *net.TCPConn, passed, ended func()) {
	pieces := make(chan passedPiece, linkPieces)
	var delivery sync.WaitGroup
	delivery.Go(func() { deliver(to, pieces, passed) })
	for {
		data := make([]byte, linkPiece)
		n, err := from.Read(data)
		if err != nil {
			ended()
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.rate))
		pieces <- passedPiece{data: data[:n], end: err, due: time.Now().Add(l.delay)}
		if err != nil {
			break
		}
	}
	close(pieces)
	delivery.Wait()
}

// deliver writes pieces when they are due. What can't be written is dropped: the other
// direction sees why.
func deliver(to *net.TCPConn, pieces <-chan passedPiece, passed func()) {
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if len(p.data) > 0 {
			_, _ = to.Write(p.data)
			passed()
		}
		switch {
		case p.end == nil:
		case errors.Is(p.end, io.EOF):
			_ = to.CloseWrite()
		default:
			_ = to.SetLinger(0)
			_ = to.Close()
		}
	}
}
