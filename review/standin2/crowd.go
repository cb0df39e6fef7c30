//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pipeline: many callers send further safe requests before the first has been answered.
func pipeline(w *world, trouble bool) (int, error) {
	const (
		callers = 1600
		depth   = 16
		servers = 15
	)
	book, err := bookings(w, "reposition", 6)
	if err != nil {
		return couldNot, err
	}
	for i := range servers {
		s, err := startServer(w.rec, w.store, fmt.Sprintf("i-boxfinder-%d", i), "boxfinder", "modjo", 6, 250*time.Millisecond)
		if err != nil {
			return couldNot, err
		}
		s.quiet = true
	}
	stock := routeOf{Name: "r-stock", Host: "box.example", Prefix: "/stock/", Type: "safe", Timeout: "2000ms", Target: "600ms", Priority: 2, Attempts: 2, Service: "boxfinder"}
	w.store.put("op/config", configuration(3, []routeOf{stock, book}, "boxfinder", "reposition"))
	if err := w.startGateways(ablGwGrown, "modjo"); err != nil {
		return couldNot, err
	}
	if err := w.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	gw := w.gateways[0]
	stop := w.watchAll()
	defer stop()
	var t tally
	stopCalls := callOrdinary(w, gw, &t, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	var cut atomic.Int64
	var g sync.WaitGroup
	if trouble {
		w.rec.line("%d callers send %d requests each", callers, depth)
		for range callers {
			g.Add(1)
			go func() {
				defer g.Done()
				if !sendPipelined(gw, depth) {
					cut.Add(1)
				}
			}()
		}
	}
	g.Wait()
	time.Sleep(3 * time.Second)
	stopCalls()
	w.rec.line("%d callers of %d had no answer to some of their requests", cut.Load(), callers)
	w.rec.line("bookings: %d sent, %d served, %d refused, %d without an answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.unanswered.Load())
	w.rec.line("%s: at most %d MB of %d, %d processes exceeded it", gw.id, gw.peakMB.Load(), gw.site.memoryMB, gw.killed.Load())
	if gw.killed.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// sendPipelined sends requests without waiting for answers in between, and reads the answers.
// It reports whether all came.
func sendPipelined(gw *gateway, depth int) bool {
	const deadlineMs = 2000
	c, err := net.DialTimeout("tcp", gw.callers, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	var b strings.Builder
	for range depth {
		b.WriteString(request(http.MethodGet, "box.example", "/stock/1", newAttempt(), deadlineMs, "", ""))
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * deadlineMs * time.Millisecond))
	return readAnswers(c, depth)
}

// trickle: more callers than a gateway has connections for send large bodies piece by piece.
func trickle(w *world, trouble bool) (int, error) {
	const (
		callers   = 2400
		bodyBytes = 60 << 20
		piece     = 100
		pause     = 500 * time.Millisecond
		settle    = 4 * time.Second
		asks      = 100
	)
	book, err := bookings(w, "reposition", 6)
	if err != nil {
		return couldNot, err
	}
	w.store.put("op/config", configuration(3, []routeOf{book}, "reposition"))
	if err := w.startGateways(ablGw, "modjo"); err != nil {
		return couldNot, err
	}
	if err := w.waitReady(); err != nil {
		return couldNot, err
	}
	gw := w.gateways[0]
	done := make(chan struct{})
	defer close(done)
	if trouble {
		w.rec.line("%d callers send bodies of %d bytes, %d bytes every %s", callers, bodyBytes, piece, pause)
		for range callers {
			go func() {
				for {
					select {
					case <-done:
						return
					default:
						sendSlowly(gw, bodyBytes, piece, pause, done)
					}
				}
			}()
		}
	}
	time.Sleep(settle)
	answered := 0
	for range asks {
		id := newAttempt()
		status, _, err := call(gw.callers, http.MethodPost, "box.example", "/book/1", id, 1500)
		w.rec.line("%s answers booking %s: %d %s", gw.id, id, status, errText(err))
		if status != 0 {
			answered++
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.rec.line("%d of %d bookings of an ordinary caller were answered", answered, asks)
	if answered == 0 {
		return broken, nil
	}
	return held, nil
}

// sendSlowly sends one request with a large body in pieces until the gateway ends it.
func sendSlowly(gw *gateway, bodyBytes, piece int, pause time.Duration, done <-chan struct{}) {
	c, err := net.DialTimeout("tcp", gw.callers, time.Second)
	if err != nil {
		time.Sleep(pause)
		return
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /book/2 HTTP/1.1\r\nHost: box.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n", newAttempt(), bodyBytes)
	for err == nil {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		_, err = io.WriteString(c, strings.Repeat("b", piece))
	}
}
