package standin

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A target that sends a megabyte and closes is read whole through a link, at its rate.
func TestLinkPassesAllBytesAtItsRate(t *testing.T) {
	const size, rate = 1 << 20, 4 << 20
	data := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write(data)
		_ = c.Close()
	}()
	link, err := NewLink(listener.Addr().String(), rate, 20*time.Millisecond)
	assert.NilError(t, err)
	defer link.Close()
	begin := time.Now()
	c, err := net.Dial("tcp", link.Address)
	assert.NilError(t, err)
	defer c.Close()
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, data))
	assert.Assert(t, time.Since(begin) >= time.Second*size/rate, time.Since(begin))
}

// A reset at the target reaches the caller as a reset.
func TestLinkPassesResetsOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1)) // the caller's dial is over then
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	link, err := NewLink(listener.Addr().String(), 1<<20, 0)
	assert.NilError(t, err)
	defer link.Close()
	c, err := net.Dial("tcp", link.Address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.ErrorContains(t, err, "reset")
}
