package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attempt is a request of a client and what it got.
type attempt struct {
	id     string
	at     time.Time
	took   time.Duration
	status int // 0 for a closed connection
	signed bool
	body   string
	err    error
}

func newID() string {
	return fmt.Sprintf("%016x", time.Now().UnixNano()&0xffffffff<<24|attempts.Add(1))
}

// send sends one request on a new connection.
func send(address, method, host, path, body string, deadline time.Duration) attempt {
	a := attempt{id: newID(), at: time.Now()}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, a.id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(a.at)
		return a
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	a.status, a.signed, a.body, a.err, a.took = res.StatusCode, res.Header.Get("Server-Signature") != "", string(got), err, time.Since(a.at)
	return a
}
