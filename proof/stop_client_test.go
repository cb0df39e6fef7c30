package proof

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// callerKind is how a caller uses its connections.
type callerKind struct {
	name    string
	callers int
	form    form
	// depth is how many requests are outstanding at most. The default is 1.
	depth int
	// pause is the time between two requests.
	pause time.Duration
	// never says that a request is never sent to its end, and deaf that the caller reads
	// nothing.
	never, deaf bool
	// beyond says that the deadline is over before the caller has read an answer.
	beyond bool
	// once asks for the end of the connection with each request, and lingers leaves the
	// connection open after an answer that ends it.
	once, lingers bool
	// inSeries makes slow requests short, so that several follow one another.
	inSeries bool
	// whole is when slow requests are whole, since SIGTERM. The default is all of the grace
	// period, with a third of them in its first and a third in its second half.
	whole span
	// readBytes are read each readPause; 0 reads at once.
	readBytes int
	readPause time.Duration
	// link is the link to the gateway; nil for none.
	link *slowLink
	// work, size and patience are what requests ask of servers, and their deadline.
	work     span
	size     [2]int
	patience span
}

// stopCalls are the callers of a fleet of which gateways stop, and what they saw.
type stopCalls struct {
	fleet *gatewayFleet
	// stops are when the gateways get SIGTERM; zero for those that don't.
	stops []time.Time
	end   time.Time // callers begin no request later
	// brokenAt is when a server was ended.
	brokenAt time.Time

	mu     sync.Mutex
	sights []*sight
}

// acceptingTime is how long after SIGTERM callers open connections to a gateway.
const acceptingTime = 2300 * time.Millisecond

// run uses connections until the end. The caller begins at the stopping gateway and moves
// on when that takes no more connections. An odd one begins in the lame-duck period.
func (s *stopCalls) run(k *callerKind, number int, r *rand.Rand) {
	if number%2 == 1 {
		time.Sleep(time.Until(s.stops[0].Add(time.Duration(r.Int64N(int64(acceptingTime) - int64(200*time.Millisecond))))))
	}
	for now := time.Now(); now.Before(s.end); now = time.Now() {
		gateway := s.choose(now, r)
		c, err := s.open(k, gateway, r)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.converse()
		time.Sleep(20 * time.Millisecond)
	}
}

// choose returns the first gateway that stops and still accepts connections, or any that
// isn't stopping.
func (s *stopCalls) choose(now time.Time, r *rand.Rand) int {
	var others []int
	for i, stop := range s.stops {
		switch {
		case stop.IsZero():
			others = append(others, i)
		case now.Before(stop.Add(acceptingTime)):
			return i
		}
	}
	if len(others) == 0 {
		return len(s.stops) - 1
	}
	return others[r.IntN(len(others))]
}

// rawCaller is one connection of a caller.
type rawCaller struct {
	calls   *stopCalls
	kind    *callerKind
	gateway int
	conn    net.Conn
	link    *linkedConn // nil without a slow link
	random  *rand.Rand
	room    chan struct{} // holds an item for each outstanding request
	done    chan struct{} // closed when nothing more is read
	proceed chan struct{} // gets an item for each 100 Continue

	mu          sync.Mutex
	outstanding []*sight
	written     int
	left, over  bool
	finished    bool // no more requests are sent
}

func (s *stopCalls) open(k *callerKind, gateway int, r *rand.Rand) (*rawCaller, error) {
	address := fmt.Sprintf("%s:%d", s.fleet.hosts[gateway], standin.GatewayCallersPort)
	c := &rawCaller{
		calls: s, kind: k, gateway: gateway, random: r, room: make(chan struct{}, max(k.depth, 1)),
		done: make(chan struct{}), proceed: make(chan struct{}, 1),
	}
	var err error
	switch {
	case k.link != nil:
		c.link, err = k.link.dial(address)
		c.conn = c.link
	case k.readBytes > 0 || k.deaf:
		c.conn, err = dialSmallBuffers(address, 16<<10)
	default:
		c.conn, err = dialSmallBuffers(address, 0)
	}
	return c, err
}

