package httpserver

import (
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// pollerBarrier waits until an engine's poller has handled the events that it has fetched.
// The poller tells connections by their descriptors: an event of a connection that another
// goroutine has closed meanwhile would be applied to the next connection with that
// descriptor, and could close it. It needs an engine with one poller, and is not safe for
// concurrent use.
type pollerBarrier struct {
	near   net.Conn      // the end that is written to; the poller reads the other one
	passed chan struct{} // gets a value for each byte that the poller has read
	used   map[int]bool  // descriptors that connections have had
}

// barrierTimeout bounds the wait for the poller.
const barrierTimeout = time.Second

// newPollerBarrier returns a barrier; register hands a connection to the engine.
func newPollerBarrier(register func(*nbio.Conn) error) (*pollerBarrier, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a pair of sockets for the poller")
	}
	var ends [2]net.Conn
	for i, fd := range pair {
		file := os.NewFile(uintptr(fd), "poller barrier")
		ends[i], err = net.FileConn(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrap(err, "use a pair of sockets for the poller")
		}
	}
	far, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, errors.Wrap(err, "use a socket for the poller")
	}
	b := &pollerBarrier{near: ends[0], passed: make(chan struct{}, 1), used: make(map[int]bool)}
	far.OnData(func(*nbio.Conn, []byte) {
		select {
		case b.passed <- struct{}{}:
		default: // the wait has timed out
		}
	})
	return b, errors.Wrap(register(far), "register a socket with the poller")
}

// wait returns once no event is left that was fetched for an earlier connection with the
// descriptor. It returns an error if the poller doesn't get that far in barrierTimeout.
func (b *pollerBarrier) wait(fd int) error {
	if !b.used[fd] {
		b.used[fd] = true
		return nil
	}
	if _, err := b.near.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "wake the poller")
	}
	timer := time.NewTimer(barrierTimeout)
	defer timer.Stop()
	select {
	case <-b.passed:
		return nil
	case <-timer.C:
		return errors.Errorf("the poller has not handled its events within %s", barrierTimeout)
	}
}

func (b *pollerBarrier) close() { _ = b.near.Close() }
