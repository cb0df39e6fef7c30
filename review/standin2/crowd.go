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
	stopCalls := callOrdinary(w, gw, &t, 20*time.Millisecond, bookingDeadlineMs)
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