// converse sends requests until the connection ends or the answers say that it is to end.
func (c *rawCaller) converse() {
	defer c.conn.Close()
	stopWatch := make(chan struct{})
	defer close(stopWatch)
	go c.watchPatience(stopWatch)
	go func() {
		defer close(c.done)
		c.read()
		c.conn.Close() // so that a write that waits ends
	}()
	for time.Now().Before(c.calls.end) {
		select {
		case c.room <- struct{}{}:
		case <-c.done:
			return
		}
		if time.Now().After(c.calls.end) || !c.sendOne() {
			break
		}
		select {
		case <-time.After(c.kind.pause):
		case <-c.done:
			return
		}
	}
	c.mu.Lock()
	idle := len(c.outstanding) == 0
	c.finished = true
	c.mu.Unlock()
	if !idle {
		<-c.done
	}
}

// leaveAfter is how long after its deadline a caller goes on reading an answer.
const leaveAfter = 600 * time.Millisecond

// watchPatience closes the connection once the caller has waited long enough.
func (c *rawCaller) watchPatience(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.mu.Lock()
		now := time.Now()
		tired := c.finished && len(c.outstanding) == 0
		if len(c.outstanding) > 0 {
			o := c.outstanding[0]
			tired = !o.sent.IsZero() && now.After(o.sent.Add(o.patience+leaveAfter)) ||
				o.sent.IsZero() && now.After(c.calls.end.Add(time.Second))
		}
		c.left = c.left || tired
		c.mu.Unlock()
		if tired {
			c.conn.Close()
			return
		}
	}
}

// sendOne sends a request and reports whether another may follow.
func (c *rawCaller) sendOne() bool {
	k, r := c.kind, c.random
	x := &sight{
		kind: k, id: fmt.Sprintf("%016x", r.Uint64()), gateway: c.gateway, unsafe: r.IntN(2) == 0,
		size: k.size[0] + r.IntN(k.size[1]-k.size[0]+1), work: k.work.choose(r), patience: k.patience.choose(r).Round(time.Millisecond),
	}
	x.target = fmt.Sprintf("/x?%s=%d&%s=%d", fake.WorkQuery, x.work.Milliseconds(), fake.SizeQuery, x.size)
	pieces := x.pieces(r)
	pause := c.pieceTime(len(pieces))
	if !c.begin(x) {
		return false
	}
	for i, piece := range pieces {
		if i > 0 && !c.mayGoOn(k, i, pause) {
			return false
		}
		if k.never && i == len(pieces)-1 {
			<-c.done
			return false
		}
		sending := time.Now()
		if _, err := c.conn.Write(piece); err != nil {
			return false
		}
		c.mu.Lock()
		c.written += len(piece)
		if i == len(pieces)-1 {
			x.sending, x.sent = sending, time.Now()
		}
		end := c.written
		c.mu.Unlock()
		if i == len(pieces)-1 && c.link != nil {
			go c.noteReached(x, end)
		}
	}
	return true
}

// begin notes a request and reports whether it may be sent.
func (c *rawCaller) begin(x *sight) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	x.begun, x.behind = time.Now(), len(c.outstanding) > 0
	c.outstanding = append(c.outstanding, x)
	c.calls.note(x)
	return true
}

// mayGoOn waits before a piece and reports whether it is to be sent.
func (c *rawCaller) mayGoOn(k *callerKind, i int, pause time.Duration) bool {
	if k.form == formExpect && i == 1 {
		select {
		case <-c.proceed:
		case <-time.After(time.Second):
		case <-c.done:
			return false
		}
	}
	select {
	case <-time.After(pause):
		return true
	case <-c.done:
		return false
	}
}

