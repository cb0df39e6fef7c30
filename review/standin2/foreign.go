//go:build review2

package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// valueBytes is the largest value that the store takes.
const valueBytes = 1048576

// writeForeign writes an entry of another writer among those of the servers: bytes that can't
// be read, of the largest size.
func writeForeign(w *world, i int) error {
	b := make([]byte, valueBytes)
	if _, err := rand.Read(b); err != nil {
		return err
	}
	w.store.put(fmt.Sprintf("servers/x-%04d", i), b)
	return nil
}

// bookingDeadlineMs is the deadline of bookings where a case sets no other.
const bookingDeadlineMs = 1500

// tally counts the answers to ordinary callers.
type tally struct{ sent, served, refused, unanswered atomic.Int64 }

// callOrdinary sends a booking to a gateway at intervals until the function that it returns is
// called.
func callOrdinary(w *world, gw *gateway, t *tally, interval time.Duration, deadlineMs int) (stop func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			g.Add(1)
			go func() {
				defer g.Done()
				id := newAttempt()
				status, _, err := call(gw.callers, http.MethodPost, "box.example", "/book/1", id, deadlineMs)
				w.rec.line("%s answers booking %s: %d %s", gw.id, id, status, errText(err))
				t.sent.Add(1)
				switch {
				case err != nil || status == 0:
					t.unanswered.Add(1)
				case status == http.StatusOK:
					t.served.Add(1)
				default:
					t.refused.Add(1)
				}
			}()
		}
	}()
	return func() {
		close(done)
		g.Wait()
	}
}

// bookings starts servers of a service for bookings and returns its route.
func bookings(w *world, service string, servers int) (routeOf, error) {
	for i := range servers {
		s, err := startServer(w.rec, w.store, fmt.Sprintf("i-%s-%d", service, i), service, "modjo", 6, 20*time.Millisecond)
		if err != nil {
			return routeOf{}, err
		}
		s.quiet = true
	}
	return routeOf{Name: "r-book", Host: "box.example", Prefix: "/book/", Type: "unsafe", Timeout: "1500ms", Target: "500ms", Priority: 1, Attempts: 2, Service: service}, nil
}

// foreignMemory: another writer leaves entries in the store that can't be read. A gateway keeps
// the values of all entries, and exceeds its memory.
func foreignMemory(w *world, trouble bool) (int, error) {
	const (
		entries  = 64
		pause    = 100 * time.Millisecond
		watchFor = 50 * time.Second
	)
	route, err := bookings(w, "reposition", 3)
	if err != nil {
		return couldNot, err
	}
	w.store.put("op/config", configuration(3, []routeOf{route}, "reposition"))
	if err := w.startGateways(ablGwGrown, "modjo", "adama", "addis-ab"); err != nil {
		return couldNot, err
	}
	if err := w.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	stop := w.watchAll()
	defer stop()
	var t tally
	for _, gw := range w.gateways {
		defer callOrdinary(w, gw, &t, 200*time.Millisecond, bookingDeadlineMs)()
	}
	end := time.Now().Add(watchFor)
	for i := range entries {
		if trouble {
			if err := writeForeign(w, i); err != nil {
				return couldNot, err
			}
		}
		time.Sleep(pause)
	}
	if trouble {
		w.rec.line("another writer has written %d entries of %d bytes", entries, valueBytes)
	}
	time.Sleep(time.Until(end))
	killed := 0
	for _, gw := range w.gateways {
		w.rec.line("%s: at most %d MB of %d, %d processes exceeded it", gw.id, gw.peakMB.Load(), gw.site.memoryMB, gw.killed.Load())
		killed += int(gw.killed.Load())
	}
	w.rec.line("bookings: %d sent, %d served, %d refused, %d without an answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.unanswered.Load())
	if killed > 0 {
		return broken, nil
	}
	return held, nil
}

// foreignWatch: another writer writes a few entries at the same moment that can't be read. The
// answer to the gateways' watch exceeds what they read of one, each time anew, until the store
// has dropped that history. Until then no change reaches any gateway.
func foreignWatch(w *world, trouble bool) (int, error) {
	const (
		entries = 6
		askFor  = 15 * time.Second
	)
	before, err := bookings(w, "old", 3)
	if err != nil {
		return couldNot, err
	}
	after, err := bookings(w, "new", 3)
	if err != nil {
		return couldNot, err
	}
	w.store.put("op/config", configuration(3, []routeOf{before}, "old", "new"))
	if err := w.startGateways(ablGw, "modjo", "adama", "addis-ab"); err != nil {
		return couldNot, err
	}
	if err := w.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range entries {
			if err := writeForeign(w, i); err != nil {
				return couldNot, err
			}
		}
		w.rec.line("another writer has written %d entries of %d bytes", entries, valueBytes)
	}
	time.Sleep(time.Second)
	w.store.put("op/config", configuration(5, []routeOf{after}, "old", "new"))
	acked := time.Now()
	w.rec.line("version 00000005 acknowledged: %s goes to service new", after.Prefix)
	time.Sleep(ablGw.configApply)
	var mu sync.Mutex
	var g sync.WaitGroup
	wrong, asked, last := 0, 0, time.Duration(0)
	for _, gw := range w.gateways {
		g.Add(1)
		go func() {
			defer g.Done()
			for end := time.Now().Add(askFor); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				id, sent := newAttempt(), time.Since(acked)
				status, h, err := call(gw.callers, http.MethodPost, "box.example", "/book/1", id, bookingDeadlineMs)
				service := "none"
				if h != nil && h.Get("Server-Signature") != "" {
					service = serviceOf(h.Get("Server-Signature"))
				}
				w.rec.line("%s answers booking %s, sent %.1f s after the acknowledgement: %d, run by service %s %s", gw.id, id, sent.Seconds(), status, service, errText(err))
				mu.Lock()
				asked++
				if service == "old" {
					wrong, last = wrong+1, max(last, sent)
				}
				mu.Unlock()
			}
		}()
	}
	g.Wait()
	w.rec.line("%d of %d bookings sent later than %s after the acknowledgement were run by the old service, the last one %.1f s after it", wrong, asked, ablGw.configApply, last.Seconds())
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
