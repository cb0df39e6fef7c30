package httpserver

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStartOnATakenAddressFailsAtOnce(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	for range 20 {
		failed := make(chan error, 1)
		go func() {
			_, err := Start(Options{Name: "test", Address: taken.Addr().String(), Handler: http.NotFoundHandler()})
			failed <- err
		}()
		select {
		case err := <-failed:
			assert.ErrorContains(t, err, "listen on")
		case <-time.After(3 * time.Second):
			t.Fatal("the start hangs")
		}
	}
}

// Guards against a process that outlives its grace period: its connections were closed, but
// it waited for an engine whose poller had missed its wake-up.
func TestStopDoesNotWaitLongForTheEngine(t *testing.T) {
	s, err := Start(Options{Name: "test", Address: "127.0.0.1:0", Handler: http.NotFoundHandler()})
	assert.NilError(t, err)
	s.engine.Add(1) // as a poller that doesn't end
	defer s.engine.Done()
	begin := time.Now()
	s.Stop()
	assert.Assert(t, time.Since(begin) < time.Second, "%s", time.Since(begin))
}