// noteReached corrects when a request was sent to when it had reached the gateway. What the
// link had not passed on by the end of the connection was not sent.
func (c *rawCaller) noteReached(x *sight, end int) {
	for over := false; ; {
		at := c.link.reachedAt(end)
		if !at.IsZero() || over {
			c.mu.Lock()
			x.sent = at
			c.mu.Unlock()
			return
		}
		select {
		case <-c.done:
			over = true
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// pieceTime returns the time between two pieces of a request.
func (c *rawCaller) pieceTime(pieces int) time.Duration {
	k, r, now := c.kind, c.random, time.Now()
	switch k.form {
	case formPlain, formExpect:
		return 0
	case formManyChunks:
		return time.Millisecond
	}
	gaps := time.Duration(max(pieces-1, 1))
	stop := c.calls.stops[c.gateway]
	if k.inSeries || stop.IsZero() {
		return span{100 * time.Millisecond, 700 * time.Millisecond}.choose(r) / gaps
	}
	moments := k.whole
	if moments == (span{}) {
		moments = span{0, stopGrace - 100*time.Millisecond}
		switch r.IntN(3) {
		case 0:
			moments.most = stopGrace / 2
		case 1:
			moments.least = stopGrace / 2
		}
	}
	return max(stop.Add(moments.choose(r)).Sub(now), 100*time.Millisecond) / gaps
}

// read takes the answers in the order of the requests.
func (c *rawCaller) read() {
	if c.kind.deaf {
		<-time.After(time.Until(c.calls.end))
		c.end("the caller read nothing", true)
		return
	}
	reader := bufio.NewReader(&pacedReader{c.conn, c.kind.readBytes, c.kind.readPause})
	for {
		res, body, err := c.readAnswer(reader)
		if err != nil {
			c.end(err.Error(), false)
			return
		}
		if c.took(res, body) {
			c.end("", false)
			if c.kind.lingers {
				_, _ = io.Copy(io.Discard, c.conn)
			}
			return
		}
	}
}

// readAnswer reads a final answer.
func (c *rawCaller) readAnswer(reader *bufio.Reader) (*http.Response, string, error) {
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, "", err
		}
		if res.StatusCode == http.StatusContinue {
			select {
			case c.proceed <- struct{}{}:
			default: // the caller no longer waits
			}
			continue
		}
		body, err := io.ReadAll(res.Body)
		return res, string(body), err
	}
}

// took notes an answer and reports whether it is the connection's last.
func (c *rawCaller) took(res *http.Response, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.outstanding) == 0 {
		c.calls.note(&sight{kind: c.kind, gateway: c.gateway, id: res.Header.Get(platform.Dialect().CallID), status: res.StatusCode, answered: time.Now(), body: "no request"})
		return true
	}
	x := c.outstanding[0]
	c.outstanding = c.outstanding[1:]
	x.answered, x.status = time.Now(), res.StatusCode
	x.signed = res.Header.Get(platform.Dialect().Signature) == "sig-"+x.id
	if x.status == http.StatusOK && body != x.body {
		x.why = fmt.Sprintf("another body of %d bytes", len(body))
	}
	select {
	case <-c.room:
	default:
	}
	return res.Close
}

// end notes the end of the connection for the requests that are outstanding. If there was
// no error, the last answer said that the connection ends.
func (c *rawCaller) end(why string, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if c.link != nil && !c.link.endedAt().IsZero() {
		at = c.link.endedAt()
	}
	for _, x := range c.outstanding {
		x.ended, x.why, x.behindClosing, x.left = at, why, why == "", left || c.left
	}
	c.outstanding, c.over = nil, true
}

// pacedReader reads a few bytes at a time.
type pacedReader struct {
	io.Reader
	bytes int
	pause time.Duration
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.bytes > 0 {
		time.Sleep(p.pause)
		b = b[:min(len(b), p.bytes)]
	}
	return p.Reader.Read(b)
}

func (s *stopCalls) note(x *sight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sights = append(s.sights, x)
}
