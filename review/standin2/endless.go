//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// shortLines returns header lines of few bytes, each with another name.
func shortLines(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~" // of a name
	n := len(letters)
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		name := string([]byte{letters[i/n%n], letters[i%n]})
		if i >= n*n {
			name += string(letters[i/n/n])
		}
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}

// startEndless starts a server whose health checks are good, and that answers each request with
// a head that has no end: short lines, most of them at once.
func startEndless(w *world, id, service, zone string, slots, atOnce int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, rec: w.rec, store: w.store}
	go s.keepListed()
	lines := shortLines(atOnce)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answerWithoutEnd(c, lines)
		}
	}()
	return nil
}

func (s *server) answerWithoutEnd(c net.Conn, lines string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", s.id, s.slots)
			continue
		}
		s.rec.line("server %s answers %s with a head that does not end", s.id, req.Header.Get("Attempt-Id"))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s", req.Header.Get("Attempt-Id"), lines); err != nil {
			return
		}
		for i := 0; err == nil; i++ {
			time.Sleep(200 * time.Millisecond)
			_, err = fmt.Fprintf(c, "more%d:\r\n", i)
		}
		return
	}
}

// endlessHead: some servers of a service answer with heads without end. What a gateway makes of
// a head takes far more memory than it counts.
func endlessHead(w *world, trouble bool) (int, error) {
	const (
		servers  = 50
		faulty   = 7
		atOnce   = 64000 // bytes of a head that are sent at once
		work     = 690 * time.Millisecond
		rate     = 200  // bookings a second
		deadline = 5000 // ms
		askFor   = 12 * time.Second
	)
	for i := range servers {
		id := fmt.Sprintf("i-reposition-%d", i)
		if trouble && i < faulty {
			if err := startEndless(w, id, "reposition", "modjo", 6, atOnce); err != nil {
				return couldNot, err
			}
			continue
		}
		s, err := startServer(w.rec, w.store, id, "reposition", "modjo", 6, work)
		if err != nil {
			return couldNot, err
		}
		s.quiet = true
	}
	route := routeOf{Name: "r-book", Host: "box.example", Prefix: "/book/", Type: "unsafe", Timeout: "3000ms", Target: "1500ms", Priority: 1, Attempts: 2, Service: "reposition"}
	w.store.put("op/config", configuration(3, []routeOf{route}, "reposition"))
	if err := w.startGateways(ablGwLarge, "modjo"); err != nil {
		return couldNot, err
	}
	if err := w.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	gw := w.gateways[0]
	stop := w.watchAll()
	defer stop()
	var t tally
	stopCalls := callOrdinary(w, gw, &t, time.Second/rate, deadline)
	time.Sleep(askFor)
	stopCalls()
	w.rec.line("bookings: %d sent, %d served, %d refused, %d without an answer", t.sent.Load(), t.served.Load(), t.refused.Load(), t.unanswered.Load())
	w.rec.line("%s: at most %d MB of %d, %d processes exceeded it", gw.id, gw.peakMB.Load(), gw.site.memoryMB, gw.killed.Load())
	if gw.killed.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
