package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

const (
	// slowLimit is the deadline, and the timeout of the routes, of slow callers' requests.
	slowLimit = 10 * time.Second
	// slowPause bounds the pause between two requests on a connection.
	slowPause = 600 * time.Millisecond
	// slowHead and slowBody bound the time in which a caller sends a head and a body, and
	// sendPieces is the number of pieces of each.
	slowHead   = 2500 * time.Millisecond
	slowBody   = 4 * time.Second
	sendPieces = 9
	// slowRead bounds the time in which a caller reads an answer, slowWork the work of the
	// server before it. Both fit in what the grace period leaves after the gateway has
	// stopped to take requests.
	slowRead = 1200 * time.Millisecond
	slowWork = 800 * time.Millisecond
	// longWork bounds the work for a request whose answer is short and read at once.
	longWork = 4 * time.Second
	// minLarge and maxLarge bound the size of a large answer, and maxBody that of a body
	// sent, in bytes.
	minLarge = 100 << 10
	maxLarge = 2 << 20
	maxBody  = 48 << 10
	// slowReadBuffer is the receive buffer of a caller that reads slowly, and slowReadPiece
	// the most that it reads at a time, in bytes.
	slowReadBuffer = 32 << 10
	slowReadPiece  = 8 << 10
	// linkRate, in bytes a second, and linkDelay are those of slow links.
	linkRate  = 2 << 20
	linkDelay = 25 * time.Millisecond
)

// connectionTime is how long a caller uses a connection. It outlasts a stop.
func connectionTime(rng *rand.Rand) time.Duration {
	return stopGrace + 2*time.Second + time.Duration(rng.Int64N(int64(stopGrace)))
}

// slowConn is a connection of a caller that may send or read slowly, or be behind a slow link.
type slowConn struct {
	soak     *Soak
	gateway  *gatewayNode
	raw      net.Conn
	pace     *pacedReader
	reader   *bufio.Reader
	slowLink bool
	slowRead bool
}

// slowCaller uses one connection after the other until the context ends.
func (s *Soak) slowCaller(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		x := &slowConn{soak: s, gateway: s.gateways[rng.IntN(len(s.gateways))], slowLink: rng.IntN(3) == 0, slowRead: rng.IntN(3) == 0}
		raw, err := x.gateway.dial(x.slowLink)
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		if x.slowRead {
			_ = raw.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		}
		x.raw, x.pace = raw, &pacedReader{from: raw}
		x.reader = bufio.NewReaderSize(x.pace, slowReadPiece)
		for end := time.Now().Add(connectionTime(rng)); ctx.Err() == nil && time.Now().Before(end) && x.exchange(x.draw(rng)); {
			time.Sleep(time.Duration(rng.Int64N(int64(slowPause))))
		}
		_ = raw.Close()
	}
}

// slowRequest is a request and the way in which it is sent and its answer read.
type slowRequest struct {
	claim
	method, target     string
	body               []byte
	chunked            bool
	headTime, bodyTime time.Duration // of sending
	readTime           time.Duration
	size               int
}

// draw makes a request.
func (x *slowConn) draw(rng *rand.Rand) *slowRequest {
	r := &slowRequest{claim: newClaim("c", x.gateway)}
	r.limit, r.unsafe, r.method = slowLimit, rng.IntN(2) == 0, http.MethodGet
	way := []string{"at once", "slow head", "slow length", "slow chunks"}[rng.IntN(4)]
	kind := []string{way}
	switch way {
	case "slow head":
		r.headTime = time.Duration(rng.Int64N(int64(slowHead)))
	case "slow length", "slow chunks":
		r.bodyTime, r.chunked = time.Duration(rng.Int64N(int64(slowBody))), way == "slow chunks"
		r.body = bytes.Repeat([]byte("body of "+r.id+"."), 1+rng.IntN(maxBody/16))
	}
	if r.unsafe || len(r.body) > 0 {
		r.method = http.MethodPost
	}
	work := time.Duration(0)
	switch rng.IntN(12) {
	case 0:
		kind, work = append(kind, "long work"), time.Duration(rng.Int64N(int64(longWork)))
	case 1, 2, 3, 4:
		kind, r.size = append(kind, "large"), minLarge+rng.IntN(maxLarge-minLarge)
		work = time.Duration(rng.Int64N(int64(slowWork)))
	}
	if x.slowRead {
		kind, r.readTime = append(kind, "slow read"), time.Duration(rng.Int64N(int64(slowRead)))
	}
	if x.slowLink {
		kind = append(kind, "slow link")
	}
	r.kind = strings.Join(kind, ",")
	r.target = fmt.Sprintf("/%s?%s=%d&%s=%d", r.id, fake.SizeQuery, r.size, fake.WorkQuery, work.Milliseconds())
	return r
}

// exchange sends a request and reads its answer. It returns false if the connection takes no
// more requests.
func (x *slowConn) exchange(r *slowRequest) bool {
	r.sent = time.Now()
	whole := make(chan time.Time, 1)
	go func() { whole <- x.send(r) }()
	_ = x.raw.SetReadDeadline(r.sent.Add(r.limit + callerDeadline))
	x.pace.perByte = float64(r.readTime) / float64(max(r.size, minLarge))
	a, err := readAnswer(x.reader)
	r.endedBy(err)
	again := err == nil && !a.closes
	if !again {
		_ = x.raw.Close()
	}
	r.whole = <-whole
	if x.slowLink {
		r.over(x.gateway.slow.Times(x.raw.LocalAddr()))
	}
	if err == nil {
		r.status = a.status
		x.soak.checkAnswer(&r.claim, a.header, a.body, fake.AnswerBody(r.id, r.method, r.target, r.body))
	}
	x.soak.claimed(r.claim)
	return again
}

// send sends a request and returns when its last byte was sent, or zero.
func (x *slowConn) send(r *slowRequest) time.Time {
	names := platform.Dialect()
	host, framing, body := "slow"+r.service(), "", r.body
	switch {
	case r.chunked:
		framing = "Transfer-Encoding: chunked\r\n"
	case r.method == http.MethodPost:
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n", r.method, r.target, host, names.CallID, r.id, names.Deadline, r.limit.Milliseconds(), framing)
	if x.sendPieces([]byte(head), r.headTime, false) != nil || x.sendPieces(body, r.bodyTime, r.chunked) != nil {
		return time.Time{}
	}
	if r.chunked {
		if _, err := io.WriteString(x.raw, "0\r\n\r\n"); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// sendPieces sends data over a time, in chunks or as it is.
func (x *slowConn) sendPieces(data []byte, over time.Duration, chunked bool) error {
	size := len(data)
	if over > 0 {
		size = (len(data) + sendPieces - 1) / sendPieces
	}
	for len(data) > 0 {
		piece := data[:min(size, len(data))]
		data = data[len(piece):]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := x.raw.Write(piece); err != nil {
			return errors.WithStack(err)
		}
		if len(data) > 0 {
			time.Sleep(over / sendPieces)
		}
	}
	return nil
}

// pacedReader reads small pieces and takes a time for each byte, in nanoseconds.
type pacedReader struct {
	from    io.Reader
	perByte float64
}

func (p *pacedReader) Read(data []byte) (int, error) {
	n, err := p.from.Read(data[:min(len(data), slowReadPiece)])
	time.Sleep(time.Duration(float64(n) * p.perByte))
	return n, err //nolint:wrapcheck // a reader passes errors through
}
