package upstream

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silentServer is a server that gets calls and never answers them. The processors are kept
// busy, so that the parts of a send run in any order.
func silentServer(t *testing.T) *Server {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	_, server := startFakeServer(t, func(int, int) (string, bool) {
		<-stop
		return "", true
	})
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					runtime.Gosched()
				}
			}
		}()
	}
	return server
}

// sendMany sends calls whose contexts end as the given function does it, and returns how many
// may have reached the server and how many lasted until about the deadline of the call.
func sendMany(t *testing.T, server *Server, end func(i int, cancel func())) (sent, late int64) {
	t.Helper()
	const senders, calls, timeout = 8, 100, 20 * time.Second
	var countSent, countLate atomic.Int64
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for i := range calls {
				lease, err := server.Open(context.Background(), timeout, time.Second)
				if err != nil {
					t.Error(err)
					return
				}
				ctx, cancel := context.WithCancel(context.Background())
				end(sender*calls+i, cancel)
				call := newCall()
				call.Deadline = time.Now().Add(timeout)
				begin := time.Now()
				if lease.Send(ctx, call).Outcome != NotRun {
					countSent.Add(1)
				}
				lease.Release()
				if time.Since(begin) > timeout/2 {
					countLate.Add(1)
				}
				cancel()
			}
		})
	}
	group.Wait()
	return countSent.Load(), countLate.Load()
}

// Guards against requests that are passed on after they were given up.
func TestNothingIsSentAfterTheContextHasEnded(t *testing.T) {
	sent, late := sendMany(t, silentServer(t), func(_ int, cancel func()) { cancel() })
	assert.Equal(t, sent, int64(0))
	assert.Equal(t, late, int64(0))
}

// Guards against a send that goes on after it was given up: the deadline of the call replaced
// the one that the end of the context had set.
func TestSendEndsWithItsContextAtAnyMoment(t *testing.T) {
	_, late := sendMany(t, silentServer(t), func(i int, cancel func()) {
		go func() {
			for begin := time.Now(); time.Since(begin) < time.Duration(i%40)*time.Microsecond; {
				runtime.Gosched()
			}
			cancel()
		}()
	})
	assert.Equal(t, late, int64(0))
}
